"""
The actor that holds the settings of this agent.
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
    What an operator sees of an agent's settings.

    :param version: the offset of the last accepted record, or -1.
    :param through: no record up to this offset is missing.
    :param missing: records before this offset could not be read, or 0.
    :param age_s: seconds since the log or a peer last confirmed them.
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
    What the actor works with.

    :param feed: a proxy of the `FeedActor`.
    """

    gossip: GossipPort
    clock: Clock
    timeline: Timeline
    feed: Any = None


log = PartLog('config')


class SettingsActor(ThreadingActor):
    """
    Takes in records from the log and from peers, and tells the feed.
    """

    def __init__(self, around: SettingsDependencies) -> None:
        super().__init__()
        self._around = around
        self._replica = Replica()
        self._effective = EffectiveSettings()
        self._notes = SettingsDiagnostics(around.timeline)
        self._confirmed = around.clock.steady()
        self._peers_reach = -1
        self._caught_up = False

    # Commands

    def apply_page(self, page: LogPage) -> None:
        """
        Take in a page of the log, and pass on its new records.
        """
        self._notes.update_outage('')
        self._confirmed = self._around.clock.steady()
        for record in page.records:
            self._notes.check_record(record, self._replica)
        for record in page.records:
            single = replace(page, records=(record,))
            self._take_record(single, record)
        if not page.records:
            self._take(apply_page(self._replica, page))
        if self._replica.read_through >= page.next - 1:
            self._caught_up = True

    @keep_running(log)
    def apply_outage(self, reason: str) -> None:
        """
        Take in that the log can't be read.
        """
        self._notes.update_outage(reason)

    @keep_running(log)
    def apply_message(self, message: RecordMessage) -> None:
        """
        Take in a record that a peer passed on, and pass it on if it is new.
        """
        record = LogRecord(message.offset, message.time, message.body)
        after = PeerRecord(record, message.after)
        taken = apply_peer_record(self._replica, after)
        if taken is None:
            self._peers_reach = max(self._peers_reach, message.offset)
            return
        if taken is self._replica:
            return
        self._take(taken)
        self._spread(record, message.after)

    def apply_tree(self, answer: TreeAnswer) -> None:
        """
        Take in a peer's tree, where it reaches further.
        """
        if not answer.tree:
            reached = apply_peer_progress(
                self._replica, answer.last, answer.through
            )
            self._take(reached)
            return
        try:
            offered = unpack_tree(zlib.decompress(answer.tree))
        except (ValueError, TypeError, zlib.error) as error:
            self._notes.add_finding(
                Finding('a peer', f'its tree is malformed: {error}')
            )
            return
        self._confirmed = self._around.clock.steady()
        self._take(apply_tree(self._replica, offered))

    # Queries

    def answer(self, question: TreeQuestion) -> TreeAnswer:
        """
        Answer a peer that asks for a tree.
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
        Return what this agent holds.
        """
        return self._replica

    def effective(self) -> EffectiveSettings:
        """
        Return the effective settings.
        """
        return self._effective

    def fetch_need(self) -> FetchNeed:
        """
        Tell whether peers may know more than this agent.
        """
        tree = self._replica.tree
        if tree is None or tree.version < 0:
            return FetchNeed.URGENT
        if not self._replica.is_complete or tree.through < self._peers_reach:
            return FetchNeed.URGENT
        return FetchNeed.OUTAGE if self._notes.outage else FetchNeed.NONE

    def status(self) -> SettingsStatus:
        """
        Return what an operator sees.
        """
        replica = self._replica
        through = -1 if replica.tree is None else replica.tree.through
        return SettingsStatus(
            version=self._effective.version,
            through=through,
            missing=0 if replica.is_complete else replica.contiguous_from,
            age_s=round(self._around.clock.steady() - self._confirmed, 3),
            outage=self._notes.outage,
            findings=tuple(
                map(
                    str,
                    (*find_missing_settings(replica), *self._notes.findings),
                )
            ),
        )

    def age_s(self) -> float:
        """
        Return seconds since the settings were confirmed.
        """
        return self._around.clock.steady() - self._confirmed

    # Helpers

    def _take_record(self, page: LogPage, record: LogRecord) -> None:
        before = self._replica
        after = -1 if before.tree is None else before.tree.last
        self._take(apply_page(before, page))
        known = before.tree is not None and record.offset <= before.tree.through
        if known or not self._caught_up or not is_settings_change(record):
            return
        if self._replica.is_complete:
            self._spread(record, after)

    def _take(self, replica: Replica) -> None:
        before = self._replica.tree
        self._replica = replica
        tree = replica.tree
        if tree is None or tree is before:
            return
        old = before or Tree()
        if tree.last != old.last:
            self._notes.report_outcomes(old, tree)
        if tree.version == self._effective.version:
            return
        self._effective = compute_effective(tree, self._effective, old)
        self._around.feed.update_settings.defer(self._effective)

    def _spread(self, record: LogRecord, after: int) -> None:
        message = RecordMessage(
            record.offset, record.time, after, dict(record.body)
        )
        self._around.gossip.send(RECORD_TOPIC, to_plain(message))


def find_missing_settings(replica: Replica) -> tuple[Finding, ...]:
    """
    Return what an operator must know of settings that are not there.
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
