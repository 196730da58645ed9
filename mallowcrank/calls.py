"""
An HTTP client on urllib3 that never retries by itself.
"""

import json
import math
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http.client import HTTPException
from typing import Any

from urllib3 import BaseHTTPResponse, HTTPConnectionPool, Timeout
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from mallowcrank.bounded_reading import (
    MAX_ANSWER_BYTES,
    PIECE_BYTES,
    BoundedAnswers,
    Bounds,
    read_body,
)
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran

CONNECT_TIMEOUT_S = 1
OK = 200


@dataclass(frozen=True)
class Reply:
    """
    A complete HTTP response.
    """

    status: int
    body: bytes = b''
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """
    Timeouts of a streamed response.

    :param response_timeout_s: seconds until the response begins.
    :param idle_timeout_s: seconds without a byte of the body.
    :param total_timeout_s: seconds until all of it is received.
    """

    response_timeout_s: float
    idle_timeout_s: float
    total_timeout_s: float = math.inf


class BoundedConnection(BoundedAnswers, HTTPConnection):
    """
    A connection whose answers are bounded.
    """


class StreamedReply:
    """
    An HTTP response whose body is still being received.

    :param idle_timeout_s: seconds without a byte of the body.
    :param deadline: monotonic time in seconds.
    """

    def __init__(
        self,
        response: BaseHTTPResponse,
        idle_timeout_s: float,
        deadline: float = math.inf,
    ) -> None:
        self._response = response
        self._idle_timeout_s = idle_timeout_s
        self._deadline = deadline
        # The response gives its connection up at its end.
        self._connection = response.connection

    @property
    def status(self) -> int:
        """
        Return the status code.
        """
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """
        Return the response headers.
        """
        return dict(self._response.headers)

    def read_chunk(self) -> bytes | Failure:
        """
        Wait for the next chunk of the body.

        A chunk comes within the idle timeout, even if bytes that belong to no
        chunk come before it.

        :returns: the chunk; empty at the end of the body.
        """
        if isinstance(self._connection, BoundedConnection):
            chunk_deadline = time.monotonic() + self._idle_timeout_s
            self._connection.reader.restart(
                Bounds(MAX_ANSWER_BYTES, min(chunk_deadline, self._deadline))
            )
        try:
            return self._response.read1(PIECE_BYTES)
        except (HTTPError, HTTPException, OSError) as read_error:
            self.close()
            return Failure(f'the answer broke off: {read_error}', Ran.UNKNOWN)

    def close(self) -> None:
        """
        Close the connection.
        """
        self._response.close()


class HttpCaller:
    """
    An HTTP client for one address with persistent connections.

    :param address: `IP:PORT`.
    :param connections: the maximum of connections kept open.
    :param max_idle_s: seconds without a response after which a call opens a
        new connection, because idle ones may be dead without notice.
    :param steady: returns monotonic time in seconds.
    :param max_answer_bytes: the size of the longest answer that is read as a
        whole.
    """

    def __init__(
        self,
        address: str,
        connections: int = 4,
        max_idle_s: float = 5,
        steady: Callable[[], float] = time.monotonic,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._max_answer_bytes = max_answer_bytes
        self._address = address
        self._connections = connections
        self._max_idle_s = max_idle_s
        self._steady = steady
        self._pool = self._new_pool()
        self._last_active = steady()

    @property
    def address(self) -> str:
        """
        Return the address that calls go to.
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
        Send one request, without retries, and read the whole response.

        An answer that is too long has an unknown outcome.

        :param timeout_s: seconds until the call fails; sending the request and
            waiting for the head of the answer take up to as long each.
        """
        deadline = time.monotonic() + timeout_s
        if self._steady() - self._last_active > self._max_idle_s:
            self.reset()
        try:
            response = self._request(method, path, body, headers, timeout_s)
            received = self._read(response, deadline)
        except (NewConnectionError, ConnectTimeoutError) as connect_error:
            return Failure(f'can not connect: {connect_error}', Ran.NO)
        except (HTTPError, HTTPException, OSError) as read_error:
            self.reset()
            return Failure(f'no answer: {read_error}', Ran.UNKNOWN)
        self._last_active = self._steady()
        return Reply(response.status, received, dict(response.headers))

    def open(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        limits: StreamLimits,
    ) -> 'StreamedReply | Failure':
        """
        Send one request, without retries, and stream the response's body.
        """
        deadline = time.monotonic() + limits.total_timeout_s
        try:
            response = self._request(
                method,
                path,
                body,
                headers,
                limits.response_timeout_s,
            )
        except (NewConnectionError, ConnectTimeoutError) as connect_error:
            return Failure(f'can not connect: {connect_error}', Ran.NO)
        except (HTTPError, OSError) as read_error:
            return Failure(f'no answer: {read_error}', Ran.UNKNOWN)
        return StreamedReply(response, limits.idle_timeout_s, deadline)

    def reset(self) -> None:
        """
        Close idle connections; the next call opens a new one.
        """
        old_pool = self._pool
        self._pool = self._new_pool()
        self._last_active = self._steady()
        old_pool.close()

    def _read(self, response: BaseHTTPResponse, deadline: float) -> bytes:
        """
        Read the whole body of an answer.

        :raises HTTPError: if the answer is malformed or truncated.
        :raises HTTPException: if it is too long.
        """
        max_bytes = self._max_answer_bytes
        connection = response.connection
        if isinstance(connection, BoundedConnection):
            connection.reader.bounds = Bounds(max_bytes, deadline)
        try:
            received = read_body(response, max_bytes)
        except (HTTPError, HTTPException):
            response.close()
            raise
        response.release_conn()
        return received

    def _new_pool(self) -> HTTPConnectionPool:
        host, _, port = self._address.rpartition(':')
        pool = HTTPConnectionPool(
            host, int(port), maxsize=self._connections, retries=False
        )
        pool.ConnectionCls = BoundedConnection
        return pool

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
            preload_content=False,
            timeout=Timeout(
                connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
            ),
        )


def fetch_json(address: str, path: str, timeout_s: float) -> Any | Failure:
    """
    Fetch a JSON document with one request on a new connection.

    :param address: `IP:PORT`.
    :param timeout_s: seconds until the call fails.
    :returns: the parsed document, or a `Failure`.
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
