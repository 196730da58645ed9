"""
Virtual time: jobs in order, and no waiting.
"""

import heapq
import itertools
from collections.abc import Callable

from mallowcrank.membership.events import Instant

START_S = 1_700_000_000  # seconds since the epoch
POLL_INTERVAL_S = 0.05  # between looks whether something is so

Job = Callable[[], object]


class VirtualTime:
    """
    Runs jobs at their times.
    """

    def __init__(self) -> None:
        self._now: float = START_S
        self._queue: list[tuple[float, int, Job]] = []
        self._numbers = itertools.count(1)

    @property
    def now(self) -> float:
        """
        Return virtual seconds since the epoch.
        """
        return self._now

    @property
    def instant(self) -> Instant:
        """
        Return the present time on both clocks.
        """
        return Instant(self._now, self._now)

    def next_number(self) -> int:
        """
        Return a number not given before.
        """
        return next(self._numbers)

    def call_later(self, seconds: float, job: Job) -> None:
        """
        Have a job done after a while.
        """
        heapq.heappush(
            self._queue, (self._now + seconds, self.next_number(), job)
        )

    def run(self, seconds: float) -> None:
        """
        Let time pass.
        """
        end = self._now + seconds
        while self._queue and self._queue[0][0] <= end:
            when, _, job = heapq.heappop(self._queue)
            self._now = when
            job()
        self._now = end

    def run_until(self, is_so: Callable[[], bool], limit_s: float) -> float:
        """
        Let time pass until something is so.

        :returns: the seconds that it took.
        :raises TimeoutError: when it is not so within the limit.
        """
        start = self._now
        while not is_so():
            if self._now - start > limit_s:
                raise TimeoutError(f'not so within {limit_s} s')
            self.run(POLL_INTERVAL_S)
        return self._now - start
