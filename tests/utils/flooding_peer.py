"""
A peer that sends a part of its answer without end.
"""

import gzip
import socket
import threading
import time
from dataclasses import dataclass
from types import MappingProxyType

MB = 1_000_000
FLOOD_BYTES = 64 * MB  # then the connection is closed
DRIBBLE_S = 3  # then the connection is closed
DRIBBLE_PAUSE_S = 0.02
REQUEST_BYTES = 65_536
OK = b'HTTP/1.1 200 OK\r\n'
HEADER = b'HTTP/1.1 200 OK\r\nname: '
ENDLESS_BODY = b'HTTP/1.1 200 OK\r\n\r\n'
LONG_BODY = b'HTTP/1.1 200 OK\r\nContent-Length: 100000000000000000\r\n\r\n'
CHUNKS = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
LONG_CHUNK = b'%sfffffffffffffff\r\n' % CHUNKS
TRAILERS = b'%s1\r\nx\r\n0\r\n' % CHUNKS
TRAILER = b'name: text\r\n'
TEXT = b'x' * 65_536
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclass(frozen=True)
class Flood:
    """
    What a peer sends.

    :param begin: is sent once.
    :param piece: is sent again and again.
    """

    begin: bytes
    piece: bytes


FLOODS = MappingProxyType(
    {
        'a body without a length': Flood(ENDLESS_BODY, TEXT),
        'a body in chunks': Flood(CHUNKS, b'10000\r\n%s\r\n' % TEXT),
        'a body with a length': Flood(LONG_BODY, TEXT),
        'one chunk': Flood(LONG_CHUNK, TEXT),
        'trailers': Flood(TRAILERS, TRAILER * 5000),
        'one trailer': Flood(b'%sname: ' % TRAILERS, TEXT),
        'headers': Flood(OK, TRAILER * 5000),
        'one header': Flood(HEADER, TEXT),
        'interim answers': Flood(b'', INTERIM * 2500),
    }
)
# It inflates to more than fits in an answer, and ends.
INFLATING = gzip.compress(bytes(FLOOD_BYTES))
INFLATING_ANSWER = (
    b'%sContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s'
    % (
        OK,
        len(INFLATING),
        INFLATING,
    )
)
DRIBBLES = MappingProxyType(
    {
        'a header': Flood(HEADER, b'x'),
        'a body without a length': Flood(ENDLESS_BODY, b'x'),
        'a body in chunks': Flood(CHUNKS, b'1\r\nx\r\n'),
        'trailers': Flood(TRAILERS, TRAILER),
        'interim answers': Flood(b'', INTERIM),
    }
)


class FloodingPeer:
    """
    Answers each connection's first request with a flood.

    :param pause_s: seconds between two pieces.
    :ivar sent_bytes: how much the caller, and the buffers, took.
    :ivar accepted: connections so far.
    """

    def __init__(self, flood: Flood, pause_s: float = 0) -> None:
        self.sent_bytes = 0
        self.accepted = 0
        self._flood = flood
        self._pause_s = pause_s
        self._listener = socket.create_server(('127.0.0.1', 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """
        Return the `IP:PORT` that it listens at.
        """
        host, port = self._listener.getsockname()
        return f'{host}:{port}'

    def stop(self) -> None:
        """
        Accept no more connections.
        """
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(
                target=self._answer, args=(sock,), daemon=True
            ).start()

    def _answer(self, sock: socket.socket) -> None:
        end = time.monotonic() + DRIBBLE_S
        with sock:
            try:
                sock.recv(REQUEST_BYTES)
                sock.sendall(self._flood.begin)
                while self.sent_bytes < FLOOD_BYTES:
                    if self._pause_s and time.monotonic() > end:
                        return
                    sock.sendall(self._flood.piece)
                    self.sent_bytes += len(self._flood.piece)
                    time.sleep(self._pause_s)
            except OSError:
                return
