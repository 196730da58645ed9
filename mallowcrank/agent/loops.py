"""
The agent's threads: each repeats one job until it is stopped.
"""

import random
import threading
from collections.abc import Callable, Sequence
from typing import Any

from mallowcrank.agent.messages import (
    NO_TREE,
    TREE_TOPIC,
    FetchNeed,
    TreeAnswer,
    TreeQuestion,
)
from mallowcrank.agent.ports import GossipPort, LogSink, MembershipPort
from mallowcrank.clock import Clock
from mallowcrank.codec import from_plain, to_plain
from mallowcrank.config.parsing import (
    to_body,
)
from mallowcrank.config.snapshot_checks import is_snapshot_due
from mallowcrank.config.snapshots import make_snapshot
from mallowcrank.leases.records import RECORD_TYPE
from mallowcrank.logs import PartLog
from mallowcrank.metrics import Metrics
from mallowcrank.ports import Failure, LogPage, LogPort
from mallowcrank.view import TargetState

PAGE_RECORDS = 500
LONG_POLL_S = 5
READ_PAUSE_S = 0.05  # between two reads that brought records
LEASE_READ_PAUSE_S = 0.5  # the same, after records of leases only
OUTAGE_PAUSE_S = 0.5
CHECK_INTERVAL_S = 2
MIN_FETCH_BACKOFF_S = 0.5  # between two peers, while there are no settings
MAX_FETCH_BACKOFF_S = 4  # the same, after asking in vain for long
FETCH_TIMEOUT_S = 2
URGENT_FETCH_PEERS = 2  # at a time, where settings are missing
OUTAGE_FETCH_INTERVAL_S = 1  # between two peers, while the log is out
MAX_SNAPSHOT_DELAY_S = 60  # over which agents spread their snapshots
HEARTBEAT_INTERVAL_S = 1
GAUGE_INTERVAL_S = 10
MS_PER_S = 1000
MEMBER_BATCH_S = 0.05  # in which changes of membership are gathered
LOAD_BATCH_S = 0.5  # the same, where only loads and demands have changed
log = PartLog('agent')


class Loop:
    """
    A thread that repeats a job.

    :param job: returns the seconds to wait before it is called again.
    """

    def __init__(self, name: str, job: Callable[[], float]) -> None:
        self._job = job
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self) -> None:
        """
        Start the thread.
        """
        self._thread.start()

    def stop(self) -> None:
        """
        Let the thread end after its present job.
        """
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                pause = self._job()
            except Exception as error:
                log.say('A loop failed.', loop=self._thread.name, error=error)
                pause = OUTAGE_PAUSE_S
            self._stopped.wait(pause)


class LogFollower:
    """
    Reads the log in order and gives each page to all sinks.
    """

    def __init__(
        self,
        platform_log: LogPort,
        sinks: Sequence[LogSink],
        rng: random.Random,
    ) -> None:
        self._log = platform_log
        self._chance = rng
        self._sinks = sinks
        self._next = 0

    def __call__(self) -> float:
        """
        Read one page.
        """
        page = self._log.read(self._next, PAGE_RECORDS, LONG_POLL_S)
        if isinstance(page, Failure):
            for sink in self._sinks:
                sink.apply_outage(page.reason)
            return OUTAGE_PAUSE_S
        for sink in self._sinks:
            sink.apply_page(page)
        self._next = max(self._next, page.first)
        if page.records:
            self._next = page.records[-1].offset + 1
        return read_pause_s(page, self._chance)


def read_pause_s(page: LogPage, rng: random.Random) -> float:
    """
    Return the seconds until the log is read again.

    Leases come often where many have orders, and can wait; a pause of random
    length lets some agent read on soon, which passes settings on.
    """
    types = {record.body.get('type') for record in page.records}
    if types == {RECORD_TYPE}:
        return LEASE_READ_PAUSE_S * (1 + rng.random()) / 2
    return READ_PAUSE_S


