"""
Publishes holds on targets that are drained for orders.

A hold expires with its lease, so that routers use the target again soon after
the lease's holder has died.
"""

from collections.abc import Callable

from mallowcrank.clock import Clock
from mallowcrank.leases.records import LeaseTimings
from mallowcrank.leases.steps import Job
from mallowcrank.membership.facts import Hold


class HoldPublisher:
    """
    Publishes this agent's holds, and renews them until their orders end.

    :param publish: sends a hold to all agents.
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
        self._published_at: dict[str, float] = {}
        self._last_number = 0

    def begin(self, job: Job, fence: int) -> None:
        """
        Publish a hold on an order's target.

        :param fence: the fencing number of the lease.
        """
        self._fences[job.id] = fence
        self._publish_hold(job, active=True)

    def renew(self, job: Job) -> None:
        """
        Publish an order's hold again once half of its time has passed.
        """
        published_at = self._published_at.get(job.id)
        if published_at is None:
            return
        if self._clock.steady() - published_at >= self._timings.renew_s:
            self._publish_hold(job, active=True)

    def end(self, job: Job) -> None:
        """
        Withdraw the hold on an order's target.
        """
        if self._published_at.pop(job.id, None) is not None:
            self._publish_hold(job, active=False)
            self._published_at.pop(job.id)
            self._fences.pop(job.id)

    def _publish_hold(self, job: Job, *, active: bool) -> None:
        self._last_number += 1
        self._published_at[job.id] = self._clock.steady()
        until = self._clock.now() + self._timings.lease_s
        fence = self._fences[job.id]
        self._publish(
            Hold(job.order.target, fence, self._last_number, active, until)
        )
