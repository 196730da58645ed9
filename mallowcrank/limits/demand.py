"""
How much callers ask for, second by second.
"""

from collections import deque
from dataclasses import dataclass, field

WINDOW_S = 1
MEAN_S = 3  # seconds that the mean demand covers


@dataclass(slots=True)
class DemandMeter:
    """
    The demand of one workspace on this router, in parts of its limits.

    :param began: steady time at which the running second began.
    :param busy_since: steady time of the first request after a pause.
    :param running: what was asked for in it.
    """

    began: float
    busy_since: float
    running: float = 0
    past: deque[float] = field(
        default_factory=lambda: deque([0], maxlen=MEAN_S)
    )

    @property
    def mean(self) -> float:
        """
        Return the mean demand of the last seconds.
        """
        return sum(self.past) / len(self.past)

    @property
    def is_idle(self) -> bool:
        """
        Tell whether nothing was asked for in the last seconds.
        """
        return not self.running and not any(self.past)

    def add(self, part: float, now: float) -> None:
        """
        Count what one request asks for.
        """
        self.roll(now)
        if self.is_idle:
            self.busy_since = now
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
