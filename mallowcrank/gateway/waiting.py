"""
Requests that wait for memory of engines, the most urgent first.
"""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.targets import Lifetime

WOKEN = 2  # requests that look for a path when memory is given back
LOOK_S = 0.1  # also without word, since other gateways give memory back


@dataclass(order=True, slots=True)
class _Waiter:
    priority: int
    arrival: int
    turn: asyncio.Future[None] = field(compare=False)


class WaitingRoom:
    """
    The requests that wait in one gateway.
    """

    def __init__(self, meters: Meters) -> None:
        self._meters = meters
        self._waiters: list[_Waiter] = []
        self._arrivals = count()
        self._resting: dict[Lifetime, float] = {}

    async def wait(self, priority: int, within_s: float) -> None:
        """
        Wait for memory, or for some seconds.

        :param priority: 0 goes first.
        """
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        heappush(self._waiters, _Waiter(priority, next(self._arrivals), turn))
        self._meters.waiting.inc()
        timer = loop.call_later(min(LOOK_S, within_s), _resolve, turn)
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

    def rest(self, lifetime: Lifetime, until: float) -> None:
        """
        Use an engine no more until a steady time: it refused a request.
        """
        self._resting[lifetime] = until

    def resting(self, now: float) -> Collection[Lifetime]:
        """
        Return the engines that are not to be used now.
        """
        over = [
            lifetime
            for lifetime, until in self._resting.items()
            if until <= now
        ]
        for lifetime in over:
            self._resting.pop(lifetime)
        return self._resting.keys()


def _resolve(turn: asyncio.Future[None]) -> None:
    if not turn.done():
        turn.set_result(None)
