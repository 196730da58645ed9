"""
The actor that maintains the agent's copy of the settings.
"""

import zlib
from dataclasses import dataclass, replace
from typing import Any

from pykka import ThreadingActor

from mallowcrank.actors import keep_running
from mallowcrank.agent.diagnostics import SettingsDiagnostics
from mallowcrank.agent.messages import (
    NO_TREE,
    RECORD_TOPIC,
    FetchNeed,
    RecordMessage,
    TreeAnswer,
    TreeQuestion,
)
from mallowcrank.agent.ports import GossipPort
from mallowcrank.clock import Clock
from mallowcrank.codec import to_plain
from mallowcrank.config.effective import EffectiveSettings, compute_effective
from mallowcrank.config.parsing import (
    is_settings_change,
)
from mallowcrank.config.replica import (
    PeerRecord,
    Replica,
    apply_page,
    apply_peer_progress,
    apply_peer_record,
    apply_tree,
)
from mallowcrank.config.snapshots import pack_tree, unpack_tree
from mallowcrank.config.tree import Tree
from mallowcrank.findings import Finding
from mallowcrank.logs import PartLog
from mallowcrank.ports import LogPage, LogRecord
from mallowcrank.timeline import Timeline


@dataclass(frozen=True, slots=True)
class SettingsStatus:
    """
    The state of an agent's settings, as shown to operators.

    :param version: the offset of the last accepted record, or -1.
    :param through: no record up to this offset is missing, or -1.
    :param missing: records before this offset could not be read; 0 if none
        are missing.
    :param age_s: seconds since the log or a peer last confirmed the settings.
    :param outage: why the log can't be read, or an empty string.
    """

    version: int
    through: int
    missing: int
    age_s: float
    outage: str = ''
    findings: tuple[str, ...] = ()


@dataclass(frozen=True)
class SettingsDependencies:
    """
    Dependencies of the `SettingsActor`.

    :param feed: a proxy of the `FeedActor`.
    """

    gossip: GossipPort
    clock: Clock
    timeline: Timeline
    feed: Any = None


log = PartLog('config')


