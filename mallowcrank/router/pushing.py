"""
Writes the tokens of all streams to their callers in one thread.

Waking a caller's thread for each token costs more than writing the event. The
caller's thread sends the response headers and the first event, sleeps until
the end of the stream and sends the last event. In between, only the pusher's
thread writes. It never blocks on a caller: tokens for a slow caller are
buffered and sent later in one event.
"""

import os
import socket
import threading
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from queue import Empty, SimpleQueue

from mallowcrank.logs import PartLog
from mallowcrank.streams.token_queue import StreamEnd

WRITE_RETRY_S = 0.02  # between two writes to a slow caller
MAX_STALLED_CHECKS = 10  # by the caller's thread, about a second apart
KEEPALIVE_MARKER = None

QueueItem = int | StreamEnd | None


@dataclass(frozen=True)
class PushPorts:
    """
    The connection and callbacks of one pushed stream.

    :param connection: the caller's non-blocking socket; the body is sent in
        chunks.
    :param format_event: returns an event with the tokens; without tokens, a
        keepalive.
    :param notify_end: passes the end to the caller's thread, or `None` if the
        connection is broken.
    """

    connection: socket.socket
    format_event: Callable[[list[int]], bytes]
    notify_end: Callable[[StreamEnd | None], None]


class PushedStream:
    """
    A stream whose tokens the pusher writes.
    """

    def __init__(self, ports: PushPorts) -> None:
        self._ports = ports
        self._lock = threading.Lock()
        self._tokens: list[int] = []
        self._ended: StreamEnd | None = None
        self._unsent = b''
        self._sent = 0
        self._sent_at_check = 0
        self._stalled_checks = 0
        self._is_closed = False
        self._is_broken = False

    # Queries

    @property
    def is_broken(self) -> bool:
        """
        Return whether nothing more can be written to the caller.
        """
        return self._is_broken

    # Commands

    def write(self, items: Sequence[QueueItem]) -> bool:
        """
        Write items as far as the caller's connection accepts them, and buffer
        the rest.

        :returns: whether nothing is left to write.
        """
        with self._lock:
            if self._is_closed:
                return True
            self._buffer(items)
            if self._tokens and not self._unsent:
                self._format_event()
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
        Stop writes by the pusher's thread.
        """
        with self._lock:
            self._is_closed = True
            # A partly sent chunk can't be withdrawn.
            self._is_broken = self._is_broken or bool(self._unsent)

    def check_progress(self) -> None:
        """
        Abort the stream if the caller read nothing during several checks.
        """
        with self._lock:
            is_stalled = self._unsent and self._sent == self._sent_at_check
            self._stalled_checks = self._stalled_checks + 1 if is_stalled else 0
            self._sent_at_check = self._sent
            if self._stalled_checks >= MAX_STALLED_CHECKS:
                self.abort()

    def abort(self) -> None:
        """
        Stop writing because the connection is broken.
        """
        self._is_broken = True
        self._is_closed = True
        self._tokens = []
        self._ports.notify_end(None)

    def _buffer(self, items: Sequence[QueueItem]) -> None:
        for item in items:
            if isinstance(item, StreamEnd):
                self._ended = item
            elif item is not KEEPALIVE_MARKER:
                self._tokens.append(item)
            elif not (self._tokens or self._unsent):
                self._format_event()

    def _format_event(self) -> None:
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
    Writes the items of all streams in a thread of its own.
    """

    def __init__(self) -> None:
        self._queue: SimpleQueue[tuple[PushedStream, QueueItem]] = SimpleQueue()
        self._blocked: set[PushedStream] = set()
        self._log = PartLog('router')
        threading.Thread(target=self._run, daemon=True).start()

    def put(self, stream: PushedStream, item: QueueItem) -> None:
        """
        Queue a token, a keepalive or the end of a stream.
        """
        self._queue.put((stream, item))

    def _run(self) -> None:
        while True:
            batches = self._read_queue()
            for stream in (*batches, *(self._blocked - batches.keys())):
                self._write(stream, batches.get(stream, ()))

    def _write(self, stream: PushedStream, items: Sequence[QueueItem]) -> None:
        is_done = True
        try:
            is_done = stream.write(items)
        except Exception as error:
            # A fault in one stream must not stop the others.
            self._log.say('Push failed', error=repr(error))
            stream.abort()
        if is_done:
            self._blocked.discard(stream)
        else:
            self._blocked.add(stream)

    def _read_queue(self) -> dict[PushedStream, list[QueueItem]]:
        """
        Wait for items, and return all that are queued, by stream.
        """
        batches: defaultdict[PushedStream, list[QueueItem]] = defaultdict(list)
        try:
            stream, item = self._queue.get(
                timeout=WRITE_RETRY_S if self._blocked else None
            )
        except Empty:
            return batches
        batches[stream].append(item)
        while not self._queue.empty():
            stream, item = self._queue.get()
            batches[stream].append(item)
        return batches
