"""
Holds on targets that are drained for orders.

A hold lasts no longer than the lease that it is under, so that routers use the
target again soon after the holder has died.
"""

from collections.abc import Callable

from mallowcrank.clock import Clock
from mallowcrank.leases.records import LeaseTimings
from mallowcrank.leases.steps import Job
from mallowcrank.membership.facts import Hold


class HoldPublisher:
    """
    This agent's holds, spread again while their orders are at work.

    :param publish: spreads a hold to all agents.
    """

    def __init__(
        self,
        publish: Callable[[Hold], None],
        clock: Clock,
        timings: LeaseTimings,
    ) -> None:
        self._publish = publish
        self._clock = clock
        self._timings = timings
        self._fences: dict[str, int] = {}
        self._spread: dict[str, float] = {}
        self._numbers = 0

    def begin(self, job: Job, fence: int) -> None:
        """
        Hold an order's target.

        :param fence: the fencing number of the lease.
        """
        self._fences[job.id] = fence
        self._tell(job, active=True)

    def renew(self, job: Job) -> None:
        """
        Spread a hold again, where half of its time has passed.
        """
        spread = self._spread.get(job.id)
        if spread is None:
            return
        if self._clock.steady() - spread >= self._timings.renew_s:
            self._tell(job, active=True)

    def end(self, job: Job) -> None:
        """
        Hold an order's target no more.
        """
        if self._spread.pop(job.id, None) is not None:
            self._tell(job, active=False)
            self._spread.pop(job.id)
            self._fences.pop(job.id)

    def _tell(self, job: Job, *, active: bool) -> None:
        self._numbers += 1
        self._spread[job.id] = self._clock.steady()
        until = self._clock.now() + self._timings.lease_s
        fence = self._fences[job.id]
        self._publish(
            Hold(job.order.target, fence, self._numbers, active, until)
        )
