"""
Structured logs on standard output: one JSON object a line, never blocking.

Lines are gathered and written together. Where the reader is slow or the
lines are too many, lines are dropped, least important first, and counted.
"""

import os
import time
from collections import deque
from enum import IntEnum, unique
from typing import Any

import orjson

from mallowcrank.gateway.clock import monotonic_s

STDOUT = 1
NANOSECONDS = 1_000_000  # of a millisecond
MOST_WAITING = 4000  # lines; some 1 MB
MOST_PER_S = 400  # lines on requests that went well
CHUNK_BYTES = 65_536  # of one write; a pipe's usual size


@unique
class Importance(IntEnum):
    """
    Which lines are dropped first.
    """

    ROUTINE = 0
    FAILURE = 1
    STATE_CHANGE = 2


class Journal:
    """
    The log of one gateway.
    """

    def __init__(self, host: str, out: int = STDOUT) -> None:
        self._host = host
        self._out = out
        self._waiting: deque[bytes] = deque()
        self._dropped = 0
        self._second = 0
        self._in_second = 0
        self._rest = b''

    @property
    def has_waiting(self) -> bool:
        """
        Return whether lines wait to be written.
        """
        return bool(self._waiting or self._rest)

    def say(
        self,
        sentence: str,
        weight: Importance = Importance.STATE_CHANGE,
        **fields: Any,
    ) -> None:
        """
        Add a line.

        :param sentence: a short sentence with the prefix of its part.
        """
        now = monotonic_s()
        if not self._has_room(weight, now):
            self._dropped += 1
            return
        line = {
            'at': round(now, 4),
            'wall_ms': time.time_ns() // NANOSECONDS,
            'host': self._host,
            'says': sentence,
        }
        if self._dropped:
            line['dropped_before'] = self._dropped
            self._dropped = 0
        line.update(fields)
        self._waiting.append(orjson.dumps(line, default=str))

    def flush(self) -> None:
        """
        Write what the reader takes now.
        """
        while self.has_waiting:
            if not self._rest:
                self._rest = self._gather()
            try:
                written = os.write(self._out, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more.
                self._waiting.clear()
                self._rest = b''
                return
            self._rest = self._rest[written:]

    def _gather(self) -> bytes:
        lines: list[bytes] = []
        size = 0
        while self._waiting and size < CHUNK_BYTES:
            line = self._waiting.popleft()
            size += len(line)
            lines.append(line)
        lines.append(b'')
        return b'\n'.join(lines)

    def _has_room(self, weight: Importance, now: float) -> bool:
        if len(self._waiting) >= MOST_WAITING:
            return False
        if weight is not Importance.ROUTINE:
            return True
        if int(now) != self._second:
            self._second = int(now)
            self._in_second = 0
        self._in_second += 1
        return self._in_second <= MOST_PER_S
