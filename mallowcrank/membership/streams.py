"""
TCP connections to other agents, with msgpack frames.
"""

import itertools
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from mallowcrank.framing import FramedSocket, read_bodies
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
from mallowcrank.wire import BadFrameError, KeyRing, pack_frame

CONNECT_TIMEOUT_S = 1
MAX_QUEUED_MESSAGES = 4096  # a connection with more is closed
log = PartLog('members')


@dataclass(frozen=True)
class PeerSettings:
    """
    The listening address and the shared keys.

    :param listen: `IP:PORT`.
    """

    listen: str
    keys: KeyRing


class PeerStreams:
    """
    Accepts and opens connections.

    :param on_event: called with each event of a connection, from any thread.
    """

    def __init__(
        self, settings: PeerSettings, on_event: Callable[[Event], None]
    ) -> None:
        self._settings = settings
        self._on_event = on_event
        self._listener: socket.socket | None = None
        self._streams: dict[int, FramedSocket] = {}
        self._numbers = itertools.count(1)

    def start(self) -> None:
        """
        Bind the address and accept connections in a thread.

        :raises OSError: when the address can't be bound.
        """
        self._listener = socket.create_server(
            _socket_address(self._settings.listen)
        )
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """
        Stop accepting connections, and close all open ones.
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
        Send a message, if the connection is still open.
        """
        stream = self._streams.get(number)
        if stream is not None:
            stream.send(to_body(message))

    def close(self, number: int) -> None:
        """
        Close a connection.
        """
        stream = self._streams.pop(number, None)
        if stream is not None:
            stream.finish()

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
            sock = socket.create_connection(
                _socket_address(address), CONNECT_TIMEOUT_S
            )
        except OSError:
            self._on_event(Unreachable(address))
            return
        self._serve(sock, address)

    def _serve(self, sock: socket.socket, address: str) -> None:
        number = next(self._numbers)
        stream = FramedSocket(sock, self._settings.keys, MAX_QUEUED_MESSAGES)
        self._streams[number] = stream
        self._on_event(Opened(number, address))
        try:
            for body in stream.bodies():
                self._on_event(Received(number, from_body(body)))
        except (BadFrameError, BadMessageError) as error:
            log.say('A peer sent a bad frame.', error=str(error))
        self.close(number)
        self._on_event(Closed(number))


def ask_peer(
    address: str, question: Ask, keys: KeyRing, timeout_s: float
) -> Answer | None:
    """
    Send a request to one agent on a new connection.

    :param timeout_s: seconds after which the request fails.
    :returns: the answer, or `None` if the request failed.
    """
    deadline = time.monotonic() + timeout_s
    try:
        with socket.create_connection(
            _socket_address(address), timeout_s
        ) as sock:
            sock.sendall(pack_frame(to_body(question), keys))
            return _first_answer(sock, keys, deadline)
    except (OSError, BadFrameError, BadMessageError):
        return None


def _first_answer(
    sock: socket.socket, keys: KeyRing, deadline: float
) -> Answer | None:
    answers = (
        message
        for message in map(from_body, read_bodies(sock, keys, deadline))
        if isinstance(message, Answer)
    )
    return next(answers, None)


def _socket_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
