"""
The short life of orders that wait for a lease.

While an order waits, another agent may take and carry out a newer one for
the same target. So it must not wait for long, and not at all through a pause.
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

PAUSE_THRESHOLD_S = (
    HOLD_PROPAGATION_S + MIN_IDLE_S
)  # no agent has a newer order sent in less
EXPIRED_NOTE = 'expired, ran: no'


def elapsed_s(before: Instant, now: Instant) -> float:
    """
    Return the seconds between two instants, by the clock that saw more.

    The steady clock may stand still while a host is suspended; the wall clock
    may be set back.
    """
    return max(now.steady - before.steady, abs(now.wall - before.wall))


def was_paused(looked: Instant, now: Instant) -> bool:
    """
    Tell whether an agent was paused since it last looked at its clocks.
    """
    return elapsed_s(looked, now) > PAUSE_THRESHOLD_S


def expire_queued(
    job: Job, looked: Instant, now: Instant, timings: LeaseTimings
) -> Job | None:
    """
    Return an order as expired, or `None` where it is not.

    :param looked: when the agent last looked at its clocks.
    """
    if job.stage is not Stage.QUEUED or job.fence != NO_FENCE:
        return None
    created = Instant(job.created, job.created_wall)
    if was_paused(looked, now):
        why = 'the agent was paused'
    elif elapsed_s(created, now) > timings.max_order_s:
        why = 'it waited too long for its lease'
    else:
        return None
    return replace(
        job,
        stage=Stage.EXPIRED,
        since=now.steady,
        note=f'{EXPIRED_NOTE}; {why}',
    )
