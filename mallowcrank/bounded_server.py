"""
Connections of the HTTP server, with bounds on each request.
"""

import socket
import time
from dataclasses import dataclass, replace
from typing import Any

from cheroot.makefile import StreamReader
from cheroot.server import HTTPConnection
from cheroot.wsgi import Server

from mallowcrank.bounded_reading import BoundedReader, Bounds

MAX_HEAD_BYTES = 64 * 1024
# Of a whole request; more than a body's limit is discarded.
MAX_REQUEST_BYTES = 64 * 1024 * 1024
# A chunk is kept until it is whole.
MAX_CHUNKED_BYTES = 16 * 1024 * 1024
REQUEST_TIMEOUT_S = 60
NOTHING = Bounds(max_bytes=0, deadline=0)


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """
    Limits of a request.

    :param total_bytes: the size of the largest request that is received.
    :param chunked_bytes: the same, of one in chunks.
    :param timeout_s: seconds until all of it is received.
    """

    total_bytes: int = MAX_REQUEST_BYTES
    chunked_bytes: int = MAX_CHUNKED_BYTES
    timeout_s: float = REQUEST_TIMEOUT_S


class BoundedStream(StreamReader):
    """
    A connection's requests, each within bounds.
    """

    def __init__(self, sock: socket.socket, bufsize: int) -> None:
        self.reader = BoundedReader(sock, NOTHING)
        # The base class would read from the socket itself.
        super(StreamReader, self).__init__(  # noqa: WPS608
            self.reader, bufsize
        )
        self.bytes_read = 0


class QueuedConnection(HTTPConnection):
    """
    A connection that measures how long it waited for a thread, and whose
    requests are bounded.

    :param queued_at: monotonic time in seconds when it began to wait.
    :param waited_s: seconds that it waited last.
    """

    queued_at: float = 0
    waited_s: float = 0

    def __init__(self, server: Any, sock: Any, *options: Any) -> None:
        super().__init__(server, sock, *options)
        self.rfile.close()
        self.rfile = BoundedStream(sock, self.rbufsize)

    def communicate(self) -> bool:
        """
        Read a request and answer it in a thread of the pool.
        """
        now = time.monotonic()
        self.waited_s = now - self.queued_at
        limits = self.server.read_limits
        self.rfile.reader.restart(
            Bounds(
                limits.total_bytes,
                now + limits.timeout_s,
                self.server.timeout,
            )
        )
        return bool(super().communicate())

    def limit_chunks(self) -> None:
        """
        Apply the limit of requests in chunks to the present one.
        """
        reader = self.rfile.reader
        max_bytes = self.server.read_limits.chunked_bytes
        reader.bounds = replace(reader.bounds, max_bytes=max_bytes)

    def restore_timeout(self) -> None:
        """
        Let writes wait for as long as they may, after the request was read.
        """
        self.socket.settimeout(self.server.timeout)


class QueueingServer(Server):
    """
    A server that records when a connection begins to wait for a thread.

    :ivar read_limits: of each request.
    """

    read_limits = ReadLimits()

    def process_conn(self, conn: QueuedConnection) -> None:
        """
        Queue a connection with a readable socket.
        """
        conn.queued_at = time.monotonic()
        super().process_conn(conn)
