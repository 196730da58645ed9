"""
One agent's leases: when to request, renew and release them.
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
class _PendingRequest:
    record: LeaseRecord
    sent_at: Instant


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
        self._pending: dict[str, _PendingRequest] = {}
        self._last_append: float | None = None
        self._next_offset = 0
        self._last_number = 0
        self._last_read: float = 0
        self._is_log_unavailable = False
        self._has_gap = False

    # Queries

    @property
    def table(self) -> LeaseTable:
        """
        Return all leases as read from the log.
        """
        return self._table

    @property
    def is_log_unavailable(self) -> bool:
        """
        Tell whether the last read of the log failed.
        """
        return self._is_log_unavailable

    def min_log_time(self, now: Instant) -> float:
        """
        Return a time that the log's clock has certainly reached.
        """
        return self._table.log_time + now.steady - self._last_read

    def valid_grant(self, group: str, now: Instant) -> Grant | None:
        """
        Return this agent's lease of a group, if certainly still valid.
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
        Tell whether no order of earlier holders can still take effect.
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
        Apply a page of the log; pages may overlap.
        """
        self._is_log_unavailable = False
        self._has_gap = self._has_gap or page.first > self._next_offset
        self._next_offset = max(self._next_offset, page.first)
        for record in page.records:
            if record.offset >= self._next_offset:
                self._next_offset = record.offset + 1
                self._apply_record(record, now)

    def apply_outage(self) -> None:
        """
        Note that a read of the log failed.
        """
        self._is_log_unavailable = True

    def next_record(
        self, wanted: Collection[str], now: Instant
    ) -> LeaseRecord | None:
        """
        Return the record to append now, if any.

        :param wanted: the groups that unfinished orders need.
        """
        may_append = self._last_append is None or (
            now.steady - self._last_append >= self._timings.append_interval_s
        )
        if self._is_log_unavailable or not may_append:
            return None
        unneeded = [
            group
            for group in held_groups(self._table, self._holder)
            if group not in wanted and self.valid_grant(group, now)
        ]
        if unneeded:
            return self._make_record(unneeded, now, release=True)
        due = [group for group in wanted if self._needs_request(group, now)]
        return self._make_record(due, now) if due else None

    def _apply_record(self, record: LogRecord, now: Instant) -> None:
        if self._has_gap:
            self._has_gap = False
            self._table = reset_after_gap(self._table, record.time)
            self._grants.clear()
        self._last_read = now.steady
        self._table = advance_clock(self._table, record.time)
        lease = decode_record(record.body)
        if lease is not None:
            self._table = fold(self._table, lease, record.offset, record.time)
            self._update_grants(lease)

    def _needs_request(self, group: str, now: Instant) -> bool:
        grant = self.valid_grant(group, now)
        if grant is not None:
            return (
                seconds_left(grant, now, self._timings) < self._timings.renew_s
            )
        lease = self._table.get(group)
        if lease is not None and lease.holder == self._holder:
            return True
        # A request that comes too early does no harm: the fold ignores it.
        log_time = max(
            self.min_log_time(now), now.wall - self._timings.margin_s
        )
        return self._table.is_free(group, log_time)

    def _make_record(
        self, groups: Collection[str], now: Instant, *, release: bool = False
    ) -> LeaseRecord:
        self._last_append = now.steady
        self._last_number += 1
        record = LeaseRecord(
            f'{self._holder}.{self._last_number}',
            self._holder,
            tuple(sorted(groups)),
            release,
        )
        stale = [
            record_id
            for record_id, request in self._pending.items()
            if now.steady - request.sent_at.steady > self._timings.lease_s
        ]
        for record_id in stale:
            self._pending.pop(record_id)
        self._pending[record.id] = _PendingRequest(record, now)
        return record

    def _update_grants(self, record: LeaseRecord) -> None:
        request = self._pending.pop(record.id, None)
        if request is None or record.release:
            return
        for group in record.groups:
            lease = self._table.get(group)
            if lease is not None and lease.holder == self._holder:
                self._grants[group] = Grant(lease.fence, request.sent_at)
