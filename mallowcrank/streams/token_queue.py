"""
Queue of a stream's tokens from the driver to the caller's thread.
"""

from collections.abc import Callable
from dataclasses import dataclass
from queue import Empty, SimpleQueue
from threading import Lock

from mallowcrank.refusals import Refused


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """
    End marker of a stream.

    :param finish_reason: `stop` or `length`, or an empty string.
    :param refused: why the stream failed, or `None`.
    """

    finish_reason: str = ''
    refused: Refused | None = None


class TokenQueue:
    """
    A queue of tokens; its size is bounded by the answer's maximum length.
    """

    def __init__(self) -> None:
        self._queue: SimpleQueue[int | StreamEnd | None] = SimpleQueue()
        self._lock = Lock()
        self._push: Callable[[int | StreamEnd], None] | None = None
        self.route = ''

    def put(self, entry: int | StreamEnd) -> None:
        """
        Add a token or the end marker.
        """
        with self._lock:
            (self._push or self._queue.put)(entry)

    def push_to(self, push: Callable[[int | StreamEnd], None]) -> None:
        """
        Pass queued entries, and then all later ones, to a callback.
        """
        with self._lock:
            while not self._queue.empty():
                push(self._queue.get())
            self._push = push

    def notify(self, ended: StreamEnd | None) -> None:
        """
        Wake the caller's thread with the end marker or `None`, which bypass the
        callback.
        """
        self._queue.put(ended)

    def get_available(self, timeout_s: float) -> list[int | StreamEnd | None]:
        """
        Wait for the next entry, and return it with all others that are queued.

        :param timeout_s: seconds to wait for the first entry.
        :returns: an empty list if there was no entry in time.
        """
        try:
            entries = [self._queue.get(timeout=timeout_s)]
        except Empty:
            return []
        while not self._queue.empty():
            entries.append(self._queue.get())
        return entries
