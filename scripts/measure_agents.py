"""
Measures real agents as processes: CPU, threads, memory and bytes, from `/proc`.

    python -m scripts.measure_agents AGENTS:TARGETS[:SECONDS] ...

Starts the log, the host list and that many agents as processes; targets and
routers are light stand-ins in this process. Settings are published first.
Bytes are those of the TCP connections that are open all the time, by `ss`.
"""

import os
import re
import statistics
import subprocess
import sys
import threading
import time
from contextlib import closing
from dataclasses import dataclass
from pathlib import Path

from mallowcrank.config.parsing import to_body
from mallowcrank.config.records import Change, ConfigRecord
from mallowcrank.platform.log import HttpLog
from scripts.fleet import Fleet, Process, get_json, wait_for
from scripts.layout import ENGINE_PORT, FEED_PORT, Layout
from scripts.light_targets import ZONES, LightTargets
from scripts.measure_config import FeedReader, make_settings

DEFAULT_S = 20
SETTLE_S = 8
START_LIMIT_S = 90
WORKSPACES = 200
CHANGES = 5
LIMIT_S = 20
MILLISECONDS = 1000
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
STREAM = re.compile(
    r'pid=(?P<pid>\d+),fd=(?P<fd>\d+)\)\).*?(?=\n\S|\Z)', re.DOTALL
)
COUNT = re.compile(r'bytes_(?P<what>sent|received):(?P<count>\d+)')


@dataclass(frozen=True)
class Sample:
    """
    One agent's counts at a moment.

    :param cpu_s: processor seconds of all threads.
    :param switches: times that a thread waited.
    """

    cpu_s: float
    memory_mb: float
    threads: int
    switches: int


def sample(pid: int) -> Sample:
    """
    Read a process's counts.
    """
    place = Path(f'/proc/{pid}')
    # The name in brackets may hold spaces.
    numbers = (place / 'stat').read_text().rpartition(')')[2].split()
    status = dict(
        line.split(':', 1)
        for line in (place / 'status').read_text().split('\n')
        if ':' in line
    )
    switches = sum(
        int(_field(task / 'status', 'voluntary_ctxt_switches'))
        for task in (place / 'task').iterdir()
    )
    return Sample(
        (int(numbers[11]) + int(numbers[12])) / TICKS_PER_S,
        int(status['VmRSS'].split()[0]) / 1024,
        int(status['Threads']),
        switches,
    )


def _field(path: Path, name: str) -> str:
    try:
        text = path.read_text()
    except OSError:
        return '0'
    return re.search(rf'^{name}:\s*(\d+)', text, re.MULTILINE)[1]


def streams() -> dict[tuple[int, int], dict[str, int]]:
    """
    Return the bytes of all open TCP connections, by process and descriptor.
    """
    listed = subprocess.run(
        ['ss', '-tinp'], capture_output=True, text=True, check=True
    ).stdout
    return {
        (int(found['pid']), int(found['fd'])): {
            each['what']: int(each['count'])
            for each in COUNT.finditer(found[0])
        }
        for found in STREAM.finditer(listed)
    }


