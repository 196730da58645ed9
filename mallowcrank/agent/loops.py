"""
The agent's background jobs; each runs periodically in a thread of its own.
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
READ_PAUSE_S = 0.05  # between two reads of the log
LEASE_READ_PAUSE_S = 0.5  # after a page of leases only
OUTAGE_PAUSE_S = 0.5
CHECK_INTERVAL_S = 2
MIN_FETCH_BACKOFF_S = 0.5  # while settings are missing
MAX_FETCH_BACKOFF_S = 4  # after many attempts
FETCH_TIMEOUT_S = 2
URGENT_FETCH_PEERS = 2  # asked at a time while settings are missing
OUTAGE_FETCH_INTERVAL_S = 1  # while the log is unavailable
MAX_SNAPSHOT_DELAY_S = 60  # random delay; usually one agent writes
HEARTBEAT_INTERVAL_S = 1
GAUGE_INTERVAL_S = 10
MS_PER_S = 1000
MEMBER_BATCH_S = 0.05  # in which membership changes are batched
LOAD_BATCH_S = 0.5  # if only loads and demands changed
log = PartLog('agent')


class Loop:
    """
    A thread that runs a job repeatedly.

    :param job: returns the seconds to wait before its next run.
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
        Stop the thread after the current run of its job.
        """
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                pause = self._job()
            except Exception as error:
                log.say(
                    'A background job failed.',
                    loop=self._thread.name,
                    error=error,
                )
                pause = OUTAGE_PAUSE_S
            self._stopped.wait(pause)


class LogFollower:
    """
    Reads the platform's log in order and passes each page to all sinks.
    """

    def __init__(
        self,
        platform_log: LogPort,
        sinks: Sequence[LogSink],
        rng: random.Random,
    ) -> None:
        self._log = platform_log
        self._rng = rng
        self._sinks = sinks
        self._next = 0

    def __call__(self) -> float:
        """
        Read one page.

        :returns: the seconds until the next read.
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
        return read_pause_s(page, self._rng)


def read_pause_s(page: LogPage, rng: random.Random) -> float:
    """
    Return the seconds until the next read of the log.

    Lease records are frequent while many agents have orders, and aren't
    urgent. The pause after them is random, so that some agent soon reads a
    settings record that follows and passes it on.
    """
    types = {record.body.get('type') for record in page.records}
    if types == {RECORD_TYPE}:
        return LEASE_READ_PAUSE_S * (1 + rng.random()) / 2
    return READ_PAUSE_S


class SettingsFetcher:
    """
    Fetches settings from peers that have read more of the log.

    :param settings: a proxy of the `SettingsActor`.
    """

    def __init__(
        self, settings: Any, gossip: GossipPort, rng: random.Random
    ) -> None:
        self._settings = settings
        self._gossip = gossip
        self._rng = rng
        self._attempts = 0

    def __call__(self) -> float:
        """
        Ask random peers for their tree if this agent needs one.

        :returns: the seconds until the next check.
        """
        need = self._settings.fetch_need().get()
        if need is not FetchNeed.URGENT:
            self._attempts = 0
        if need is FetchNeed.NONE:
            return CHECK_INTERVAL_S
        peers = self._gossip.addresses()
        count = URGENT_FETCH_PEERS if need is FetchNeed.URGENT else 1
        for peer in self._rng.sample(peers, min(count, len(peers))):
            self._fetch_tree(peer)
        if need is FetchNeed.OUTAGE:
            return OUTAGE_FETCH_INTERVAL_S
        self._attempts += 1
        return fetch_backoff_s(self._attempts, self._rng)

    def _fetch_tree(self, peer: str) -> None:
        tree = self._settings.replica().get().tree
        question = TreeQuestion(NO_TREE if tree is None else tree.last)
        answer = self._gossip.ask(
            peer, TREE_TOPIC, to_plain(question), FETCH_TIMEOUT_S
        )
        if answer is not None:
            self._settings.apply_tree(from_plain(answer, TreeAnswer)).get()


