"""
How much callers ask for, second by second.
"""

from collections import deque
from dataclasses import dataclass, field

from mallowcrank.limits.shares import SETTLED_S

WINDOW_S = 1


@dataclass(slots=True)
class DemandMeter:
    """
    The demand of one workspace on this router, in parts of its limits.

    :param began: steady time at which the running second began.
    :param running: what was asked for in it.
    """

    began: float
    running: float = 0
    past: deque[float] = field(
        default_factory=lambda: deque([0], maxlen=SETTLED_S + 1)
    )

    @property
    def now(self) -> float:
        """
        Return the demand of the last second or the running one.
        """
        return max(self.past[-1], self.running)

    @property
    def settled(self) -> float:
        """
        Return the demand that peers must have heard of by now.
        """
        return min(self.past) if len(self.past) > SETTLED_S else 0

    def add(self, part: float, now: float) -> None:
        """
        Count what one request asks for.
        """
        self.roll(now)
        self.running += part

    def roll(self, now: float) -> None:
        """
        Close the seconds that are over.
        """
        while now - self.began >= WINDOW_S:
            self.past.append(self.running)
            self.running = 0
            self.began += WINDOW_S
            if not any(self.past):
                self.began = max(self.began, now)
