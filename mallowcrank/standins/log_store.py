"""
The records of the log in memory, with retention and a rate limit.
"""

from collections import deque
from collections.abc import Mapping
from typing import Any

from mallowcrank.ports import LogPage, LogRecord
from mallowcrank.standins.settings import LogSettings


class LogStore:
    """
    An append-only log that deletes old records.
    """

    def __init__(self, settings: LogSettings) -> None:
        self._settings = settings
        self._records: deque[LogRecord] = deque()
        self._next_offset = 0
        self._permits = settings.appends_per_s
        self._refilled_at = float(0)

    @property
    def first_offset(self) -> int:
        """
        Return the offset of the oldest record kept.

        Without records, this is the offset of the next one.
        """
        return self._records[0].offset if self._records else self._next_offset

    @property
    def next_offset(self) -> int:
        """
        Return the offset of the next record to be appended.
        """
        return self._next_offset

    def read(self, offset: int, limit: int) -> LogPage:
        """
        Return the records from an offset on.

        :param limit: maximum number of records.
        """
        skipped = max(0, offset - self.first_offset)
        end = min(len(self._records), skipped + limit)
        records = tuple(self._records[index] for index in range(skipped, end))
        return LogPage(self.first_offset, self._next_offset, records)

    def acquire_permit(self, now: float) -> bool:
        """
        Return whether the rate limit allows an append, and count it if so.

        :param now: steady time in seconds.
        """
        rate = self._settings.appends_per_s
        new_permits = (now - self._refilled_at) * rate
        self._permits = min(rate, self._permits + new_permits)
        self._refilled_at = now
        if self._permits < 1:
            return False
        self._permits -= 1
        return True

    def append(self, body: Mapping[str, Any], now: float) -> int:
        """
        Append a record and return its offset.

        :param now: seconds since the epoch.
        """
        record = LogRecord(self._next_offset, now, body)
        self._records.append(record)
        self._next_offset += 1
        self.expire(now)
        return record.offset

    def expire(self, now: float) -> None:
        """
        Delete records beyond the retention limits.

        :param now: seconds since the epoch.
        """
        cutoff_s = now - self._settings.retention_s
        while self._records and self._records[0].time < cutoff_s:
            self._records.popleft()
        while len(self._records) > self._settings.retention_records:
            self._records.popleft()

    def delete_before(self, end_offset: int) -> None:
        """
        Delete all records before an offset.

        :param end_offset: offset of the first record to keep.
        """
        while self._records and self._records[0].offset < end_offset:
            self._records.popleft()
