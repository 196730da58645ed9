"""
The way of a stream's tokens from the driver to the caller's thread.
"""

from collections.abc import Callable
from dataclasses import dataclass
from queue import Empty, SimpleQueue
from threading import Lock

from mallowcrank.refusals import Refused


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """
    The end of a stream.

    :param finish: `stop` or `length`, or an empty string.
    :param refused: why it broke, or `None`.
    """

    finish_reason: str = ''
    refused: Refused | None = None


class TokenQueue:
    """
    A queue of tokens; it holds no more than the answer's bound of tokens.
    """

    def __init__(self) -> None:
        self._queue: SimpleQueue[int | StreamEnd | None] = SimpleQueue()
        self._lock = Lock()
        self._push: Callable[[int | StreamEnd], None] | None = None
        self.route = ''

    def put(self, given: int | StreamEnd) -> None:
        """
        Add a token, or the end.
        """
        with self._lock:
            (self._push or self._queue.put)(given)

    def push_to(self, push: Callable[[int | StreamEnd], None]) -> None:
        """
        Give tokens and the end to a pusher from now on, those that wait first.
        """
        with self._lock:
            while not self._queue.empty():
                push(self._queue.get())
            self._push = push

    def notify(self, ended: StreamEnd | None) -> None:
        """
        Tell the caller's thread the end, or to look up, past the pusher.
        """
        self._queue.put(ended)

    def get_available(self, timeout_s: float) -> list[int | StreamEnd | None]:
        """
        Wait for the next token; return it with all that came after it.

        :returns: an empty list where nothing came in time.
        """
        try:
            taken = [self._queue.get(timeout=timeout_s)]
        except Empty:
            return []
        while not self._queue.empty():
            taken.append(self._queue.get())
        return taken
