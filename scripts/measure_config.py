"""
Measures settings: time to in force over agents, and cost against size.

A number starts that many agents on stand-ins; each has a reader of its feed in
this process. `cost` runs the product's own fold, effective settings and feed in
this process.
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
CHANGES_A_DAY = 5_600
SECONDS_A_DAY = 86_400
PUBLICATIONS = 12
MEASURED_CHANGES = 200
BRANCHES = 100
LIMIT_S = 20
DEAD = '127.0.0.1:1'
SEED = 1
MILLISECONDS = 1_000
KEYS = KeyRing(1, {1: bytes.fromhex(PEER_KEYS.partition(':')[2])})


class FeedReader:
    """
    Notes when one agent's feed brought each version.
    """

    def __init__(self, address: str, name: str) -> None:
        self.received_at: dict[int, float] = {}
        host, _, port = address.rpartition(':')
        self._socket = socket.create_connection((host, int(port)), LIMIT_S)
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
        Report as a router does.
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


def measure_spread(agents: int, *, log_out: bool) -> None:
    """
    Print the time from an append's answer until each feed had the change.

    :param log_out: whether only the first agent reads the log, as when it goes
        out right after one of them has read the record.
    """
    with Fleet() as fleet:
        layout = Layout(fleet, hosts=agents)
        places = layout.addresses
        layout.start_platform()
        get_json(places.log, '/records?from=0&limit=1&wait=0')
        for number in range(agents):
            address = DEAD if log_out and number else places.log
            layout.start_agent(number, 'a', '--log', address)
        for admin in places.agent_admins:
            get_json(admin, '/admin/status')
        time.sleep(3)
        readers = [
            FeedReader(places.host_address(host, FEED_PORT), f'router-{host}')
            for host in range(agents)
        ]
        log = HttpLog(places.log)
        _publish(log, -1)
        time.sleep(3)
        taken = _measure_publications(log, readers)
    word = 'out after acceptance' if log_out else 'up'
    print(
        f'spread: {agents} agents, log {word}: median '
        f'{statistics.median(taken):.0f} ms, longest {max(taken):.0f} ms '
        f'of {len(taken)} publications',
        flush=True,
    )


def _measure_publications(
    log: HttpLog, readers: list[FeedReader]
) -> list[float]:
    chance = random.Random(SEED)
    taken: list[float] = []
    version = log.read(0, 100, 0).records[-1].offset
    for _ in range(PUBLICATIONS):
        version = _publish(log, version)
        answered = time.monotonic()
        while any(version not in reader.received_at for reader in readers):
            if time.monotonic() - answered > LIMIT_S:
                sys.exit(f'version {version} was not in force in {LIMIT_S} s')
            time.sleep(0.001)
        last = max(reader.received_at[version] for reader in readers)
        taken.append((last - answered) * MILLISECONDS)
        time.sleep(chance.random())
    return taken


def _publish(log: HttpLog, base: int) -> int:
    change = Change('organisation.streams', base, base + 10)
    record = ConfigRecord(f'r{base}', (change,), read=base)
    offset = log.append(to_body(record))
    if not isinstance(offset, int):
        sys.exit(f'the log refused an append: {offset}')
    return offset


@dataclass
class Costs:
    """
    Processor time in seconds and bytes, for a number of changes.
    """

    fold: float = 0
    effective: float = 0
    feed: float = 0
    feed_bytes: int = 0


def make_settings(workspaces: int) -> dict[str, object]:
    """
    Return the settings of an organisation of some size, by path.
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
    Print what changes, snapshots and the folded tree cost.
    """
    settings = make_settings(workspaces)
    changes = tuple(Change(path, -1, value) for path, value in settings.items())
    body = to_body(ConfigRecord('first', changes))
    tracemalloc.start()
    tree = unpack_tree(pack_tree(fold(Tree(), LogRecord(0, 1.0, body))))
    tree_bytes = tracemalloc.get_traced_memory()[0]
    worked_out = compute_effective(tree)
    both_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(
        f'cost: {workspaces} workspaces, {len(settings)} settings: tree '
        f'{tree_bytes / 1e6:.1f} MB, with effective settings '
        f'{both_bytes / 1e6:.1f} MB for {len(worked_out.workspaces)} of them'
    )
    nodes = [
        path.rpartition('.')[0] for path in settings if '.workspace-' in path
    ]
    chance = random.Random(SEED)
    ones = [f'{chance.choice(nodes)}.streams' for _ in range(MEASURED_CHANGES)]
    _print_changes('one workspace', tree, ones)
    _print_changes(
        'the organisation', tree, ['organisation.timeout_s' for _ in range(5)]
    )
    _print_snapshot(tree)


def _print_changes(what: str, tree: Tree, paths: list[str]) -> None:
    costs = Costs()
    effective = compute_effective(tree)
    view = View(version=tree.version, workspaces=effective.workspaces)
    for offset, path in enumerate(paths, start=tree.version + 1):
        change = Change(path, version_of(tree, path), offset)
        record = ConfigRecord(f'r{offset}', (change,), read=offset - 1)
        log_record = LogRecord(offset, 1.0, to_body(record))
        start = time.process_time()
        after = fold(tree, log_record)
        folded = time.process_time()
        effective = compute_effective(after, effective, tree)
        worked = time.process_time()
        shown = View(version=after.version, workspaces=effective.workspaces)
        frame = pack_frame(find_changes(view, shown), KEYS)
        costs.feed += time.process_time() - worked
        costs.effective += worked - folded
        costs.fold += folded - start
        costs.feed_bytes += len(frame)
        tree, view = after, shown
    count = len(paths)
    cpu = costs.fold + costs.effective + costs.feed
    day = cpu / count * CHANGES_A_DAY / SECONDS_A_DAY
    print(
        f'  change of {what}: fold {costs.fold / count * 1e3:.2f} ms, '
        f'effective {costs.effective / count * 1e3:.2f} ms, feed '
        f'{costs.feed / count * 1e3:.2f} ms, feed bytes '
        f'{costs.feed_bytes / count:.0f}; at {CHANGES_A_DAY} a day '
        f'{day * 100:.4f}% of a core',
        flush=True,
    )


def _print_snapshot(tree: Tree) -> None:
    start = time.process_time()
    packed = pack_tree(tree)
    record = make_snapshot(tree, 's', 'h')
    made = time.process_time()
    unpack_tree(packed)
    opened = time.process_time()
    print(
        f'  snapshot: {len(packed)} bytes, {len(zlib.compress(packed))} '
        f'compressed, {len(record.tree)} in the record; made in '
        f'{(made - start) * 1e3:.0f} ms, opened in '
        f'{(opened - made) * 1e3:.0f} ms',
        flush=True,
    )


def main() -> None:
    """
    Measure what the words name: `cost`, numbers of agents, or all.
    """
    words = sys.argv[1:] or ['cost', *map(str, AGENTS)]
    if 'cost' in words:
        for workspaces in WORKSPACES:
            measure_cost(workspaces)
    for agents in filter(str.isdecimal, words):
        measure_spread(int(agents), log_out=False)
        measure_spread(int(agents), log_out=True)


if __name__ == '__main__':
    main()
