"""
Streams of a stand-in that wait for word of another path.
"""

import asyncio
from http import HTTPStatus

Path = list[tuple[str, int, int]]


class StalledStreams:
    """
    The stalled streams of one replica.

    :param paths: those that streams were told to go on over.
    """

    def __init__(self) -> None:
        self.resumed_paths: list[Path] = []
        self._resumed: dict[str, asyncio.Event] = {}

    def __len__(self) -> int:
        """
        Return how many streams wait.
        """
        return len(self._resumed)

    async def wait(self, request: str) -> None:
        """
        Wait for another path.
        """
        self._resumed[request] = asyncio.Event()
        await self._resumed[request].wait()

    def resume(self, request: str, hops: Path) -> int:
        """
        Let a stream go on over another path.

        :returns: the status of the answer to the order.
        """
        going = self._resumed.pop(request, None)
        if going is None:
            return HTTPStatus.NOT_FOUND
        self.resumed_paths.append(hops)
        going.set()
        return HTTPStatus.OK