class Trial:
    """
    Agents with their surroundings, up and settled.
    """

    def __init__(self, fleet: Fleet, agents: int, targets: int) -> None:
        self._stopped = threading.Event()
        self.layout = Layout(fleet, hosts=agents)
        places = self.layout.addresses
        self.layout.start_platform()
        get_json(places.log, '/records?from=0&limit=1&wait=0')
        get_json(places.host_list, '/hosts')
        self.targets = LightTargets(
            [
                places.target_address(each, ENGINE_PORT)
                for each in range(targets)
            ],
            places.host_list,
        )
        self.targets.start()
        self.agents: list[Process] = [
            self.layout.start_agent(each, ZONES[each % len(ZONES)])
            for each in range(agents)
        ]
        for admin in places.agent_admins:
            get_json(admin, '/admin/status', START_LIMIT_S)
        self.log = HttpLog(places.log)
        self.publish(make_settings(WORKSPACES))
        self.readers = [
            FeedReader(places.host_address(each, FEED_PORT), f'router-{each}')
            for each in range(agents)
        ]
        for admin in places.agent_admins:
            wait_for(
                admin,
                '/admin/status',
                self._is_settled,
                START_LIMIT_S,
            )
        threading.Thread(target=self._report, daemon=True).start()
        time.sleep(SETTLE_S)

    def publish(self, settings: dict[str, object], base: int = -1) -> int:
        """
        Append a record, and return its offset.
        """
        changes = tuple(
            Change(path, base, value) for path, value in settings.items()
        )
        name = f'r{time.time_ns()}'
        record = ConfigRecord(name, changes, read=base)
        offset = self.log.append(to_body(record))
        if not isinstance(offset, int):
            sys.exit(f'the log refused an append: {offset}')
        return offset

    def in_force_ms(self) -> list[float]:
        """
        Return the times until changes were in all feeds.
        """
        taken = []
        path = 'organisation.streams'
        version = -1
        for number in range(CHANGES):
            version = self.publish({path: 10 + number}, version)
            answered = time.monotonic()
            while any(version not in each.received_at for each in self.readers):
                if time.monotonic() - answered > LIMIT_S:
                    sys.exit(f'version {version} is not in force everywhere')
                time.sleep(0.002)
            last = max(each.received_at[version] for each in self.readers)
            taken.append((last - answered) * MILLISECONDS)
            time.sleep(1)
        return taken

    def close(self) -> None:
        """
        Stop the stand-ins of this process.
        """
        self._stopped.set()
        self.targets.stop()

    def _is_settled(self, status: dict[str, int]) -> bool:
        is_known = status['targets'] == len(self.targets.targets)
        return is_known and status['version'] >= 0

    def _report(self) -> None:
        load = 0
        while not self._stopped.wait(1):
            load += 1
            for reader in self.readers:
                reader.send_report(load % 7)


def measure(agents: int, targets: int, seconds: float) -> None:
    """
    Print what agents use at one size.
    """
    with Fleet() as fleet, closing(Trial(fleet, agents, targets)) as trial:
        pids = [agent.pid for agent in trial.agents]
        probes = sum(each.probes for each in trial.targets.targets)
        began = time.monotonic()
        before = [sample(pid) for pid in pids]
        bytes_before = streams()
        time.sleep(seconds)
        after = [sample(pid) for pid in pids]
        bytes_after = streams()
        passed_s = time.monotonic() - began
        probed = sum(each.probes for each in trial.targets.targets) - probes
        cpu = [
            (new.cpu_s - old.cpu_s) * MILLISECONDS / passed_s
            for new, old in zip(after, before, strict=True)
        ]
        switches = statistics.mean(
            (new.switches - old.switches) / passed_s
            for new, old in zip(after, before, strict=True)
        )
        moved = {
            what: sum(
                bytes_after[key].get(what, 0) - bytes_before[key].get(what, 0)
                for key in bytes_before
                if key in bytes_after and key[0] in pids
            )
            / passed_s
            / agents
            for what in ('sent', 'received')
        }
        in_force = trial.in_force_ms()
    print(
        f'{agents} agents, {targets} targets, {passed_s:.0f} s: '
        f'{statistics.mean(cpu):.1f} ms/s (most {max(cpu):.1f}), '
        f'{switches:.0f} waits/s, '
        f'{statistics.mean(each.threads for each in after):.0f} threads, '
        f'{max(each.memory_mb for each in after):.0f} MB, '
        f'{moved["sent"]:.0f} B/s sent, {moved["received"]:.0f} B/s received, '
        f'{probed / passed_s / agents:.1f} probes/s; in force after '
        f'{statistics.median(in_force):.0f} ms, at most {max(in_force):.0f}; '
        f'load {os.getloadavg()[0]:.1f}',
        flush=True,
    )


if __name__ == '__main__':
    for words in sys.argv[1:] or ('8:40',):
        agents, targets, *seconds = words.split(':')
        measure(
            int(agents),
            int(targets),
            float(seconds[0]) if seconds else DEFAULT_S,
        )
