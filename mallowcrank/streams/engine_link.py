"""
Persistent connections to one engine.

Calls carry few steps each, and urllib3's connection pool takes more CPU time
for a call than everything else in a step. This module therefore uses urllib3's
connections without its pool. They are opened and checked as the pool would do;
a request is sent in one piece and is never retried.
"""

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPException, HTTPResponse

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from mallowcrank.bounded_reading import (
    MAX_ANSWER_BYTES,
    BoundedSocket,
    Bounds,
    read_body,
)
from mallowcrank.calls import CONNECT_TIMEOUT_S, Reply
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran

POST = 'POST'


@dataclass(frozen=True)
class IdleConnection:
    """
    An open connection that is not in use.

    :param last_answer: steady time in seconds of the last answer over it.
    """

    connection: HTTPConnection
    last_answer: float


class EngineLink:
    """
    Sends POST requests to one address; safe to use from any thread.

    :param address: `IP:PORT`.
    :param content_type: of all request bodies.
    :param max_idle_s: a connection that was idle for longer is replaced, since
        the peer may be gone without closing it.
    :param steady: returns steady time in seconds.
    """

    def __init__(
        self,
        address: str,
        content_type: str,
        max_idle_s: float,
        steady: Callable[[], float] = time.monotonic,
    ) -> None:
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._head = (
            f' HTTP/1.1\r\nHost: {address}\r\nContent-Type: {content_type}'
        )
        self._max_idle_s = max_idle_s
        self._steady = steady
        self._idle: deque[IdleConnection] = deque()

    def post(self, path: str, body: bytes, timeout_s: float) -> Reply | Failure:
        """
        Send one request, without retries.

        An answer that is too long has an unknown outcome.

        :param timeout_s: seconds until the request fails.
        """
        deadline = time.monotonic() + timeout_s
        try:
            connection = self._connect(timeout_s)
        except (HTTPError, OSError) as connect_error:
            return Failure(f'can not connect: {connect_error}', Ran.NO)
        try:
            return self._exchange(
                connection, self._request(path, body), deadline
            )
        except (HTTPException, HTTPError, OSError) as error:
            connection.close()
            self._close_idle()
            return Failure(f'no answer: {error}', Ran.UNKNOWN)

    def _request(self, path: str, body: bytes) -> bytes:
        head = f'{POST} {path}{self._head}\r\nContent-Length: {len(body)}'
        return b'\r\n\r\n'.join((head.encode('ascii'), body))

    def _connect(self, timeout_s: float) -> HTTPConnection:
        """
        Return a recently used connection, or else a new one.

        :raises HTTPError: if no connection can be opened.
        :raises OSError: if no connection can be opened.
        """
        connection = self._take_idle()
        if connection is None:
            connection = HTTPConnection(
                self._host,
                self._port,
                timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            )
            connection.connect()
        connection.sock.settimeout(timeout_s)
        return connection

    def _take_idle(self) -> HTTPConnection | None:
        while self._idle:
            try:
                idle = self._idle.pop()
            except IndexError:  # another thread took it
                return None
            is_recent = self._steady() - idle.last_answer <= self._max_idle_s
            if is_recent and idle.connection.is_connected:
                return idle.connection
            idle.connection.close()
        return None

    def _exchange(
        self, connection: HTTPConnection, request: bytes, deadline: float
    ) -> Reply:
        """
        Send a request and read its answer.

        :param deadline: monotonic time in seconds.
        :raises HTTPException: if the answer is malformed, truncated or too
            long.
        :raises OSError: if the connection breaks or times out.
        """
        connection.send(request)
        bounds = Bounds(MAX_ANSWER_BYTES, deadline)
        answer = BoundedSocket(connection.sock, bounds)
        with HTTPResponse(answer, method=POST) as response:  # type: ignore[arg-type]
            response.begin()
            received = read_body(response, MAX_ANSWER_BYTES)
            reply = Reply(response.status, received, dict(response.headers))
            is_last = response.will_close
        if is_last:
            connection.close()
        else:
            self._idle.append(IdleConnection(connection, self._steady()))
        return reply

    def _close_idle(self) -> None:
        while self._idle:
            try:
                idle = self._idle.pop()
            except IndexError:  # another thread took it
                return
            idle.connection.close()
