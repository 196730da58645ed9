"""
Measures agent processes: CPU, threads and memory from `/proc`, and bytes.

    python -m scripts.measure_agents AGENTS:TARGETS[:SECONDS] ...

Starts the log, the host list and the agents as processes and publishes settings
first. Targets and routers are lightweight stand-ins in this process. Bytes are
read with `ss` and cover the TCP connections that stay open for the whole run.
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
START_TIMEOUT_S = 90
WORKSPACES = 200
CHANGES = 5
IN_FORCE_TIMEOUT_S = 20
MS_PER_S = 1000
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
CONNECTION = re.compile(
    r'pid=(?P<pid>\d+),fd=(?P<fd>\d+)\)\).*?(?=\n\S|\Z)', re.DOTALL
)
BYTE_COUNT = re.compile(r'bytes_(?P<what>sent|received):(?P<count>\d+)')


@dataclass(frozen=True)
class Sample:
    """
    Resource usage of one agent at one time.

    :param cpu_s: processor time of all threads in seconds.
    :param memory_mb: resident memory in MiB.
    :param switches: voluntary context switches of all threads.
    """

    cpu_s: float
    memory_mb: float
    threads: int
    switches: int


def read_sample(pid: int) -> Sample:
    """
    Read the resource usage of a process.
    """
    directory = Path(f'/proc/{pid}')
    # The process name in brackets may contain spaces.
    stat_fields = (directory / 'stat').read_text().rpartition(')')[2].split()
    status = dict(
        line.split(':', 1)
        for line in (directory / 'status').read_text().split('\n')
        if ':' in line
    )
    switches = sum(
        int(_read_number(task / 'status', 'voluntary_ctxt_switches'))
        for task in (directory / 'task').iterdir()
    )
    return Sample(
        (int(stat_fields[11]) + int(stat_fields[12])) / TICKS_PER_S,
        int(status['VmRSS'].split()[0]) / 1024,
        int(status['Threads']),
        switches,
    )


def _read_number(path: Path, name: str) -> str:
    try:
        text = path.read_text()
    except OSError:
        return '0'
    return re.search(rf'^{name}:\s*(\d+)', text, re.MULTILINE)[1]


def count_connection_bytes() -> dict[tuple[int, int], dict[str, int]]:
    """
    Return the bytes of all open TCP connections.

    :returns: sent and received bytes by process ID and file descriptor.
    """
    listed = subprocess.run(
        ['ss', '-tinp'], capture_output=True, text=True, check=True
    ).stdout
    return {
        (int(found['pid']), int(found['fd'])): {
            each['what']: int(each['count'])
            for each in BYTE_COUNT.finditer(found[0])
        }
        for found in CONNECTION.finditer(listed)
    }


class Trial:
    """
    Running agents with their platform, targets and routers.
    """

    def __init__(self, fleet: Fleet, agents: int, targets: int) -> None:
        self._stopped = threading.Event()
        self.layout = Layout(fleet, hosts=agents)
        endpoints = self.layout.addresses
        self.layout.start_platform()
        get_json(endpoints.log, '/records?from=0&limit=1&wait=0')
        get_json(endpoints.host_list, '/hosts')
        self.targets = LightTargets(
            [
                endpoints.target_address(each, ENGINE_PORT)
                for each in range(targets)
            ],
            endpoints.host_list,
        )
        self.targets.start()
        self.agents: list[Process] = [
            self.layout.start_agent(each, ZONES[each % len(ZONES)])
            for each in range(agents)
        ]
        for admin in endpoints.agent_admins:
            get_json(admin, '/admin/status', START_TIMEOUT_S)
        self.log = HttpLog(endpoints.log)
        self.publish(make_settings(WORKSPACES))
        self.readers = [
            FeedReader(
                endpoints.host_address(each, FEED_PORT), f'router-{each}'
            )
            for each in range(agents)
        ]
        for admin in endpoints.agent_admins:
            wait_for(
                admin,
                '/admin/status',
                self._is_settled,
                START_TIMEOUT_S,
            )
        threading.Thread(target=self._report, daemon=True).start()
        time.sleep(SETTLE_S)

    def publish(self, settings: dict[str, object], base: int = -1) -> int:
        """
        Append a configuration record to the log.

        :param base: version that the changes are based on.
        :returns: offset of the record.
        """
        changes = tuple(
            Change(path, base, value) for path, value in settings.items()
        )
        name = f'r{time.time_ns()}'
        record = ConfigRecord(name, changes, read=base)
        offset = self.log.append(to_body(record))
        if not isinstance(offset, int):
            sys.exit(f'the log rejected an append: {offset}')
        return offset

    def measure_in_force_ms(self) -> list[float]:
        """
        Return the times in milliseconds until changes reached all feeds.
        """
        delays_ms = []
        path = 'organisation.streams'
        version = -1
        for number in range(CHANGES):
            version = self.publish({path: 10 + number}, version)
            appended_at = time.monotonic()
            while any(version not in each.received_at for each in self.readers):
                if time.monotonic() - appended_at > IN_FORCE_TIMEOUT_S:
                    sys.exit(f'version {version} did not reach all feeds')
                time.sleep(0.002)
            last_received_at = max(
                each.received_at[version] for each in self.readers
            )
            delays_ms.append((last_received_at - appended_at) * MS_PER_S)
            time.sleep(1)
        return delays_ms

    def close(self) -> None:
        """
        Stop the stand-ins in this process.
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
    Print the resource usage of agents at one size.

    :param seconds: duration of the measurement.
    """
    with Fleet() as fleet, closing(Trial(fleet, agents, targets)) as trial:
        pids = [agent.pid for agent in trial.agents]
        probes_before = sum(each.probes for each in trial.targets.targets)
        began = time.monotonic()
        before = [read_sample(pid) for pid in pids]
        bytes_before = count_connection_bytes()
        time.sleep(seconds)
        after = [read_sample(pid) for pid in pids]
        bytes_after = count_connection_bytes()
        elapsed_s = time.monotonic() - began
        probe_count = (
            sum(each.probes for each in trial.targets.targets) - probes_before
        )
        cpu_ms_per_s = [
            (new.cpu_s - old.cpu_s) * MS_PER_S / elapsed_s
            for new, old in zip(after, before, strict=True)
        ]
        switches = statistics.mean(
            (new.switches - old.switches) / elapsed_s
            for new, old in zip(after, before, strict=True)
        )
        bytes_per_s = {
            direction: sum(
                bytes_after[key].get(direction, 0)
                - bytes_before[key].get(direction, 0)
                for key in bytes_before
                if key in bytes_after and key[0] in pids
            )
            / elapsed_s
            / agents
            for direction in ('sent', 'received')
        }
        in_force_ms = trial.measure_in_force_ms()
    print(
        f'{agents} agents, {targets} targets, {elapsed_s:.0f} s: '
        f'{statistics.mean(cpu_ms_per_s):.1f} ms/s '
        f'(most {max(cpu_ms_per_s):.1f}), '
        f'{switches:.0f} waits/s, '
        f'{statistics.mean(each.threads for each in after):.0f} threads, '
        f'{max(each.memory_mb for each in after):.0f} MB, '
        f'{bytes_per_s["sent"]:.0f} B/s sent, '
        f'{bytes_per_s["received"]:.0f} B/s received, '
        f'{probe_count / elapsed_s / agents:.1f} probes/s; in force after '
        f'{statistics.median(in_force_ms):.0f} ms, '
        f'at most {max(in_force_ms):.0f}; '
        f'load {os.getloadavg()[0]:.1f}',
        flush=True,
    )


if __name__ == '__main__':
    for argument in sys.argv[1:] or ('8:40',):
        agents, targets, *seconds = argument.split(':')
        measure(
            int(agents),
            int(targets),
            float(seconds[0]) if seconds else DEFAULT_S,
        )
