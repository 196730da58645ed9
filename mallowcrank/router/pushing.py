"""
Writes the tokens of all streams to their callers, in one thread.

To wake each caller's thread for each token costs more than its event does.
Callers' threads send the head and the first event, sleep until the end, and
send the last event. In between only the pusher's thread writes, and it never
waits for a caller: what a slow one does not take is gathered, and goes out in
one event later.
"""

import os
import socket
import threading
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from queue import Empty, SimpleQueue

from mallowcrank.logs import PartLog
from mallowcrank.streams.outlet import Ended

WRITE_RETRY_S = 0.02  # until a slow caller's connection is tried again
MAX_STALLED_CHECKS = 10  # of the caller's thread, about a second apart
KEEPALIVE_MARKER = None

QueueItem = int | Ended | None


@dataclass(frozen=True)
class PushPorts:
    """
    What one stream is pushed with.

    :param connection: to the caller; its body is in chunks.
    :param shape: turns tokens, or none, into an event.
    :param tell: tells the caller's thread the end, or `None` where the
        connection is broken.
    """

    connection: socket.socket
    format_event: Callable[[list[int]], bytes]
    notify_end: Callable[[Ended | None], None]


class PushedStream:
    """
    One stream while its tokens are pushed.
    """

    def __init__(self, ports: PushPorts) -> None:
        self._ports = ports
        self._lock = threading.Lock()
        self._tokens: list[int] = []
        self._ended: Ended | None = None
        self._unsent = b''
        self._sent = 0
        self._seen = 0
        self._looks = 0
        self._is_closed = False
        self._is_broken = False

    # Queries

    @property
    def is_broken(self) -> bool:
        """
        Tell whether nothing more can be written to the caller.
        """
        return self._is_broken

    # Commands

    def write(self, given: Sequence[QueueItem]) -> bool:
        """
        Write what was given, as far as the caller takes it.

        :returns: whether nothing is left to write.
        """
        with self._lock:
            if self._is_closed:
                return True
            self._gather(given)
            if self._tokens and not self._unsent:
                self._shape()
            if self._unsent:
                self._send()
            if self._unsent or self._tokens:
                return False
            if self._ended is not None:
                self._is_closed = True
                self._ports.notify_end(self._ended)
            return True

    def close(self) -> None:
        """
        Let nothing more be written by the pusher's thread.
        """
        with self._lock:
            self._is_closed = True
            # Half a chunk can't be taken back.
            self._is_broken = self._is_broken or bool(self._unsent)

    def check_progress(self) -> None:
        """
        Give up where the caller took nothing between several looks.
        """
        with self._lock:
            is_stuck = self._unsent and self._sent == self._seen
            self._looks = self._looks + 1 if is_stuck else 0
            self._seen = self._sent
            if self._looks >= MAX_STALLED_CHECKS:
                self.abort()

    def abort(self) -> None:
        """
        Write nothing more, as the connection is broken.
        """
        self._is_broken = True
        self._is_closed = True
        self._tokens = []
        self._ports.notify_end(None)

    def _gather(self, given: Sequence[QueueItem]) -> None:
        for each in given:
            if isinstance(each, Ended):
                self._ended = each
            elif each is not KEEPALIVE_MARKER:
                self._tokens.append(each)
            elif not (self._tokens or self._unsent):
                self._shape()

    def _shape(self) -> None:
        event = self._ports.format_event(self._tokens)
        self._tokens = []
        self._unsent = b'%x\r\n%b\r\n' % (len(event), event)

    def _send(self) -> None:
        try:
            sent = os.write(self._ports.connection.fileno(), self._unsent)
        except BlockingIOError:
            return
        except OSError:
            self.abort()
            return
        self._unsent = self._unsent[sent:]
        self._sent += sent


class Pusher:
    """
    The thread that writes.
    """

    def __init__(self) -> None:
        self._given: SimpleQueue[tuple[PushedStream, QueueItem]] = SimpleQueue()
        self._slow: set[PushedStream] = set()
        self._log = PartLog('router')
        threading.Thread(target=self._run, daemon=True).start()

    def put(self, stream: PushedStream, given: QueueItem) -> None:
        """
        Have a token or a sign of life written, or the end told.
        """
        self._given.put((stream, given))

    def _run(self) -> None:
        while True:
            taken = self._take()
            for stream in (*taken, *(self._slow - taken.keys())):
                self._write(stream, taken.get(stream, ()))

    def _write(self, stream: PushedStream, given: Sequence[QueueItem]) -> None:
        is_done = True
        try:
            is_done = stream.write(given)
        except Exception as error:
            # One stream's fault must not stop all the others.
            self._log.say('Push failed', error=repr(error))
            stream.abort()
        if is_done:
            self._slow.discard(stream)
        else:
            self._slow.add(stream)

    def _take(self) -> dict[PushedStream, list[QueueItem]]:
        """
        Wait for tokens; return them with all that came after.
        """
        taken: defaultdict[PushedStream, list[QueueItem]] = defaultdict(list)
        try:
            stream, given = self._given.get(
                timeout=WRITE_RETRY_S if self._slow else None
            )
        except Empty:
            return taken
        taken[stream].append(given)
        while not self._given.empty():
            stream, given = self._given.get()
            taken[stream].append(given)
        return taken
