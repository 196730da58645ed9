"""
A value that is read with a lag.
"""

from collections import deque
from typing import Generic, TypeVar

Reading = TypeVar('Reading')


class LaggedValue(Generic[Reading]):
    """
    Gives back what was set a while ago.

    :param lag_s: seconds.
    """

    def __init__(self, lag_s: float, first: Reading | int = 0) -> None:
        self._lag_s = lag_s
        self._shown = first
        self._pending: deque[tuple[float, Reading]] = deque()

    def read(self, now: float) -> Reading | int:
        """
        Return the value as of the lag before `now`.
        """
        while self._pending and self._pending[0][0] + self._lag_s <= now:
            self._shown = self._pending.popleft()[1]
        return self._shown

    def set(self, given: Reading, now: float) -> None:
        """
        Set the value.
        """
        if self._pending and self._pending[-1][1] == given:
            return
        self.read(now)
        self._pending.append((now, given))
