"""
A value whose changes become visible after a lag.
"""

from collections import deque
from typing import Generic, TypeVar

Reading = TypeVar('Reading')


class LaggedValue(Generic[Reading]):
    """
    Delays the visibility of changes to a value.

    :param lag_s: seconds until a change becomes visible.
    :param initial: the value until the first change is visible.
    """

    def __init__(self, lag_s: float, initial: Reading | int = 0) -> None:
        self._lag_s = lag_s
        self._visible = initial
        self._pending: deque[tuple[float, Reading]] = deque()

    def read(self, now: float) -> Reading | int:
        """
        Return the value as it was one lag ago.

        :param now: steady time in seconds.
        """
        while self._pending and self._pending[0][0] + self._lag_s <= now:
            self._visible = self._pending.popleft()[1]
        return self._visible

    def set(self, new_value: Reading, now: float) -> None:
        """
        Set the value, visible after the lag.

        :param now: steady time in seconds.
        """
        if self._pending and self._pending[-1][1] == new_value:
            return
        self.read(now)
        self._pending.append((now, new_value))
