"""
The fold of lease records: log order decides who holds what.

The offset of the record that granted a lease is its fencing number. A reader
that started late doesn't know what was forgotten; it takes no grant for sure
that forgotten leases could contradict.
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
    The last lease of one group.

    All times are seconds by the log's clock.

    :param fence: the offset of the record that granted it.
    :param until: when it ends, unless it is renewed.
    :param orders_until: until when orders of earlier holders may be at work.
    :param released: whether it was given back, with no order at work.
    """

    holder: str
    fence: int
    until: float
    prior_orders_until: float = NEVER
    released: bool = False

    def is_free(self, log_time: float) -> bool:
        """
        Tell whether another holder may have the group.
        """
        return self.released or log_time >= self.until

    def all_orders_until(self, timings: LeaseTimings) -> float:
        """
        Return until when orders of this or earlier holders may be at work.
        """
        if self.released:
            return self.prior_orders_until
        return max(self.prior_orders_until, self.until + timings.max_order_s)


@dataclass(frozen=True)
class LeaseTable:
    """
    All leases, after some prefix of the log.

    :param log_time: the time of the last record.
    :param unsure_until: until when leases that were forgotten may last.
    """

    leases: Mapping[str, Lease] = field(default_factory=dict)
    log_time: float = NEVER
    group_unknown_until: Mapping[str, float] = field(default_factory=dict)
    all_unknown_until: float = NEVER
    timings: LeaseTimings = DEFAULT_TIMINGS

    def get(self, group: str) -> Lease | None:
        """
        Return the last known lease of a group.
        """
        return self.leases.get(group)

    def unknown_until(self, group: str) -> float:
        """
        Return from when on grants of a group are sure.
        """
        return max(
            self.all_unknown_until, self.group_unknown_until.get(group, NEVER)
        )

    def is_free(self, group: str, log_time: float) -> bool:
        """
        Tell whether a record of this time would be granted the group.
        """
        if log_time < self.unknown_until(group):
            return False
        lease = self.get(group)
        return lease is None or lease.is_free(log_time)


def reset_after_gap(table: LeaseTable, first_time: float) -> LeaseTable:
    """
    Records before a time were forgotten unread.

    :param first_time: the time of the oldest record that is kept.
    """
    return LeaseTable(
        log_time=max(table.log_time, first_time),
        all_unknown_until=first_time + table.timings.lease_s,
        timings=table.timings,
    )


def advance_clock(table: LeaseTable, time: float) -> LeaseTable:
    """
    Return the table with the log's clock moved on; it never goes back.
    """
    return replace(table, log_time=max(time, table.log_time))


def fold(
    table: LeaseTable, record: LeaseRecord, offset: int, time: float
) -> LeaseTable:
    """
    Return the table after a record.

    :param time: seconds by the log's clock.
    """
    table = advance_clock(table, time)
    now = table.log_time
    if record.release:
        return _release(table, record)
    unsure = [
        group for group in record.groups if now < table.unknown_until(group)
    ]
    if not all(
        group in unsure or _grants(table, group, record, now)
        for group in record.groups
    ):
        return table
    if unsure:
        return _stay_unsure(table, record, now)
    leases = dict(table.leases)
    for group in record.groups:
        leases[group] = _granted(table, group, record, offset)
    return replace(table, leases=leases)


def _grants(
    table: LeaseTable, group: str, record: LeaseRecord, now: float
) -> bool:
    lease = table.get(group)
    if lease is None or lease.is_free(now):
        return True
    return lease.holder == record.holder


def _granted(
    table: LeaseTable, group: str, record: LeaseRecord, offset: int
) -> Lease:
    now = table.log_time
    until = now + table.timings.lease_s
    lease = table.get(group)
    orders_until = table.unknown_until(group) + table.timings.max_order_s
    if lease is not None:
        if lease.holder == record.holder and not lease.is_free(now):
            return replace(lease, until=until)
        orders_until = max(orders_until, lease.all_orders_until(table.timings))
    return Lease(record.holder, offset, until, orders_until)


def _release(table: LeaseTable, record: LeaseRecord) -> LeaseTable:
    leases = {
        group: replace(lease, released=True)
        if group in record.groups and lease.holder == record.holder
        else lease
        for group, lease in table.leases.items()
    }
    return replace(table, leases=leases)


def _stay_unsure(
    table: LeaseTable, record: LeaseRecord, now: float
) -> LeaseTable:
    unsure = dict(table.group_unknown_until)
    for group in record.groups:
        unsure[group] = now + table.timings.lease_s
    return replace(table, group_unknown_until=unsure)


def held_groups(table: LeaseTable, holder: str) -> Iterable[str]:
    """
    Return the groups that a holder was granted and has not given back.
    """
    return tuple(
        group
        for group, lease in table.leases.items()
        if lease.holder == holder and not lease.released
    )
