"""
Kept connections to one engine.

There is a call for each few steps, and urllib3's pool takes more processor
time for it than all else that a step needs. Its connections are used without
it: they connect and are watched as the pool does it, a request goes out in
one piece, and nothing is sent a second time.
"""

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPException, HTTPResponse

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from mallowcrank.calls import CONNECT_TIMEOUT_S, Reply
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran

POST = 'POST'


@dataclass(frozen=True)
class IdleConnection:
    """
    An open connection.

    :param proven: steady time in seconds of its last answer.
    """

    connection: HTTPConnection
    last_answer: float


class EngineLink:
    """
    Posts to one address, from any thread.

    :param address: `IP:PORT`.
    :param content_type: of all bodies.
    :param fresh_after_s: a connection that has been idle for longer is not
        trusted: it may have gone silent, so that a fresh one is opened.
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
        Make one call; never a second one.

        :param timeout_s: seconds without progress until it counts as failed.
        """
        try:
            connection = self._connect(timeout_s)
        except (HTTPError, OSError) as refused:
            return Failure(f'can not connect: {refused}', Ran.NO)
        try:
            return self._exchange(connection, self._request(path, body))
        except (HTTPException, HTTPError, OSError) as broken:
            connection.close()
            self._close_idle()
            return Failure(f'no answer: {broken}', Ran.UNKNOWN)

    def _request(self, path: str, body: bytes) -> bytes:
        head = f'{POST} {path}{self._head}\r\nContent-Length: {len(body)}'
        return b'\r\n\r\n'.join((head.encode('ascii'), body))

    def _connect(self, timeout_s: float) -> HTTPConnection:
        """
        Return a connection that is proven, or else a fresh one.

        :raises HTTPError: when there is no connection.
        :raises OSError: when there is no connection.
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
                kept = self._idle.pop()
            except IndexError:  # another thread took it
                return None
            is_fresh = self._steady() - kept.last_answer <= self._max_idle_s
            if is_fresh and kept.connection.is_connected:
                return kept.connection
            kept.connection.close()
        return None

    def _exchange(self, connection: HTTPConnection, request: bytes) -> Reply:
        """
        Send a request and read its answer.

        :raises HTTPException: when the answer is malformed or cut off.
        :raises OSError: when the connection breaks or is silent.
        """
        connection.send(request)
        with HTTPResponse(connection.sock, method=POST) as response:
            response.begin()
            reply = Reply(
                response.status, response.read(), dict(response.headers)
            )
            is_last = response.will_close
        if is_last:
            connection.close()
        else:
            self._idle.append(IdleConnection(connection, self._steady()))
        return reply

    def _close_idle(self) -> None:
        while self._idle:
            try:
                kept = self._idle.pop()
            except IndexError:  # another thread took it
                return
            kept.connection.close()
