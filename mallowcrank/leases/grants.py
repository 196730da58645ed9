"""
Tells a holder whether its leases are still valid, even after a pause.
"""

from dataclasses import dataclass

from mallowcrank.leases.records import DEFAULT_TIMINGS, LeaseTimings
from mallowcrank.membership.events import Instant


@dataclass(frozen=True, slots=True)
class Grant:
    """
    A lease as its holder knows it.

    :param fence: the fencing number.
    :param requested_at: when the holder sent the record that granted or last
        renewed the lease. The log timestamps the record later than that, so
        a duration counted from here never ends too late, whatever time the
        log's clock shows.
    """

    fence: int
    requested_at: Instant


def is_held(
    grant: Grant, now: Instant, timings: LeaseTimings = DEFAULT_TIMINGS
) -> bool:
    """
    Tell whether a lease is certainly still valid.

    Both clocks have to agree: the monotonic clock can't be set, and the wall
    clock goes on while the host is suspended.
    """
    valid_s = timings.lease_s - timings.margin_s
    return (
        0 <= now.steady - grant.requested_at.steady < valid_s
        and abs(now.wall - grant.requested_at.wall) < valid_s
    )


def seconds_left(
    grant: Grant, now: Instant, timings: LeaseTimings = DEFAULT_TIMINGS
) -> float:
    """
    Return the seconds for which a lease stays valid, by the monotonic clock.
    """
    return (
        timings.lease_s
        - timings.margin_s
        - (now.steady - grant.requested_at.steady)
    )
