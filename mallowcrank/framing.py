"""
Connections that carry frames between the system's own processes.
"""

import math
import queue
import socket
import threading
import time
from collections.abc import Iterator, Mapping
from typing import Any

from mallowcrank.wire import FrameReader, KeyRing, pack_frame

READ_BYTES = 64 * 1024
END_OF_QUEUE: bytes = b''  # ends the sending thread


def read_bodies(
    sock: socket.socket, keys: KeyRing, deadline: float = math.inf
) -> Iterator[dict[str, Any]]:
    """
    Yield the peer's messages until the connection ends.

    :param deadline: monotonic time in seconds at which reading ends.
    :raises BadFrameError: when a frame is malformed or not authentic.
    """
    reader = FrameReader(keys)
    while True:
        try:
            received = _receive(sock, deadline)
        except OSError:
            return
        if not received:
            return
        yield from reader.feed(received)


def _receive(sock: socket.socket, deadline: float) -> bytes:
    """
    Wait for bytes.

    :raises OSError: if the connection breaks, or at the deadline.
    """
    if deadline < math.inf:
        left_s = deadline - time.monotonic()
        if left_s <= 0:
            raise TimeoutError('timed out')
        sock.settimeout(left_s)
    return sock.recv(READ_BYTES)


class FramedSocket:
    """
    An open connection whose frames are sent by a thread of its own.

    :param max_queued: the maximum of frames waiting to be sent. The connection
        is aborted when there are more, as its peer does not read.
    """

    def __init__(
        self, sock: socket.socket, keys: KeyRing, max_queued: int
    ) -> None:
        self._sock = sock
        self._keys = keys
        self._frames: queue.Queue[bytes] = queue.Queue(max_queued)
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._send_queued, daemon=True).start()

    def send(self, body: Mapping[str, Any]) -> None:
        """
        Queue a message; abort the connection if the queue is full.
        """
        try:
            self._frames.put_nowait(pack_frame(body, self._keys))
        except queue.Full:
            self.abort()

    def bodies(self) -> Iterator[dict[str, Any]]:
        """
        Yield the peer's messages until the connection ends.

        :raises BadFrameError: when a frame is malformed or not authentic.
        """
        return read_bodies(self._sock, self._keys)

    def finish(self) -> None:
        """
        Close the connection after the queued messages are sent.
        """
        try:
            self._frames.put_nowait(END_OF_QUEUE)
        except queue.Full:
            self.abort()

    def abort(self) -> None:
        """
        Close the connection at once; queued messages are lost.
        """
        _close_socket(self._sock)
        try:
            self._frames.put_nowait(END_OF_QUEUE)
        except queue.Full:
            return  # The sending thread ends when its next frame fails.

    def _send_queued(self) -> None:
        while frame := self._frames.get():
            try:
                self._sock.sendall(frame)
            except OSError:
                break
        _close_socket(self._sock)


def _close_socket(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        sock.close()
        return
    sock.close()
