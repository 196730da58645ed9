"""
Measures settings: propagation time over agents, and cost by size.

A number as argument starts that many agents on stand-ins, with a reader of each
agent's feed in this process. `cost` runs the product's own fold, effective
settings and feed in this process.
"""

import random
import socket
import statistics
import sys
import threading
import time
import tracemalloc
import zlib
from dataclasses import dataclass

from mallowcrank.agent.changes import find_changes
from mallowcrank.config.effective import compute_effective
from mallowcrank.config.fold import fold
from mallowcrank.config.parsing import to_body
from mallowcrank.config.records import Change, ConfigRecord
from mallowcrank.config.snapshots import make_snapshot, pack_tree, unpack_tree
from mallowcrank.config.tree import Tree, version_of
from mallowcrank.platform.log import HttpLog
from mallowcrank.ports import LogRecord
from mallowcrank.view import View
from mallowcrank.wire import FrameReader, KeyRing, pack_frame
from scripts.fleet import Fleet, get_json
from scripts.layout import FEED_PORT, PEER_KEYS, Layout

AGENTS = (3, 8, 16)
WORKSPACES = (600, 2_000, 6_100)
CHANGES_PER_DAY = 5_600
SECONDS_PER_DAY = 86_400
PUBLICATIONS = 12
MEASURED_CHANGES = 200
BRANCHES = 100
IN_FORCE_TIMEOUT_S = 20
CLOSED_ADDRESS = '127.0.0.1:1'
SEED = 1
MS_PER_S = 1_000
KEYS = KeyRing(1, {1: bytes.fromhex(PEER_KEYS.partition(':')[2])})


class FeedReader:
    """
    Records when each version arrived in the feed of one agent.
    """

    def __init__(self, address: str, name: str) -> None:
        self.received_at: dict[int, float] = {}
        host, _, port = address.rpartition(':')
        self._socket = socket.create_connection(
            (host, int(port)), IN_FORCE_TIMEOUT_S
        )
        self._socket.settimeout(None)
        hello = {
            'type': 'hello',
            'router': name,
            'incarnation': '1',
            'address': '127.0.0.1:1',
            'availability_zone': 'a',
            'version': -1,
        }
        self._socket.sendall(pack_frame(hello, KEYS))
        threading.Thread(target=self._read, daemon=True).start()

    def send_report(self, load: int) -> None:
        """
        Send a report as a router does.
        """
        report = {
            'type': 'report',
            'version': max(self.received_at, default=-1),
            'load': load,
        }
        self._socket.sendall(pack_frame(report, KEYS))

    def _read(self) -> None:
        reader = FrameReader(KEYS)
        while received := self._socket.recv(65536):
            for body in reader.feed(received):
                if body['type'] == 'change':
                    version = body['version']
                    self.received_at.setdefault(version, time.monotonic())


def measure_propagation(agents: int, *, is_log_down: bool) -> None:
    """
    Print the time from an accepted append until each feed had the change.

    :param is_log_down: whether only the first agent reads the log. This stands
        for a log that fails right after one agent has read the record.
    """
    with Fleet() as fleet:
        layout = Layout(fleet, hosts=agents)
        endpoints = layout.addresses
        layout.start_platform()
        get_json(endpoints.log, '/records?from=0&limit=1&wait=0')
        for number in range(agents):
            address = (
                CLOSED_ADDRESS if is_log_down and number else endpoints.log
            )
            layout.start_agent(number, 'a', '--log', address)
        for admin in endpoints.agent_admins:
            get_json(admin, '/admin/status')
        time.sleep(3)
        readers = [
            FeedReader(
                endpoints.host_address(host, FEED_PORT), f'router-{host}'
            )
            for host in range(agents)
        ]
        log = HttpLog(endpoints.log)
        _publish(log, -1)
        time.sleep(3)
        delays_ms = _measure_publications(log, readers)
    log_state = 'out after acceptance' if is_log_down else 'up'
    print(
        f'spread: {agents} agents, log {log_state}: median '
        f'{statistics.median(delays_ms):.0f} ms, '
        f'longest {max(delays_ms):.0f} ms '
        f'of {len(delays_ms)} publications',
        flush=True,
    )


def _measure_publications(
    log: HttpLog, readers: list[FeedReader]
) -> list[float]:
    rng = random.Random(SEED)
    delays_ms: list[float] = []
    version = log.read(0, 100, 0).records[-1].offset
    for _ in range(PUBLICATIONS):
        version = _publish(log, version)
        appended_at = time.monotonic()
        while any(version not in reader.received_at for reader in readers):
            if time.monotonic() - appended_at > IN_FORCE_TIMEOUT_S:
                sys.exit(
                    f'version {version} did not reach all feeds '
                    f'in {IN_FORCE_TIMEOUT_S} s'
                )
            time.sleep(0.001)
        last_received_at = max(
            reader.received_at[version] for reader in readers
        )
        delays_ms.append((last_received_at - appended_at) * MS_PER_S)
        time.sleep(rng.random())
    return delays_ms


def _publish(log: HttpLog, base: int) -> int:
    change = Change('organisation.streams', base, base + 10)
    record = ConfigRecord(f'r{base}', (change,), read=base)
    offset = log.append(to_body(record))
    if not isinstance(offset, int):
        sys.exit(f'the log rejected an append: {offset}')
    return offset


