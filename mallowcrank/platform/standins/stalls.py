"""
Streams of a stand-in that wait for word of another path.
"""

import asyncio
from http import HTTPStatus

Hops = list[tuple[str, int, int]]


class Stalls:
    """
    The stalled streams of one replica.

    :param paths: those that streams were told to go on over.
    """

    def __init__(self) -> None:
        self.paths: list[Hops] = []
        self._waiting: dict[str, asyncio.Event] = {}

    def __len__(self) -> int:
        """
        Return how many streams wait.
        """
        return len(self._waiting)

    async def wait(self, request: str) -> None:
        """
        Wait for another path.
        """
        self._waiting[request] = asyncio.Event()
        await self._waiting[request].wait()

    def go_on(self, request: str, hops: Hops) -> int:
        """
        Let a stream go on over another path.

        :returns: the status of the answer to the order.
        """
        going = self._waiting.pop(request, None)
        if going is None:
            return HTTPStatus.NOT_FOUND
        self.paths.append(hops)
        going.set()
        return HTTPStatus.OK
