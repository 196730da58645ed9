"""
One agent's leases: when to ask, renew and give back.
"""

from collections.abc import Collection
from dataclasses import dataclass

from mallowcrank.leases.fold import (
    LONG_AGO,
    LeaseTable,
    fold,
    forget,
    held_groups,
)
from mallowcrank.leases.holding import Grant, is_held, seconds_left
from mallowcrank.leases.records import TERMS, LeaseRecord, read_record
from mallowcrank.membership.events import Instant
from mallowcrank.ports import LogPage

APPEND_EVERY_S = 5  # at least, between lease records of one agent
RENEW_S = TERMS.lease_s / 2  # left of a lease when it is renewed


@dataclass(frozen=True, slots=True)
class _Asked:
    record: LeaseRecord
    at: Instant


class LeaseKeeper:
    """
    Follows the log and decides which lease records to append.

    :param holder: this agent's host and incarnation.
    """

    def __init__(self, holder: str) -> None:
        self._holder = holder
        self._table = LeaseTable()
        self._grants: dict[str, Grant] = {}
        self._asked: dict[str, _Asked] = {}
        self._appended: float | None = None
        self._next = 0
        self._numbers = 0
        self._read: float = 0
        self._is_out = True

    # Queries

    @property
    def table(self) -> LeaseTable:
        """
        Return all leases as the log has them.
        """
        return self._table

    @property
    def is_out(self) -> bool:
        """
        Tell whether the log could not be read the last time.
        """
        return self._is_out

    def log_time(self, now: Instant) -> float:
        """
        Return a time that the log's clock has surely reached.
        """
        return self._table.log_time + now.steady - self._read

    def grant(self, group: str, now: Instant) -> Grant | None:
        """
        Return this agent's lease of a group, if it surely lasts.
        """
        lease = self._table.get(group)
        grant = self._grants.get(group)
        if lease is None or grant is None or lease.released:
            return None
        if lease.holder != self._holder or lease.fence != grant.fence:
            return None
        return grant if is_held(grant, now) else None

    def is_waited_out(self, group: str, now: Instant) -> bool:
        """
        Tell whether no order of earlier holders can be at work.
        """
        lease = self._table.get(group)
        if lease is None:
            return False
        if lease.orders_until == LONG_AGO:
            return True
        return self.log_time(now) >= lease.orders_until

    # Commands

    def apply_page(self, page: LogPage, now: Instant) -> None:
        """
        Take in a page of the log.
        """
        self._is_out = False
        if page.first > self._next and page.records:
            self._table = forget(self._table, page.records[0].time)
            self._grants.clear()
        for record in page.records:
            if record.offset < self._next:
                continue
            self._next = record.offset + 1
            self._read = now.steady
            lease = read_record(record.body)
            if lease is not None:
                self._table = fold(
                    self._table, lease, record.offset, record.time
                )
                self._note_grants(lease)
        self._next = max(self._next, page.first)

    def apply_outage(self) -> None:
        """
        The log could not be read.
        """
        self._is_out = True

    def decide(
        self, wanted: Collection[str], now: Instant
    ) -> LeaseRecord | None:
        """
        Return the record to append now, if any.

        :param wanted: groups that orders at hand need.
        """
        waited = self._appended is None or (
            now.steady - self._appended >= APPEND_EVERY_S
        )
        if self._is_out or not waited:
            return None
        done = [
            group
            for group in held_groups(self._table, self._holder)
            if group not in wanted and self.grant(group, now)
        ]
        if done:
            return self._ask(done, now, release=True)
        due = [group for group in wanted if self._is_due(group, now)]
        return self._ask(due, now) if due else None

    def _is_due(self, group: str, now: Instant) -> bool:
        grant = self.grant(group, now)
        if grant is not None:
            return seconds_left(grant, now) < RENEW_S
        lease = self._table.get(group)
        if lease is not None and lease.holder == self._holder:
            return True
        return self._table.is_free(group, self.log_time(now))

    def _ask(
        self, groups: Collection[str], now: Instant, *, release: bool = False
    ) -> LeaseRecord:
        self._appended = now.steady
        self._numbers += 1
        record = LeaseRecord(
            f'{self._holder}.{self._numbers}',
            self._holder,
            tuple(sorted(groups)),
            release,
        )
        stale = [
            each
            for each, asked in self._asked.items()
            if now.steady - asked.at.steady > TERMS.lease_s
        ]
        for each in stale:
            self._asked.pop(each)
        self._asked[record.id] = _Asked(record, now)
        return record

    def _note_grants(self, record: LeaseRecord) -> None:
        asked = self._asked.pop(record.id, None)
        if asked is None or record.release:
            return
        for group in record.groups:
            lease = self._table.get(group)
            if lease is not None and lease.holder == self._holder:
                self._grants[group] = Grant(lease.fence, asked.at)
