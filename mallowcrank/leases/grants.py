"""
A holder's own judgement of its leases, also after it was paused.
"""

from dataclasses import dataclass

from mallowcrank.leases.records import DEFAULT_TIMINGS, LeaseTimings
from mallowcrank.membership.events import Instant


@dataclass(frozen=True, slots=True)
class Grant:
    """
    A lease as its holder knows it.

    :param fence: the fencing number.
    :param asked: when the record that granted or last renewed it was sent.
        The log gave the record its time after that, so that counting from
        here never ends late, whatever the log's clock says.
    """

    fence: int
    requested_at: Instant


def is_held(
    grant: Grant, now: Instant, timings: LeaseTimings = DEFAULT_TIMINGS
) -> bool:
    """
    Tell whether a lease surely lasts.

    Both clocks have to say so: the steady one is not set by anybody, and the
    wall clock also counts while the host was suspended.
    """
    limit = timings.lease_s - timings.margin_s
    return (
        0 <= now.steady - grant.requested_at.steady < limit
        and abs(now.wall - grant.requested_at.wall) < limit
    )


def seconds_left(
    grant: Grant, now: Instant, timings: LeaseTimings = DEFAULT_TIMINGS
) -> float:
    """
    Return for how many seconds a lease surely lasts.
    """
    return (
        timings.lease_s
        - timings.margin_s
        - (now.steady - grant.requested_at.steady)
    )
