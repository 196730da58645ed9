"""
Stalled streams of a stand-in, until they are resumed over another path.
"""

import asyncio
from http import HTTPStatus

Path = list[tuple[str, int, int]]


class StalledStreams:
    """
    The stalled streams of one replica.

    :param resumed_paths: paths over which streams were resumed.
    """

    def __init__(self) -> None:
        self.resumed_paths: list[Path] = []
        self._resumed: dict[str, asyncio.Event] = {}

    def __len__(self) -> int:
        """
        Return the number of stalled streams.
        """
        return len(self._resumed)

    async def wait(self, request: str) -> None:
        """
        Stall a stream until it is resumed.
        """
        self._resumed[request] = asyncio.Event()
        await self._resumed[request].wait()

    def resume(self, request: str, path: Path) -> int:
        """
        Resume a stream over another path.

        :returns: the status of the answer to the order.
        """
        resumed = self._resumed.pop(request, None)
        if resumed is None:
            return HTTPStatus.NOT_FOUND
        self.resumed_paths.append(path)
        resumed.set()
        return HTTPStatus.OK