@dataclass
class Costs:
    """
    Total processor time and bytes of a number of changes.
    """

    fold_s: float = 0
    effective_s: float = 0
    feed_s: float = 0
    feed_bytes: int = 0


def make_settings(workspaces: int) -> dict[str, object]:
    """
    Return the settings of an organisation by path.

    :param workspaces: number of workspaces.
    """
    settings: dict[str, object] = {
        'organisation.present': True,
        'organisation.models': ['assistant'],
        'models.assistant.present': True,
        'models.assistant.layers': 48,
    }
    for number in range(workspaces):
        branch = f'branches.branch-{number % BRANCHES}'
        settings[f'{branch}.present'] = True
        settings[f'{branch}.share'] = 2
        node = f'{branch}.workspaces.workspace-{number}'
        settings |= {
            f'{node}.present': True,
            f'{node}.request_rate': 20 + number % 7,
            f'{node}.token_rate': 9000,
            f'{node}.streams': 16,
            f'{node}.urgency': number % 3,
        }
    return settings


def measure_cost(workspaces: int) -> None:
    """
    Print the costs of changes, snapshots and the folded tree.
    """
    settings = make_settings(workspaces)
    changes = tuple(Change(path, -1, value) for path, value in settings.items())
    body = to_body(ConfigRecord('first', changes))
    tracemalloc.start()
    tree = unpack_tree(pack_tree(fold(Tree(), LogRecord(0, 1.0, body))))
    tree_bytes = tracemalloc.get_traced_memory()[0]
    effective = compute_effective(tree)
    total_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(
        f'cost: {workspaces} workspaces, {len(settings)} settings: tree '
        f'{tree_bytes / 1e6:.1f} MB, with effective settings '
        f'{total_bytes / 1e6:.1f} MB for {len(effective.workspaces)} of them'
    )
    nodes = [
        path.rpartition('.')[0] for path in settings if '.workspace-' in path
    ]
    rng = random.Random(SEED)
    changed_paths = [
        f'{rng.choice(nodes)}.streams' for _ in range(MEASURED_CHANGES)
    ]
    _print_changes('one workspace', tree, changed_paths)
    _print_changes(
        'the organisation', tree, ['organisation.timeout_s' for _ in range(5)]
    )
    _print_snapshot(tree)


def _print_changes(subject: str, tree: Tree, paths: list[str]) -> None:
    costs = Costs()
    effective = compute_effective(tree)
    view = View(version=tree.version, workspaces=effective.workspaces)
    for offset, path in enumerate(paths, start=tree.version + 1):
        change = Change(path, version_of(tree, path), offset)
        record = ConfigRecord(f'r{offset}', (change,), read=offset - 1)
        log_record = LogRecord(offset, 1.0, to_body(record))
        start = time.process_time()
        new_tree = fold(tree, log_record)
        folded_at = time.process_time()
        effective = compute_effective(new_tree, effective, tree)
        computed_at = time.process_time()
        new_view = View(
            version=new_tree.version, workspaces=effective.workspaces
        )
        frame = pack_frame(find_changes(view, new_view), KEYS)
        costs.feed_s += time.process_time() - computed_at
        costs.effective_s += computed_at - folded_at
        costs.fold_s += folded_at - start
        costs.feed_bytes += len(frame)
        tree, view = new_tree, new_view
    count = len(paths)
    cpu = costs.fold_s + costs.effective_s + costs.feed_s
    core_share = cpu / count * CHANGES_PER_DAY / SECONDS_PER_DAY
    print(
        f'  change of {subject}: fold {costs.fold_s / count * 1e3:.2f} ms, '
        f'effective {costs.effective_s / count * 1e3:.2f} ms, feed '
        f'{costs.feed_s / count * 1e3:.2f} ms, feed bytes '
        f'{costs.feed_bytes / count:.0f}; at {CHANGES_PER_DAY} a day '
        f'{core_share * 100:.4f}% of a core',
        flush=True,
    )


def _print_snapshot(tree: Tree) -> None:
    start = time.process_time()
    packed = pack_tree(tree)
    record = make_snapshot(tree, 's', 'h')
    packed_at = time.process_time()
    unpack_tree(packed)
    unpacked_at = time.process_time()
    print(
        f'  snapshot: {len(packed)} bytes, {len(zlib.compress(packed))} '
        f'compressed, {len(record.tree)} in the record; made in '
        f'{(packed_at - start) * 1e3:.0f} ms, opened in '
        f'{(unpacked_at - packed_at) * 1e3:.0f} ms',
        flush=True,
    )


def main() -> None:
    """
    Run the measurements named by the arguments, or all.

    Arguments are `cost` and numbers of agents.
    """
    arguments = sys.argv[1:] or ['cost', *map(str, AGENTS)]
    if 'cost' in arguments:
        for workspaces in WORKSPACES:
            measure_cost(workspaces)
    for agents in filter(str.isdecimal, arguments):
        measure_propagation(int(agents), is_log_down=False)
        measure_propagation(int(agents), is_log_down=True)


if __name__ == '__main__':
    main()
