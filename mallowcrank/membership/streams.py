"""
Connections to other agents: msgpack frames over TCP.
"""

import itertools
import queue
import socket
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from mallowcrank.logs import PartLog
from mallowcrank.membership.inbox import (
    Closed,
    Event,
    Opened,
    Received,
    Unreachable,
)
from mallowcrank.membership.messages import (
    Answer,
    Ask,
    BadMessageError,
    Message,
    from_body,
    to_body,
)
from mallowcrank.wire import BadFrameError, FrameReader, KeyRing, pack_frame

CONNECT_TIMEOUT_S = 1
READ_BYTES = 64 * 1024
MAX_QUEUED = 4096  # messages on one connection; it is closed after more
STOP: bytes = b''
log = PartLog('members')


@dataclass(frozen=True)
class PeerSettings:
    """
    Where to take connections, and the shared keys.

    :param listen: `IP:PORT`.
    """

    listen: str
    keys: KeyRing


class _Stream:
    """
    One open connection; frames go out in a thread of their own.
    """

    def __init__(self, number: int, sock: socket.socket, keys: KeyRing) -> None:
        self.number = number
        self._sock = sock
        self._keys = keys
        self._frames: queue.Queue[bytes] = queue.Queue(MAX_QUEUED)
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._send_all, daemon=True).start()

    def send(self, message: Message) -> None:
        """
        Queue a message; a peer that does not read is cut off.
        """
        try:
            self._frames.put_nowait(pack_frame(to_body(message), self._keys))
        except queue.Full:
            self.close()

    def messages(self) -> Iterator[Message]:
        """
        Yield the peer's messages until the connection ends.

        :raises BadFrameError: when its bytes can't be trusted.
        :raises BadMessageError: when they can't be read.
        """
        yield from _read_all(self._sock, self._keys)

    def close(self) -> None:
        """
        End the connection, after what is queued where it can be sent.
        """
        try:
            self._frames.put_nowait(STOP)
        except queue.Full:
            _shut(self._sock)

    def _send_all(self) -> None:
        while frame := self._frames.get():
            try:
                self._sock.sendall(frame)
            except OSError:
                break
        _shut(self._sock)


class PeerStreams:
    """
    Takes and opens connections.

    :param tell: called with what comes of them, from any thread.
    """

    def __init__(
        self, settings: PeerSettings, tell: Callable[[Event], None]
    ) -> None:
        self._settings = settings
        self._tell = tell
        self._listener: socket.socket | None = None
        self._streams: dict[int, _Stream] = {}
        self._numbers = itertools.count(1)

    def start(self) -> None:
        """
        Bind the address and accept in a thread.

        :raises OSError: when the address can't be bound.
        """
        self._listener = socket.create_server(_place(self._settings.listen))
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """
        Accept no more, and end all connections.
        """
        if self._listener is not None:
            self._listener.close()
        for number in tuple(self._streams):
            self.close(number)

    def connect(self, address: str) -> None:
        """
        Open a connection in a thread.
        """
        threading.Thread(
            target=self._connect, args=(address,), daemon=True
        ).start()

    def send(self, number: int, message: Message) -> None:
        """
        Send a message, if the connection is still there.
        """
        stream = self._streams.get(number)
        if stream is not None:
            stream.send(message)

    def close(self, number: int) -> None:
        """
        End a connection.
        """
        stream = self._streams.pop(number, None)
        if stream is not None:
            stream.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(sock, ''), daemon=True
            ).start()

    def _connect(self, address: str) -> None:
        try:
            sock = socket.create_connection(_place(address), CONNECT_TIMEOUT_S)
        except OSError:
            self._tell(Unreachable(address))
            return
        self._serve(sock, address)

    def _serve(self, sock: socket.socket, address: str) -> None:
        number = next(self._numbers)
        stream = _Stream(number, sock, self._settings.keys)
        self._streams[number] = stream
        self._tell(Opened(number, address))
        try:
            for message in stream.messages():
                self._tell(Received(number, message))
        except (BadFrameError, BadMessageError) as error:
            log.say('A peer sent a bad frame.', error=str(error))
        self.close(number)
        self._tell(Closed(number))


def ask_peer(
    address: str, question: Ask, keys: KeyRing, timeout_s: float
) -> Answer | None:
    """
    Ask one agent on a connection of its own.

    :param timeout_s: seconds without progress until it counts as failed.
    """
    try:
        with socket.create_connection(_place(address), timeout_s) as sock:
            sock.sendall(pack_frame(to_body(question), keys))
            return _first_answer(sock, keys)
    except (OSError, BadFrameError, BadMessageError):
        return None


def _first_answer(sock: socket.socket, keys: KeyRing) -> Answer | None:
    answers = (
        message
        for message in _read_all(sock, keys)
        if isinstance(message, Answer)
    )
    return next(answers, None)


def _read_all(sock: socket.socket, keys: KeyRing) -> Iterator[Message]:
    reader = FrameReader(keys)
    while True:
        try:
            received = sock.recv(READ_BYTES)
        except OSError:
            return
        if not received:
            return
        yield from map(from_body, reader.feed(received))


def _place(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


def _shut(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        sock.close()
        return
    sock.close()
