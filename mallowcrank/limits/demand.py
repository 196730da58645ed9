"""
How much callers ask for, second by second.
"""

from collections import deque
from dataclasses import dataclass, field

PERIOD_S = 1
MEAN_PERIODS = 3  # seconds that the mean demand covers


@dataclass(slots=True)
class DemandMeter:
    """
    The demand of one workspace on this router, in parts of its limits.

    :param began: steady time at which the running second began.
    :param busy_since: steady time of the first request after a pause.
    :param running: what was asked for in it.
    """

    period_start_s: float
    busy_since_s: float
    current: float = 0
    past_periods: deque[float] = field(
        default_factory=lambda: deque([0], maxlen=MEAN_PERIODS)
    )

    @property
    def mean(self) -> float:
        """
        Return the mean demand of the last seconds.
        """
        return sum(self.past_periods) / len(self.past_periods)

    @property
    def is_idle(self) -> bool:
        """
        Tell whether nothing was asked for in the last seconds.
        """
        return not self.current and not any(self.past_periods)

    def add(self, part: float, now: float) -> None:
        """
        Count what one request asks for.
        """
        self.roll(now)
        if self.is_idle:
            self.busy_since_s = now
        self.current += part

    def roll(self, now: float) -> None:
        """
        Close the seconds that are over.
        """
        while now - self.period_start_s >= PERIOD_S:
            self.past_periods.append(self.current)
            self.current = 0
            self.period_start_s += PERIOD_S
            if not any(self.past_periods):
                self.period_start_s = max(self.period_start_s, now)
