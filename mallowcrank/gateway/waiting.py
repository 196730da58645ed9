"""
Queue of requests that wait for memory of engines, by priority.
"""

import asyncio
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from mallowcrank.gateway.meters import Meters

MAX_WOKEN = 2  # requests that retry when memory is released
WAKE_INTERVAL_S = 0.1  # other gateways release memory without a notice


@dataclass(order=True, slots=True)
class _Waiter:
    priority: int
    arrival: int
    wakeup: asyncio.Future[None] = field(compare=False)


class WaitQueue:
    """
    Requests of one gateway that wait for memory.
    """

    def __init__(self, meters: Meters) -> None:
        self._meters = meters
        self._waiters: list[_Waiter] = []
        self._arrivals = count()

    async def wait(self, priority: int, within_s: float) -> None:
        """
        Wait until memory is released, at most for the wake interval.

        :param priority: 0 is the most urgent.
        :param within_s: another limit on the wait, in seconds.
        """
        loop = asyncio.get_running_loop()
        wakeup = loop.create_future()
        heappush(self._waiters, _Waiter(priority, next(self._arrivals), wakeup))
        self._meters.waiting.inc()
        timer = loop.call_later(
            min(WAKE_INTERVAL_S, within_s), _resolve, wakeup
        )
        try:
            await wakeup
        finally:
            timer.cancel()
            self._meters.waiting.dec()

    def notify(self) -> None:
        """
        Wake the most urgent waiting requests.
        """
        woken_count = 0
        while self._waiters and woken_count < MAX_WOKEN:
            waiter = heappop(self._waiters)
            if not waiter.wakeup.done():
                waiter.wakeup.set_result(None)
                woken_count += 1


def _resolve(wakeup: asyncio.Future[None]) -> None:
    if not wakeup.done():
        wakeup.set_result(None)
