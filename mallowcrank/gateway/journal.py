"""
Structured logs on standard output: one JSON object per line, never blocking.

Lines are buffered and written in batches. Lines are dropped, and counted, if
the buffer is full because the reader is slow; routine lines also if there are
too many in a second.
"""

import os
import time
from collections import deque
from enum import IntEnum, unique
from typing import Any

import orjson

from mallowcrank.gateway.clock import monotonic_s

STDOUT = 1
NS_PER_MS = 1_000_000
MAX_BUFFERED_LINES = 4000  # about 1 MB
MAX_ROUTINE_LINES_PER_S = 400
WRITE_BYTES = 65_536  # the usual capacity of a pipe


@unique
class Importance(IntEnum):
    """
    The importance of a log line: routine lines are dropped first.

    `ROUTINE` is for requests that succeeded, `FAILURE` for those that failed,
    `STATE_CHANGE` for changes of the gateway and of what it knows.
    """

    ROUTINE = 0
    FAILURE = 1
    STATE_CHANGE = 2


class Journal:
    """
    The log of a gateway.
    """

    def __init__(self, host: str, out: int = STDOUT) -> None:
        self._host = host
        self._out = out
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._second = 0
        self._lines_in_second = 0
        self._partial_write = b''

    @property
    def has_buffered(self) -> bool:
        """
        Return whether lines are buffered.
        """
        return bool(self._lines or self._partial_write)

    def say(
        self,
        sentence: str,
        importance: Importance = Importance.STATE_CHANGE,
        **fields: Any,
    ) -> None:
        """
        Add a line to the buffer.

        :param sentence: a short sentence with the prefix of its part.
        :param importance: whether the line counts against the routine limit.
        :param fields: further keys of the JSON object.
        """
        now = monotonic_s()
        if not self._has_room(importance, now):
            self._dropped += 1
            return
        line = {
            'at': round(now, 4),
            'wall_ms': time.time_ns() // NS_PER_MS,
            'host': self._host,
            'says': sentence,
        }
        if self._dropped:
            line['dropped_before'] = self._dropped
            self._dropped = 0
        line.update(fields)
        self._lines.append(orjson.dumps(line, default=str))

    def flush(self) -> None:
        """
        Write as much as the reader accepts without blocking.
        """
        while self.has_buffered:
            if not self._partial_write:
                self._partial_write = self._next_batch()
            try:
                written = os.write(self._out, self._partial_write)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone.
                self._lines.clear()
                self._partial_write = b''
                return
            self._partial_write = self._partial_write[written:]

    def _next_batch(self) -> bytes:
        lines: list[bytes] = []
        size = 0
        while self._lines and size < WRITE_BYTES:
            line = self._lines.popleft()
            size += len(line)
            lines.append(line)
        lines.append(b'')
        return b'\n'.join(lines)

    def _has_room(self, importance: Importance, now: float) -> bool:
        if len(self._lines) >= MAX_BUFFERED_LINES:
            return False
        if importance is not Importance.ROUTINE:
            return True
        if int(now) != self._second:
            self._second = int(now)
            self._lines_in_second = 0
        self._lines_in_second += 1
        return self._lines_in_second <= MAX_ROUTINE_LINES_PER_S
