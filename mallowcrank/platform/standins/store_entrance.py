"""
An address of the stand-in store, with faults of its own.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import parse_qs

from mallowcrank.gateway.caller_channel import CallerRequest, ResponseWriter
from mallowcrank.gateway.error_responses import JSON_HEADER
from mallowcrank.gateway.ports import Headers
from mallowcrank.platform.standins.server import StandinServer

FOREVER_S = 3600
CallHandler = Callable[
    [str, dict[str, str], bytes], Awaitable[tuple[int, bytes]]
]


@dataclass
class StoreFaults:
    """
    Injected faults.

    :param mode: '' for none, 'busy' (503), 'many' (429), 'silent' or 'reset'.
    :param lost_answers: number of calls that are carried out, but not
        answered.
    """

    mode: str = ''
    lost_answers: int = 0


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
        status, body = await self._answer(name, query, request.body)
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            await asyncio.sleep(FOREVER_S)
        answer.send(status, (JSON_HEADER, *self._era_headers()), body)

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
