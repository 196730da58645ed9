"""
HTTP calls by urllib3, with no retries of the library's own.
"""

import json
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from urllib3 import BaseHTTPResponse, HTTPConnectionPool, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran

CONNECT_TIMEOUT_S = 1
OK = 200


@dataclass(frozen=True)
class Reply:
    """
    A whole HTTP answer.
    """

    status: int
    body: bytes = b''
    headers: Mapping[str, str] = field(default_factory=dict)


class HttpCaller:
    """
    Calls one address over kept connections.

    :param address: `IP:PORT`.
    :param connections: kept open at most.
    :param fresh_after_s: connections that have been idle for longer are not
        trusted: they may have gone silent, so that a fresh one is opened.
    """

    def __init__(
        self,
        address: str,
        connections: int = 4,
        fresh_after_s: float = 5,
        steady: Callable[[], float] = time.monotonic,
    ) -> None:
        self._address = address
        self._connections = connections
        self._fresh_after_s = fresh_after_s
        self._steady = steady
        self._pool = self._open()
        self._proven = steady()

    @property
    def address(self) -> str:
        """
        Return the address that is called.
        """
        return self._address

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 5,
    ) -> Reply | Failure:
        """
        Make one call; never a second one.

        :param timeout_s: seconds without progress until it counts as failed.
        """
        if self._steady() - self._proven > self._fresh_after_s:
            self.reset()
        try:
            response = self._request(method, path, body, headers, timeout_s)
        except (NewConnectionError, ConnectTimeoutError) as refused:
            return Failure(f'can not connect: {refused}', Ran.NO)
        except (HTTPError, OSError) as broken:
            self.reset()
            return Failure(f'no answer: {broken}', Ran.UNKNOWN)
        self._proven = self._steady()
        return Reply(response.status, response.data, dict(response.headers))

    def reset(self) -> None:
        """
        Close idle connections; the next call opens a fresh one.
        """
        stale = self._pool
        self._pool = self._open()
        self._proven = self._steady()
        stale.close()

    def _open(self) -> HTTPConnectionPool:
        host, _, port = self._address.rpartition(':')
        return HTTPConnectionPool(
            host, int(port), maxsize=self._connections, retries=False
        )

    def _request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str] | None,
        timeout_s: float,
    ) -> BaseHTTPResponse:
        return self._pool.urlopen(
            method,
            path,
            body=body,
            headers=headers,
            retries=False,
            redirect=False,
            timeout=Timeout(
                connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
            ),
        )


def ask_json(address: str, path: str, timeout_s: float) -> Any | Failure:
    """
    Ask an address once, over a connection of its own.

    :returns: the answer's JSON, or a `Failure`.
    """
    reply = HttpCaller(address, connections=1).call(
        'GET', path, timeout_s=timeout_s
    )
    if isinstance(reply, Failure):
        return reply
    if reply.status != OK:
        return Failure(f'{address}{path} answered {reply.status}', Ran.NO)
    try:
        return json.loads(reply.body)
    except ValueError:
        return Failure(f'{address}{path} answered no JSON', Ran.UNKNOWN)
