"""
Requests that wait for memory of engines, the most urgent first.
"""

import asyncio
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from mallowcrank.gateway.meters import Meters

WOKEN = 2  # requests that look for a path when memory is given back
WAKE_INTERVAL_S = (
    0.1  # also without word, since other gateways give memory back
)


@dataclass(order=True, slots=True)
class _Waiter:
    priority: int
    arrival: int
    turn: asyncio.Future[None] = field(compare=False)


class WaitQueue:
    """
    The requests that wait in one gateway.
    """

    def __init__(self, meters: Meters) -> None:
        self._meters = meters
        self._waiters: list[_Waiter] = []
        self._arrivals = count()

    async def wait(self, priority: int, within_s: float) -> None:
        """
        Wait for memory, or for some seconds.

        :param priority: 0 goes first.
        """
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        heappush(self._waiters, _Waiter(priority, next(self._arrivals), turn))
        self._meters.waiting.inc()
        timer = loop.call_later(min(WAKE_INTERVAL_S, within_s), _resolve, turn)
        try:
            await turn
        finally:
            timer.cancel()
            self._meters.waiting.dec()

    def notify(self) -> None:
        """
        Wake the first of those who wait.
        """
        woken = 0
        while self._waiters and woken < WOKEN:
            waiter = heappop(self._waiters)
            if not waiter.turn.done():
                waiter.turn.set_result(None)
                woken += 1


def _resolve(turn: asyncio.Future[None]) -> None:
    if not turn.done():
        turn.set_result(None)