class SettingsFetcher:
    """
    Asks peers for settings that reach further than this agent's.

    :param settings: a proxy of the `SettingsActor`.
    """

    def __init__(
        self, settings: Any, gossip: GossipPort, rng: random.Random
    ) -> None:
        self._settings = settings
        self._gossip = gossip
        self._chance = rng
        self._in_vain = 0

    def __call__(self) -> float:
        """
        Ask peers at random, where there is a need.
        """
        need = self._settings.fetch_need().get()
        if need is not FetchNeed.URGENT:
            self._in_vain = 0
        if need is FetchNeed.NONE:
            return CHECK_INTERVAL_S
        peers = self._gossip.addresses()
        asked = URGENT_FETCH_PEERS if need is FetchNeed.URGENT else 1
        for peer in self._chance.sample(peers, min(asked, len(peers))):
            self._ask(peer)
        if need is FetchNeed.OUTAGE:
            return OUTAGE_FETCH_INTERVAL_S
        self._in_vain += 1
        return fetch_backoff_s(self._in_vain, self._chance)

    def _ask(self, peer: str) -> None:
        tree = self._settings.replica().get().tree
        question = TreeQuestion(NO_TREE if tree is None else tree.last)
        answer = self._gossip.ask(
            peer, TREE_TOPIC, to_plain(question), FETCH_TIMEOUT_S
        )
        if answer is not None:
            self._settings.apply_tree(from_plain(answer, TreeAnswer)).get()


def fetch_backoff_s(attempts: int, rng: random.Random) -> float:
    """
    Return the seconds until peers are asked again.

    :param attempts: how often they were asked without an end of the need.
    """
    pause = min(
        MIN_FETCH_BACKOFF_S * 2 ** min(attempts - 1, 10), MAX_FETCH_BACKOFF_S
    )
    return pause * (1 + rng.random()) / 2


class SnapshotWriter:
    """
    Writes a snapshot before the log's retention takes what it covers.

    Agents wait for a random part of a spread, so that mostly one writes it.
    """

    def __init__(
        self,
        host: str,
        settings: Any,
        platform_log: LogPort,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._settings = settings
        self._log = platform_log
        self._clock = clock
        self._chance = rng
        self._turn: float | None = None

    def __call__(self) -> float:
        """
        Write a snapshot, where one is due and it is this agent's turn.
        """
        replica = self._settings.replica().get()
        retention_s = self._settings.effective().get().retention_s
        if not is_snapshot_due(replica, retention_s, self._clock.now()):
            self._turn = None
        elif self._turn is None:
            spread = min(MAX_SNAPSHOT_DELAY_S, retention_s / 8)
            self._turn = self._clock.steady() + self._chance.random() * spread
        elif self._clock.steady() >= self._turn:
            self._turn = None
            self._write(replica.tree)
        return CHECK_INTERVAL_S

    def _write(self, tree: Any) -> None:
        name = f'snapshot-{self._host}-{self._chance.getrandbits(64):016x}'
        record = make_snapshot(tree, name, self._host)
        written = self._log.append(to_body(record))
        log.say('A snapshot was written.', through=tree.through, got=written)


class FeedHeartbeat:
    """
    Shows the routers that the agent is alive.
    """

    def __init__(self, settings: Any, feed: Any) -> None:
        self._settings = settings
        self._feed = feed

    def __call__(self) -> float:
        """
        Send one beat.
        """
        self._feed.send_heartbeat.defer(round(self._settings.age_s().get(), 1))
        return HEARTBEAT_INTERVAL_S


class MembershipNotifier:
    """
    Tells the feed that membership has changed, many changes at once.
    """

    def __init__(self, feed: Any) -> None:
        self._feed = feed
        self._dirty = threading.Event()
        self._urgent = threading.Event()

    def __call__(self) -> float:
        """
        Wait for a change and tell the feed.
        """
        if self._dirty.wait(HEARTBEAT_INTERVAL_S):
            self._urgent.wait(LOAD_BATCH_S)
            self._dirty.clear()
            self._urgent.clear()
            self._feed.update_members().get()
        return MEMBER_BATCH_S

    def mark_changed(self, is_urgent: bool) -> None:
        """
        Note a change; returns at once.

        :param is_urgent: whether more than loads and demands has changed.
        """
        self._dirty.set()
        if is_urgent:
            self._urgent.set()


class GaugeReporter:
    """
    Sets the agent's gauges; a job for a loop.

    :param settings: a proxy of the `SettingsActor`.
    """

    def __init__(
        self, metrics: Metrics, settings: Any, membership: MembershipPort
    ) -> None:
        self._metrics = metrics
        self._settings = settings
        self._membership = membership

    def __call__(self) -> float:
        """
        Set them once.
        """
        known = self._settings.status().get()
        targets = self._membership.targets().values()
        avoided = [
            each for each in targets if each.state is not TargetState.LIVE
        ]
        gauge = self._metrics.gauge
        gauge('version', known.version)
        gauge('settings_age', known.age_s * MS_PER_S)
        gauge('log_out', int(bool(known.outage)))
        gauge('findings', len(known.findings))
        gauge('targets', len(targets))
        gauge('targets_not_live', len(avoided))
        gauge('routers', len(self._membership.peers()))
        return GAUGE_INTERVAL_S