def fetch_backoff_s(attempts: int, rng: random.Random) -> float:
    """
    Return the seconds until peers are asked again, with jitter.

    :param attempts: how often peers have been asked since settings were
        missing.
    """
    pause = min(
        MIN_FETCH_BACKOFF_S * 2 ** min(attempts - 1, 10), MAX_FETCH_BACKOFF_S
    )
    return pause * (1 + rng.random()) / 2


class SnapshotWriter:
    """
    Appends a snapshot before the records that it covers expire from the log.

    Each agent waits for a random time first, so that usually only one writes.
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
        self._rng = rng
        self._write_at_s: float | None = None

    def __call__(self) -> float:
        """
        Append a snapshot if one is due and this agent's delay is over.

        :returns: the seconds until the next check.
        """
        replica = self._settings.replica().get()
        retention_s = self._settings.effective().get().retention_s
        if not is_snapshot_due(replica, retention_s, self._clock.now()):
            self._write_at_s = None
        elif self._write_at_s is None:
            max_delay_s = min(MAX_SNAPSHOT_DELAY_S, retention_s / 8)
            self._write_at_s = (
                self._clock.steady() + self._rng.random() * max_delay_s
            )
        elif self._clock.steady() >= self._write_at_s:
            self._write_at_s = None
            self._append_snapshot(replica.tree)
        return CHECK_INTERVAL_S

    def _append_snapshot(self, tree: Any) -> None:
        record_id = f'snapshot-{self._host}-{self._rng.getrandbits(64):016x}'
        record = make_snapshot(tree, record_id, self._host)
        appended = self._log.append(to_body(record))
        log.say('A snapshot was appended.', through=tree.through, got=appended)


class FeedHeartbeat:
    """
    Sends heartbeats to the routers.
    """

    def __init__(self, settings: Any, feed: Any) -> None:
        self._settings = settings
        self._feed = feed

    def __call__(self) -> float:
        """
        Send one heartbeat.

        :returns: the seconds until the next one.
        """
        self._feed.send_heartbeat.defer(round(self._settings.age_s().get(), 1))
        return HEARTBEAT_INTERVAL_S


class MembershipNotifier:
    """
    Updates the feed after membership changes, in batches.
    """

    def __init__(self, feed: Any) -> None:
        self._feed = feed
        self._changed = threading.Event()
        self._urgent = threading.Event()

    def __call__(self) -> float:
        """
        Wait for a change and update the feed.

        Changes that aren't urgent are batched for longer.

        :returns: the seconds until the next call.
        """
        if self._changed.wait(HEARTBEAT_INTERVAL_S):
            self._urgent.wait(LOAD_BATCH_S)
            self._changed.clear()
            self._urgent.clear()
            self._feed.update_members().get()
        return MEMBER_BATCH_S

    def mark_changed(self, is_urgent: bool) -> None:
        """
        Record that membership has changed, without blocking.

        :param is_urgent: whether more than loads and demands has changed.
        """
        self._changed.set()
        if is_urgent:
            self._urgent.set()


class GaugeReporter:
    """
    Reports the agent's gauges.

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
        Set all gauges.

        :returns: the seconds until the next report.
        """
        settings_status = self._settings.status().get()
        targets = self._membership.targets().values()
        not_live = [
            each for each in targets if each.state is not TargetState.LIVE
        ]
        gauge = self._metrics.gauge
        gauge('version', settings_status.version)
        gauge('settings_age', settings_status.age_s * MS_PER_S)
        gauge('log_out', int(bool(settings_status.outage)))
        gauge('findings', len(settings_status.findings))
        gauge('targets', len(targets))
        gauge('targets_not_live', len(not_live))
        gauge('routers', len(self._membership.peers()))
        return GAUGE_INTERVAL_S
