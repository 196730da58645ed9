"""
Folds the log's lease records into a table of leases.

The order of the log decides who holds a lease. The offset of the record that
granted it is its fencing number (fencing token). A reader that started late
has not read the records that the log has dropped since; it ignores requests
that a lease in those records might contradict.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from mallowcrank.leases.records import (
    DEFAULT_TIMINGS,
    LeaseRecord,
    LeaseTimings,
)

NEVER = float('-inf')


@dataclass(frozen=True, slots=True)
class Lease:
    """
    The latest lease of one group.

    All times are seconds by the log's clock.

    :param holder: the holder's host and incarnation.
    :param fence: the offset of the record that granted it.
    :param until: when it ends unless renewed.
    :param prior_orders_until: until when orders of earlier holders may still
        take effect.
    :param released: whether the holder released it, which it does only when
        none of its orders can still take effect.
    """

    holder: str
    fence: int
    until: float
    prior_orders_until: float = NEVER
    released: bool = False

    def is_free(self, log_time: float) -> bool:
        """
        Tell whether another holder may acquire the group.

        :param log_time: seconds by the log's clock.
        """
        return self.released or log_time >= self.until

    def all_orders_until(self, timings: LeaseTimings) -> float:
        """
        Return until when orders of this or earlier holders may take effect.

        :returns: seconds by the log's clock.
        """
        if self.released:
            return self.prior_orders_until
        return max(self.prior_orders_until, self.until + timings.max_order_s)


@dataclass(frozen=True)
class LeaseTable:
    """
    All leases after some prefix of the log.

    All times are seconds by the log's clock.

    :param leases: the latest known lease of each group.
    :param log_time: the latest time of any record so far.
    :param group_unknown_until: by group, until when a lease may last that
        this reader can't know of, because it has not read all records.
    :param all_unknown_until: the same for all groups.
    """

    leases: Mapping[str, Lease] = field(default_factory=dict)
    log_time: float = NEVER
    group_unknown_until: Mapping[str, float] = field(default_factory=dict)
    all_unknown_until: float = NEVER
    timings: LeaseTimings = DEFAULT_TIMINGS

    def get(self, group: str) -> Lease | None:
        """
        Return the latest known lease of a group.
        """
        return self.leases.get(group)

    def unknown_until(self, group: str) -> float:
        """
        Return until when an unknown lease of the group may last.
        """
        return max(
            self.all_unknown_until, self.group_unknown_until.get(group, NEVER)
        )

    def is_free(self, group: str, log_time: float) -> bool:
        """
        Tell whether a record with this time would be granted the group.

        :param log_time: seconds by the log's clock.
        """
        if log_time < self.unknown_until(group):
            return False
        lease = self.get(group)
        return lease is None or lease.is_free(log_time)


def reset_after_gap(table: LeaseTable, first_time: float) -> LeaseTable:
    """
    Return a table without leases, after records were dropped unread.

    :param first_time: the time of the oldest record that the log retains.
    """
    return LeaseTable(
        log_time=max(table.log_time, first_time),
        all_unknown_until=first_time + table.timings.lease_s,
        timings=table.timings,
    )


def advance_clock(table: LeaseTable, time: float) -> LeaseTable:
    """
    Return the table with the log's clock advanced; it never goes back.
    """
    return replace(table, log_time=max(time, table.log_time))


def fold(
    table: LeaseTable, record: LeaseRecord, offset: int, time: float
) -> LeaseTable:
    """
    Return the table after a lease record.

    :param offset: the record's offset, the fencing number of new leases.
    :param time: the record's time, in seconds by the log's clock.
    """
    table = advance_clock(table, time)
    now = table.log_time
    if record.release:
        return _release(table, record)
    unknown = [
        group for group in record.groups if now < table.unknown_until(group)
    ]
    if not all(
        group in unknown or _may_acquire(table, group, record, now)
        for group in record.groups
    ):
        return table
    if unknown:
        return _extend_unknown(table, record, now)
    leases = dict(table.leases)
    for group in record.groups:
        leases[group] = _granted_lease(table, group, record, offset)
    return replace(table, leases=leases)


def _may_acquire(
    table: LeaseTable, group: str, record: LeaseRecord, now: float
) -> bool:
    lease = table.get(group)
    if lease is None or lease.is_free(now):
        return True
    return lease.holder == record.holder


def _granted_lease(
    table: LeaseTable, group: str, record: LeaseRecord, offset: int
) -> Lease:
    now = table.log_time
    until = now + table.timings.lease_s
    lease = table.get(group)
    prior_until = table.unknown_until(group) + table.timings.max_order_s
    if lease is not None:
        if lease.holder == record.holder and not lease.is_free(now):
            return replace(lease, until=until)
        prior_until = max(prior_until, lease.all_orders_until(table.timings))
    return Lease(record.holder, offset, until, prior_until)


def _release(table: LeaseTable, record: LeaseRecord) -> LeaseTable:
    leases = {
        group: replace(lease, released=True)
        if group in record.groups and lease.holder == record.holder
        else lease
        for group, lease in table.leases.items()
    }
    return replace(table, leases=leases)


def _extend_unknown(
    table: LeaseTable, record: LeaseRecord, now: float
) -> LeaseTable:
    unknown = dict(table.group_unknown_until)
    for group in record.groups:
        unknown[group] = now + table.timings.lease_s
    return replace(table, group_unknown_until=unknown)


def held_groups(table: LeaseTable, holder: str) -> Iterable[str]:
    """
    Return the groups that a holder was granted and has not released.

    A lease may have ended since.
    """
    return tuple(
        group
        for group, lease in table.leases.items()
        if lease.holder == holder and not lease.released
    )
