"""
One agent's leases: when to ask, renew and give back.
"""

from collections.abc import Collection
from dataclasses import dataclass

from mallowcrank.leases.fold import (
    NEVER,
    LeaseTable,
    advance_clock,
    fold,
    held_groups,
    reset_after_gap,
)
from mallowcrank.leases.grants import Grant, is_held, seconds_left
from mallowcrank.leases.records import (
    DEFAULT_TIMINGS,
    LeaseRecord,
    LeaseTimings,
    decode_record,
)
from mallowcrank.membership.events import Instant
from mallowcrank.ports import LogPage, LogRecord


@dataclass(frozen=True, slots=True)
class _Asked:
    record: LeaseRecord
    at: Instant


class LeaseManager:
    """
    Follows the log and decides which lease records to append.

    :param holder: this agent's host and incarnation.
    """

    def __init__(
        self, holder: str, timings: LeaseTimings = DEFAULT_TIMINGS
    ) -> None:
        self._holder = holder
        self._timings = timings
        self._table = LeaseTable(timings=timings)
        self._grants: dict[str, Grant] = {}
        self._asked: dict[str, _Asked] = {}
        self._appended: float | None = None
        self._next = 0
        self._numbers = 0
        self._read: float = 0
        self._is_out = False
        self._missed = False

    # Queries

    @property
    def table(self) -> LeaseTable:
        """
        Return all leases as the log has them.
        """
        return self._table

    @property
    def is_log_unavailable(self) -> bool:
        """
        Tell whether the log could not be read the last time.
        """
        return self._is_out

    def min_log_time(self, now: Instant) -> float:
        """
        Return a time that the log's clock has surely reached.
        """
        return self._table.log_time + now.steady - self._read

    def valid_grant(self, group: str, now: Instant) -> Grant | None:
        """
        Return this agent's lease of a group, if it surely lasts.
        """
        lease = self._table.get(group)
        grant = self._grants.get(group)
        if lease is None or grant is None or lease.released:
            return None
        if lease.holder != self._holder or lease.fence != grant.fence:
            return None
        return grant if is_held(grant, now, self._timings) else None

    def are_prior_orders_over(self, group: str, now: Instant) -> bool:
        """
        Tell whether no order of earlier holders can be at work.
        """
        lease = self._table.get(group)
        if lease is None:
            return False
        if lease.prior_orders_until == NEVER:
            return True
        return self.min_log_time(now) >= lease.prior_orders_until

    # Commands

    def apply_page(self, page: LogPage, now: Instant) -> None:
        """
        Take in a page of the log.
        """
        self._is_out = False
        self._missed = self._missed or page.first > self._next
        self._next = max(self._next, page.first)
        for record in page.records:
            if record.offset >= self._next:
                self._next = record.offset + 1
                self._apply(record, now)

    def apply_outage(self) -> None:
        """
        The log could not be read.
        """
        self._is_out = True

    def next_record(
        self, wanted: Collection[str], now: Instant
    ) -> LeaseRecord | None:
        """
        Return the record to append now, if any.

        :param wanted: groups that orders at hand need.
        """
        waited = self._appended is None or (
            now.steady - self._appended >= self._timings.append_interval_s
        )
        if self._is_out or not waited:
            return None
        done = [
            group
            for group in held_groups(self._table, self._holder)
            if group not in wanted and self.valid_grant(group, now)
        ]
        if done:
            return self._ask(done, now, release=True)
        due = [group for group in wanted if self._is_due(group, now)]
        return self._ask(due, now) if due else None

    def _apply(self, record: LogRecord, now: Instant) -> None:
        if self._missed:
            self._missed = False
            self._table = reset_after_gap(self._table, record.time)
            self._grants.clear()
        self._read = now.steady
        self._table = advance_clock(self._table, record.time)
        lease = decode_record(record.body)
        if lease is not None:
            self._table = fold(self._table, lease, record.offset, record.time)
            self._note_grants(lease)

    def _is_due(self, group: str, now: Instant) -> bool:
        grant = self.valid_grant(group, now)
        if grant is not None:
            return (
                seconds_left(grant, now, self._timings) < self._timings.renew_s
            )
        lease = self._table.get(group)
        if lease is not None and lease.holder == self._holder:
            return True
        # Asking too early does no harm: the fold decides.
        log_time = max(
            self.min_log_time(now), now.wall - self._timings.margin_s
        )
        return self._table.is_free(group, log_time)

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
            if now.steady - asked.at.steady > self._timings.lease_s
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
