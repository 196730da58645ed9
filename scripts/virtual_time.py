"""
Virtual time: runs scheduled jobs in order, without waiting.
"""

import heapq
import itertools
from collections.abc import Callable

from mallowcrank.membership.events import Instant

START_S = 1_700_000_000  # seconds since the epoch
POLL_INTERVAL_S = 0.05  # of a condition that is waited for

Job = Callable[[], object]


class VirtualTime:
    """
    Runs jobs at their virtual times.
    """

    def __init__(self) -> None:
        self._now: float = START_S
        self._queue: list[tuple[float, int, Job]] = []
        self._numbers = itertools.count(1)

    @property
    def now(self) -> float:
        """
        Return the virtual time in seconds since the epoch.
        """
        return self._now

    @property
    def instant(self) -> Instant:
        """
        Return the current time on both clocks.
        """
        return Instant(self._now, self._now)

    def next_number(self) -> int:
        """
        Return a number that was not returned before.
        """
        return next(self._numbers)

    def call_later(self, seconds: float, job: Job) -> None:
        """
        Run a job after a delay in seconds.
        """
        heapq.heappush(
            self._queue, (self._now + seconds, self.next_number(), job)
        )

    def run(self, seconds: float) -> None:
        """
        Advance the time by some seconds and run the jobs that are due.
        """
        end = self._now + seconds
        while self._queue and self._queue[0][0] <= end:
            when, _, job = heapq.heappop(self._queue)
            self._now = when
            job()
        self._now = end

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """
        Advance the time until a condition holds.

        :param limit_s: seconds to wait at most.
        :returns: the seconds until the condition held.
        :raises TimeoutError: if it doesn't hold within the limit.
        """
        start = self._now
        while not condition():
            if self._now - start > limit_s:
                raise TimeoutError(f'condition not met within {limit_s} s')
            self.run(POLL_INTERVAL_S)
        return self._now - start
