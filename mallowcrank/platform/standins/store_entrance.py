"""
An address of the stand-in store, with faults of its own.
"""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from urllib.parse import parse_qs

from mallowcrank.gateway.caller_channel import CallerRequest, ResponseWriter
from mallowcrank.gateway.error_responses import JSON_HEADER
from mallowcrank.gateway.ports import Headers
from mallowcrank.platform.standins.server import StandinServer

FOREVER_S = 3600
PIECE_S = 0.05  # between two pieces of a slow answer
CallHandler = Callable[
    [str, dict[str, str], bytes], Awaitable[tuple[int, bytes]]
]


class StoreFaults:
    """
    Injected faults.

    The mode is '' for none, 'busy' (503), 'many' (429), 'silent' or 'reset'.
    """

    def __init__(self) -> None:
        #: Number of calls that are carried out, but not answered.
        self.lost_answers = 0
        #: Pace of an answer's body, in bytes per second; none for all at once.
        self.bytes_per_s: float | None = None
        self._mode = ''
        self._silences = 0

    @property
    def mode(self) -> str:
        """
        Return the fault of all calls.
        """
        return self._mode

    @mode.setter
    def mode(self, mode: str) -> None:
        if mode == 'silent':
            self.lose_pending()
        self._mode = mode

    @property
    def silences(self) -> int:
        """
        Return how often the answers under way were lost.
        """
        return self._silences

    def lose_pending(self) -> None:
        """
        Never answer the calls that are under way; their channels stay open.
        """
        self._silences += 1


class StoreEntrance:
    """
    An address at which the store takes calls.

    :param answer: carries out a call of a name, and returns the status and
        the body of its answer.
    :param era_headers: returns the headers that all answers have.
    """

    def __init__(
        self, answer: CallHandler, era_headers: Callable[[], Headers]
    ) -> None:
        self.server = StandinServer(self._serve)
        self.faults = StoreFaults()
        self._answer = answer
        self._era_headers = era_headers

    async def _serve(
        self, request: CallerRequest, answer: ResponseWriter
    ) -> None:
        if self.faults.mode:
            await self._refuse(answer)
            return
        query = {
            name: values[0] for name, values in parse_qs(request.query).items()
        }
        name = request.path.removeprefix('/log-')
        silences = self.faults.silences
        status, body = await self._answer(name, query, request.body)
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            await asyncio.sleep(FOREVER_S)
        if self.faults.silences != silences:
            await asyncio.sleep(FOREVER_S)
        headers = (JSON_HEADER, *self._era_headers())
        if self.faults.bytes_per_s is None:
            answer.send(status, headers, body)
        else:
            await send_slowly(
                answer, status, headers, body, self.faults.bytes_per_s
            )

    async def _refuse(self, answer: ResponseWriter) -> None:
        if self.faults.mode == 'silent':
            await asyncio.sleep(FOREVER_S)
        elif self.faults.mode == 'reset':
            answer.abort()
        elif self.faults.mode == 'many':
            answer.send(HTTPStatus.TOO_MANY_REQUESTS, self._era_headers(), b'')
        else:
            answer.send(
                HTTPStatus.SERVICE_UNAVAILABLE, self._era_headers(), b''
            )


async def send_slowly(
    answer: ResponseWriter,
    status: int,
    headers: Headers,
    body: bytes,
    bytes_per_s: float,
) -> None:
    """
    Write a complete response in pieces, at the pace of a slow link.
    """
    answer.begin(status, headers)
    piece_bytes = max(1, int(bytes_per_s * PIECE_S))
    for start in range(0, len(body), piece_bytes):
        await asyncio.sleep(PIECE_S)
        answer.write(body[start : start + piece_bytes])
    answer.finish()
