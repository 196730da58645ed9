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


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """
    How long a streamed answer may keep its caller waiting.

    :param answer_s: seconds until the answer begins.
    :param silence_s: seconds without a byte of its body.
    """

    response_timeout_s: float
    idle_timeout_s: float


class StreamedReply:
    """
    An HTTP answer whose body still comes.
    """

    def __init__(
        self, response: BaseHTTPResponse, idle_timeout_s: float
    ) -> None:
        self._response = response
        connection = response.connection
        if connection is not None and connection.sock is not None:
            connection.sock.settimeout(idle_timeout_s)

    @property
    def status(self) -> int:
        """
        Return the status.
        """
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """
        Return the headers.
        """
        return dict(self._response.headers)

    def read_chunk(self) -> bytes | Failure:
        """
        Wait for the next piece; an empty one is the end.
        """
        try:
            return self._response.read1()
        except (HTTPError, OSError) as broken:
            return Failure(f'the answer broke off: {broken}', Ran.UNKNOWN)

    def close(self) -> None:
        """
        Close the connection.
        """
        self._response.close()


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
        max_idle_s: float = 5,
        steady: Callable[[], float] = time.monotonic,
    ) -> None:
        self._address = address
        self._connections = connections
        self._max_idle_s = max_idle_s
        self._steady = steady
        self._pool = self._new_pool()
        self._last_active = steady()

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
        if self._steady() - self._last_active > self._max_idle_s:
            self.reset()
        try:
            response = self._request(method, path, body, headers, timeout_s)
        except (NewConnectionError, ConnectTimeoutError) as refused:
            return Failure(f'can not connect: {refused}', Ran.NO)
        except (HTTPError, OSError) as broken:
            self.reset()
            return Failure(f'no answer: {broken}', Ran.UNKNOWN)
        self._last_active = self._steady()
        return Reply(response.status, response.data, dict(response.headers))

    def open(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        limits: StreamLimits,
    ) -> 'StreamedReply | Failure':
        """
        Make one call; its answer's body can be taken while it still comes.
        """
        try:
            response = self._request(
                method,
                path,
                body,
                headers,
                limits.response_timeout_s,
                preload=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as refused:
            return Failure(f'can not connect: {refused}', Ran.NO)
        except (HTTPError, OSError) as broken:
            return Failure(f'no answer: {broken}', Ran.UNKNOWN)
        return StreamedReply(response, limits.idle_timeout_s)

    def reset(self) -> None:
        """
        Close idle connections; the next call opens a fresh one.
        """
        stale = self._pool
        self._pool = self._new_pool()
        self._last_active = self._steady()
        stale.close()

    def _new_pool(self) -> HTTPConnectionPool:
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
        *,
        preload: bool = True,
    ) -> BaseHTTPResponse:
        return self._pool.urlopen(
            method,
            path,
            body=body,
            headers=headers,
            retries=False,
            redirect=False,
            preload_content=preload,
            timeout=Timeout(
                connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
            ),
        )


def fetch_json(address: str, path: str, timeout_s: float) -> Any | Failure:
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
