"""
Expiry of orders that wait for a lease.

While an order waits, another agent may accept and carry out a newer one for
the same target. A queued order therefore expires after a short wait, and at
once if its agent was paused.
"""

from dataclasses import replace

from mallowcrank.leases.orders import Stage
from mallowcrank.leases.records import LeaseTimings
from mallowcrank.leases.steps import (
    HOLD_PROPAGATION_S,
    MIN_IDLE_S,
    NO_FENCE,
    Job,
)
from mallowcrank.membership.events import Instant

# Another agent needs at least this long to send a newer order.
PAUSE_THRESHOLD_S = HOLD_PROPAGATION_S + MIN_IDLE_S
EXPIRED_NOTE = 'expired, ran: no'


def elapsed_s(before: Instant, now: Instant) -> float:
    """
    Return the seconds between two instants, by the clock that shows more.

    The monotonic clock may stop while the host is suspended, and the wall
    clock may be set back.
    """
    return max(now.steady - before.steady, abs(now.wall - before.wall))


def was_paused(last_check: Instant, now: Instant) -> bool:
    """
    Tell whether the agent was paused since it last checked its clocks.
    """
    return elapsed_s(last_check, now) > PAUSE_THRESHOLD_S


def expire_queued(
    job: Job, last_check: Instant, now: Instant, timings: LeaseTimings
) -> Job | None:
    """
    Return the job as expired, or `None` if it has not expired.

    Only queued orders expire that have not been under a lease yet.

    :param last_check: when the agent last checked its clocks.
    """
    if job.stage is not Stage.QUEUED or job.fence != NO_FENCE:
        return None
    created = Instant(job.created, job.created_wall)
    if was_paused(last_check, now):
        reason = 'the agent was paused'
    elif elapsed_s(created, now) > timings.max_order_s:
        reason = 'it waited too long for its lease'
    else:
        return None
    return replace(
        job,
        stage=Stage.EXPIRED,
        since=now.steady,
        note=f'{EXPIRED_NOTE}; {reason}',
    )
