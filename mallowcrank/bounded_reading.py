"""
Bounds on what a peer may send in one message to a thread that waits for it.

All bytes of a message count, whatever part of it they belong to. HTTP parsers
read from a `BoundedReader` in place of the socket.
"""

import time
from dataclasses import dataclass, field
from http.client import HTTPException, HTTPResponse
from io import BufferedReader, RawIOBase
from socket import socket
from typing import Any, Protocol

from mallowcrank.logs import PartLog

MAX_ANSWER_BYTES = 16 * 1024 * 1024
PIECE_BYTES = 64 * 1024
log = PartLog('http')


class MessageTooLongError(HTTPException):
    """
    A peer has sent more than fits in one message.
    """


@dataclass(frozen=True, slots=True)
class Bounds:
    """
    Bounds of a message.

    :param max_bytes: the size of the longest message.
    :param deadline: monotonic time in seconds until which it is received.
    :param idle_timeout_s: seconds without a byte.
    """

    max_bytes: int
    deadline: float
    idle_timeout_s: float = field(default=float('inf'))


class BoundedReader(RawIOBase):
    """
    Reads from a socket within bounds.

    :ivar bounds: of the present message.
    """

    def __init__(self, sock: socket, bounds: Bounds) -> None:
        self._sock = sock
        self._raw = sock.makefile('rb', buffering=0)
        self._taken_bytes = 0
        self.bounds = bounds

    def restart(self, bounds: Bounds) -> None:
        """
        Count from zero, within other bounds.
        """
        self._taken_bytes = 0
        self.bounds = bounds

    def readable(self) -> bool:
        """
        Return that it can be read.
        """
        return True

    def fileno(self) -> int:
        """
        Return the file descriptor of the socket.
        """
        return self._raw.fileno()

    def read(self, size: int = -1) -> bytes | None:
        """
        Wait for up to so many bytes.

        A peer's length must not make this process allocate memory.

        :raises MessageTooLongError: if the message is too long.
        :raises TimeoutError: if none come in time.
        """
        return super().read(min(size, PIECE_BYTES))

    def readinto(self, buffer: Any) -> int | None:
        """
        Wait for bytes.

        :raises MessageTooLongError: if the message is too long.
        :raises TimeoutError: if none come in time.
        """
        bounds = self.bounds
        left_s = bounds.deadline - time.monotonic()
        if left_s <= 0:
            raise TimeoutError('timed out')
        self._sock.settimeout(min(left_s, bounds.idle_timeout_s))
        count = self._raw.readinto(buffer)
        was_too_long = self._taken_bytes > bounds.max_bytes
        self._taken_bytes += count or 0
        if self._taken_bytes <= bounds.max_bytes:
            return count
        if not was_too_long:
            self._log_excess()
        raise MessageTooLongError(f'more than {bounds.max_bytes} bytes came')

    def close(self) -> None:
        """
        Close the reader; the socket stays open.
        """
        self._raw.close()
        super().close()

    def _log_excess(self) -> None:
        host, port = self._sock.getpeername()[:2]
        log.say(
            'A message was too long; its connection is closed.',
            peer=f'{host}:{port}',
            max_bytes=self.bounds.max_bytes,
        )


class BoundedSocket:
    """
    A socket as `HTTPResponse` needs it, whose bytes are bounded.
    """

    def __init__(self, sock: socket, bounds: Bounds) -> None:
        self.reader = BoundedReader(sock, bounds)

    def makefile(self, _mode: str) -> BufferedReader:
        """
        Return the file to read from.
        """
        return BufferedReader(self.reader)


class BoundedAnswers:
    """
    A mixin for `HTTPConnection`s: the head of an answer is received within the
    connection's timeout, and all of it within a number of bytes.

    :ivar timeout: seconds.
    :ivar max_answer_bytes: the size of the longest answer.
    :ivar reader: of the last answer.
    """

    timeout: float | None
    max_answer_bytes = MAX_ANSWER_BYTES
    reader: BoundedReader

    def response_class(self, sock: socket, **options: Any) -> HTTPResponse:
        """
        Begin to read an answer.
        """
        timeout_s = self.timeout or 0
        bounds = Bounds(
            self.max_answer_bytes, time.monotonic() + timeout_s, timeout_s
        )
        bounded = BoundedSocket(sock, bounds)
        self.reader = bounded.reader
        return HTTPResponse(bounded, **options)  # type: ignore[arg-type]


class Readable(Protocol):
    """
    A body that is read in pieces.
    """

    def read(self, amt: int, /) -> bytes:
        """
        Return up to so many bytes; none at the end.
        """


def read_body(body: Readable, max_bytes: int) -> bytes:
    """
    Read a whole body in pieces, as the peer's lengths must not make this
    process allocate memory.

    :raises MessageTooLongError: if it is too long, after decoding.
    """
    whole = bytearray()
    while piece := body.read(PIECE_BYTES):
        whole += piece
        if len(whole) > max_bytes:
            raise MessageTooLongError(f'a body of more than {max_bytes} bytes')
    return bytes(whole)