class SettingsActor(ThreadingActor):
    """
    Applies records from the log and from peers, and updates the feed.
    """

    def __init__(self, dependencies: SettingsDependencies) -> None:
        super().__init__()
        self._dependencies = dependencies
        self._replica = Replica()
        self._effective = EffectiveSettings()
        self._diagnostics = SettingsDiagnostics(dependencies.timeline)
        self._confirmed_s = dependencies.clock.steady()
        self._max_peer_offset = -1
        self._caught_up = False

    # Commands

    def apply_page(self, page: LogPage) -> None:
        """
        Apply a page of the log and send its new records to peers.
        """
        self._diagnostics.update_outage('')
        self._confirmed_s = self._dependencies.clock.steady()
        for record in page.records:
            self._diagnostics.check_record(record, self._replica)
        for record in page.records:
            single = replace(page, records=(record,))
            self._apply_record(single, record)
        if not page.records:
            self._replace_replica(apply_page(self._replica, page))
        if self._replica.read_through >= page.next - 1:
            self._caught_up = True

    @keep_running(log)
    def apply_outage(self, reason: str) -> None:
        """
        Record that the log can't be read.
        """
        self._diagnostics.update_outage(reason)

    @keep_running(log)
    def apply_message(self, message: RecordMessage) -> None:
        """
        Apply a record from a peer, and send it on if it is new.
        """
        record = LogRecord(message.offset, message.time, message.body)
        peer_record = PeerRecord(record, message.after)
        updated = apply_peer_record(self._replica, peer_record)
        if updated is None:
            self._max_peer_offset = max(self._max_peer_offset, message.offset)
            return
        if updated is self._replica:
            return
        self._replace_replica(updated)
        self._gossip_record(record, message.after)

    def apply_tree(self, answer: TreeAnswer) -> None:
        """
        Apply a peer's tree if it contains later records.
        """
        if not answer.tree:
            updated = apply_peer_progress(
                self._replica, answer.last, answer.through
            )
            self._replace_replica(updated)
            return
        try:
            peer_tree = unpack_tree(zlib.decompress(answer.tree))
        except (ValueError, TypeError, zlib.error) as error:
            self._diagnostics.add_finding(
                Finding('a peer', f'its tree is malformed: {error}')
            )
            return
        self._confirmed_s = self._dependencies.clock.steady()
        self._replace_replica(apply_tree(self._replica, peer_tree))

    # Queries

    def answer(self, question: TreeQuestion) -> TreeAnswer:
        """
        Answer a peer's request for a tree.
        """
        tree = self._replica.tree
        if tree is None:
            return TreeAnswer(NO_TREE)
        if tree.last <= question.last:
            return TreeAnswer(tree.last, tree.through)
        packed = zlib.compress(pack_tree(tree), 1)
        return TreeAnswer(tree.last, tree.through, packed)

    def replica(self) -> Replica:
        """
        Return the agent's replica of the settings.
        """
        return self._replica

    def effective(self) -> EffectiveSettings:
        """
        Return the effective settings.
        """
        return self._effective

    def fetch_need(self) -> FetchNeed:
        """
        Return whether, and why, settings have to be fetched from peers.
        """
        tree = self._replica.tree
        if tree is None or tree.version < 0:
            return FetchNeed.URGENT
        if (
            not self._replica.is_complete
            or tree.through < self._max_peer_offset
        ):
            return FetchNeed.URGENT
        return FetchNeed.OUTAGE if self._diagnostics.outage else FetchNeed.NONE

    def status(self) -> SettingsStatus:
        """
        Return the state of the settings for operators.
        """
        replica = self._replica
        through = -1 if replica.tree is None else replica.tree.through
        return SettingsStatus(
            version=self._effective.version,
            through=through,
            missing=0 if replica.is_complete else replica.contiguous_from,
            age_s=round(
                self._dependencies.clock.steady() - self._confirmed_s, 3
            ),
            outage=self._diagnostics.outage,
            findings=tuple(
                map(
                    str,
                    (
                        *find_missing_settings(replica),
                        *self._diagnostics.findings,
                    ),
                )
            ),
        )

    def age_s(self) -> float:
        """
        Return the seconds since the settings were last confirmed.
        """
        return self._dependencies.clock.steady() - self._confirmed_s

    # Helpers

    def _apply_record(self, page: LogPage, record: LogRecord) -> None:
        before = self._replica
        previous = -1 if before.tree is None else before.tree.last
        self._replace_replica(apply_page(before, page))
        is_known = (
            before.tree is not None and record.offset <= before.tree.through
        )
        if is_known or not self._caught_up or not is_settings_change(record):
            return
        if self._replica.is_complete:
            self._gossip_record(record, previous)

    def _replace_replica(self, replica: Replica) -> None:
        before = self._replica.tree
        self._replica = replica
        tree = replica.tree
        if tree is None or tree is before:
            return
        old = before or Tree()
        if tree.last != old.last:
            self._diagnostics.report_outcomes(old, tree)
        if tree.version == self._effective.version:
            return
        self._effective = compute_effective(tree, self._effective, old)
        self._dependencies.feed.update_settings.defer(self._effective)

    def _gossip_record(self, record: LogRecord, after: int) -> None:
        message = RecordMessage(
            record.offset, record.time, after, dict(record.body)
        )
        self._dependencies.gossip.send(RECORD_TOPIC, to_plain(message))


def find_missing_settings(replica: Replica) -> tuple[Finding, ...]:
    """
    Return a finding if records or settings are missing.
    """
    if not replica.is_complete:
        return (
            Finding(
                'settings',
                f'records before offset {replica.contiguous_from} are missing',
                'they come from a peer that has them; if there is none, '
                'publish the whole tree with --restore',
            ),
        )
    if replica.tree.version < 0:
        return (Finding('settings', 'there are none', 'publish some'),)
    return ()
