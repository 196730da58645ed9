"""
Connections that carry frames, between the system's own processes.
"""

import queue
import socket
import threading
from collections.abc import Iterator, Mapping
from typing import Any

from mallowcrank.wire import FrameReader, KeyRing, pack_frame

READ_BYTES = 64 * 1024
END_OF_QUEUE: bytes = b''


def read_bodies(sock: socket.socket, keys: KeyRing) -> Iterator[dict[str, Any]]:
    """
    Yield the other end's messages until the connection ends.

    :raises BadFrameError: when its bytes can't be trusted.
    """
    reader = FrameReader(keys)
    while True:
        try:
            received = sock.recv(READ_BYTES)
        except OSError:
            return
        if not received:
            return
        yield from reader.feed(received)


class FramedSocket:
    """
    An open connection; frames go out in a thread of their own.

    :param max_queued: frames that wait; an end that does not read is cut off
        where there are more.
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
        Queue a message.
        """
        try:
            self._frames.put_nowait(pack_frame(body, self._keys))
        except queue.Full:
            self.abort()

    def bodies(self) -> Iterator[dict[str, Any]]:
        """
        Yield the other end's messages until the connection ends.

        :raises BadFrameError: when its bytes can't be trusted.
        """
        return read_bodies(self._sock, self._keys)

    def finish(self) -> None:
        """
        End the connection after what is queued.
        """
        try:
            self._frames.put_nowait(END_OF_QUEUE)
        except queue.Full:
            self.abort()

    def abort(self) -> None:
        """
        End the connection at once; what is queued is lost.
        """
        _close_socket(self._sock)
        try:
            self._frames.put_nowait(END_OF_QUEUE)
        except queue.Full:
            return  # The sending thread ends at its next frame.

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
