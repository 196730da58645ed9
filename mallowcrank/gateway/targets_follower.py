"""
Follower of the targets' entries in the store.
"""

from math import inf

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.entries_knowledge import EntriesKnowledge
from mallowcrank.gateway.entries_status import EntriesSnapshot, EntriesStatus
from mallowcrank.gateway.entry_reading import EntryReader
from mallowcrank.gateway.followers import TopicFollower
from mallowcrank.gateway.peers import Peers
from mallowcrank.gateway.ports import LogPosition, StoreRecord
from mallowcrank.gateway.store_client import StoreClient

LATE_READ_S = 2.0
# After a store outage, entries that expired during it may return. An entry
# that is removed later is gone.
UNCONFIRMED_S = 1.5
# After the store comes back from an older copy, outdated entries are replaced
# when their targets write them again, or expire.
RESTORED_S = 10


class TargetsFollower(TopicFollower):
    """
    Reads the targets' entries as they change, or takes them over.

    :ivar knowledge: how old this gateway's entries are.
    """

    def __init__(self, core: Core, link: StoreClient) -> None:
        super().__init__(link, core.vocabulary, core.random, core.journal)
        self._topic = self._store_calls.targets_topic
        self._fleet = core.fleet
        self._peers = core.peers
        self._entries = EntryReader(core)
        self.knowledge = EntriesKnowledge(
            core, self._entries, lambda: self._position
        )
        self._last_read_at = -inf
        self._is_at_end = False
        self._settled_at = -inf
        self._reading_since: float | None = None

    @property
    def is_reading(self) -> bool:
        """
        Return whether this gateway's reads succeed.
        """
        is_available = self._link.unavailable_since is None
        return is_available and self._reading_since is not None

    def status(self) -> EntriesStatus | None:
        """
        Return how far the entries are known, if they are known at all.
        """
        if self._position is None:
            return None
        return EntriesStatus(self._position, self.read_for_s())

    def read_for_s(self) -> float:
        """
        Return the seconds for which reads have succeeded, or 0.
        """
        now = monotonic_s()
        is_late = now - self._last_read_at > LATE_READ_S
        if self._reading_since is None or is_late:
            return 0
        return now - self._reading_since

    async def step(self) -> bool:
        """
        Read once; begin anew some time after a change of the era, for entries
        that were ignored as outdated.
        """
        now = monotonic_s()
        settled_at = self._link.era_changed_at + RESTORED_S
        if self._position and self._settled_at < settled_at < now:
            self._settled_at = now
            self._begin_anew(self._link.era)
        if self._position:
            self._position = self.knowledge.skip_heartbeats(self._position)
        return await super().step()

    async def run(self) -> None:
        """
        Follow the topic until cancelled.
        """
        while True:
            sent_at = monotonic_s()
            self._is_at_end = False
            has_succeeded = await self.step()
            self._record_read(has_succeeded, sent_at)
            if has_succeeded:
                self._backoff.reset()
                due_in_s = self.knowledge.due_in_s
                while due_in_s > 0 and not await self._pause(due_in_s):
                    due_in_s = self.knowledge.due_in_s
            else:
                await self._pause(self._backoff.next_pause_s())

    def adopt(self, snapshot: EntriesSnapshot) -> None:
        """
        Take over the entries that another gateway has read further on.
        """
        if self._position and snapshot.position <= self._position:
            return
        now = monotonic_s()
        for identity, raw in snapshot.entries.items():
            self._apply_raw(identity, raw)
        for identity, lapsed_for_s in snapshot.lapsed.items():
            self._fleet.apply_removal(
                identity, now - lapsed_for_s, is_confirmed=False
            )
        self._fleet.apply_missing(snapshot.entries, now, is_confirmed=True)
        self._entries.keep_only(
            snapshot.entries.keys() - snapshot.lapsed.keys()
        )
        self._position = snapshot.position
        self.knowledge.adopt()
        if not self.is_reading:
            self.knowledge.confirm(now, 'another gateway')

    async def _read_newest(self) -> bool:
        records: list[StoreRecord] = []
        after = ''
        position: LogPosition | None = None
        while True:
            found = await self._newest_page('targets-newest', after)
            if found is None:
                return False
            page, era = found
            # Records that are written between two pages are read after them.
            position = position or LogPosition(era, page.end)
            if era != position.era:
                return False
            records.extend(page.records)
            if not page.has_more or not page.records:
                break
            after = page.records[-1].key
        if self._position:
            # Another gateway's view was adopted meanwhile.
            return True
        self._apply(tuple(records), era)
        identities = [each.key for each in records]
        self._entries.keep_only(set(identities))
        self._fleet.apply_missing(
            identities,
            _gone_since(self._link, self._peers),
            _is_removal_confirmed(self._link, self._peers),
        )
        self._position = position
        self._is_at_end = True
        return True

    async def _read(self, position: LogPosition) -> bool:
        call = self._store_calls.read(self._topic, position.offset, 0)
        answer = await self._link.call('targets-read', call)
        return self._apply_answer(answer, position)

    def _handle_end(self) -> None:
        self._is_at_end = True

    def _apply(self, records: tuple[StoreRecord, ...], era: int) -> bool:
        newest = {record.key: record for record in records}
        for record in newest.values():
            if record.content is None:
                self._entries.forget(record.key)
                self._fleet.apply_removal(
                    record.key,
                    _gone_since(self._link, self._peers),
                    _is_removal_confirmed(self._link, self._peers),
                )
            else:
                self._apply_raw(record.key, record.content)
        return True

    def _apply_raw(self, identity: str, raw: bytes) -> None:
        era_age_s = monotonic_s() - self._link.era_changed_at
        self._entries.apply(identity, raw, is_restored=era_age_s < RESTORED_S)

    def _record_read(self, has_succeeded: bool, sent_at: float) -> None:
        """
        Record a read.

        :param sent_at: steady time at which it began, in seconds.
        """
        if not has_succeeded:
            self._reading_since = None
            return
        now = monotonic_s()
        if not self.read_for_s():
            self._reading_since = now
        self._last_read_at = now
        if self._is_at_end:
            self.knowledge.verify(sent_at)
            # Word of a read spares the others theirs.
            self._peers.broadcast()


def _gone_since(link: StoreClient, peers: Peers) -> float:
    """
    Return the steady time since which a removed entry may be missing, in
    seconds: after an outage, when the store was reached again.
    """
    if _is_removal_confirmed(link, peers):
        return monotonic_s()
    return max(link.recovered_at, link.era_changed_at)


def _is_removal_confirmed(link: StoreClient, peers: Peers) -> bool:
    """
    Return whether a gateway has reached the store long enough, so that
    entries that expired in an outage would have returned.
    """
    now = monotonic_s()
    if now - link.era_changed_at <= UNCONFIRMED_S:
        return False
    if now - link.recovered_at > UNCONFIRMED_S:
        return True
    statuses = [peer.last_status.entries for peer in peers.live()]
    return any(
        status and status.read_for_s > UNCONFIRMED_S for status in statuses
    )
