"""
The log's records in memory, with retention and a rate limit.
"""

from collections import deque
from collections.abc import Mapping
from typing import Any

from mallowcrank.ports import LogPage, LogRecord
from mallowcrank.standins.settings import LogSettings


class LogStore:
    """
    An append-only log that forgets old records.
    """

    def __init__(self, settings: LogSettings) -> None:
        self._settings = settings
        self._records: deque[LogRecord] = deque()
        self._next = 0
        self._tokens = settings.appends_per_s
        self._refilled = float(0)

    @property
    def first_offset(self) -> int:
        """
        Return the oldest offset that is kept.
        """
        return self._records[0].offset if self._records else self._next

    @property
    def next_offset(self) -> int:
        """
        Return the offset that the next record will get.
        """
        return self._next

    def read(self, offset: int, limit: int) -> LogPage:
        """
        Return records from an offset on.
        """
        skipped = max(0, offset - self.first_offset)
        end = min(len(self._records), skipped + limit)
        found = tuple(self._records[at] for at in range(skipped, end))
        return LogPage(self.first_offset, self._next, found)

    def acquire_permit(self, now: float) -> bool:
        """
        Tell whether the rate allows one more append, and count it.
        """
        rate = self._settings.appends_per_s
        refill = (now - self._refilled) * rate
        self._tokens = min(rate, self._tokens + refill)
        self._refilled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def append(self, body: Mapping[str, Any], now: float) -> int:
        """
        Keep a record and return its offset.
        """
        record = LogRecord(self._next, now, body)
        self._records.append(record)
        self._next += 1
        self.expire(now)
        return record.offset

    def expire(self, now: float) -> None:
        """
        Forget what retention no longer keeps.
        """
        oldest = now - self._settings.retention_s
        while self._records and self._records[0].time < oldest:
            self._records.popleft()
        while len(self._records) > self._settings.retention_records:
            self._records.popleft()

    def delete_before(self, before: int) -> None:
        """
        Forget all records before an offset.
        """
        while self._records and self._records[0].offset < before:
            self._records.popleft()
