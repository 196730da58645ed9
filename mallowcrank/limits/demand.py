"""
Demand of callers, measured in periods of one second.
"""

from collections import deque
from dataclasses import dataclass, field

PERIOD_S = 1
MEAN_PERIODS = 3  # that the mean demand covers


@dataclass(slots=True)
class DemandMeter:
    """
    The demand of one workspace on this router, as a share of its limits.

    :param period_start_s: steady time at which the current period began, in
        seconds.
    :param busy_since_s: steady time of the first request after an idle time,
        in seconds.
    :param current: demand in the current period.
    :param past_periods: demand in each of the last periods.
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
        Return the mean demand of the last periods.
        """
        return sum(self.past_periods) / len(self.past_periods)

    @property
    def is_idle(self) -> bool:
        """
        Return whether there was no demand in the current and last periods.
        """
        return not self.current and not any(self.past_periods)

    def add(self, share: float, now: float) -> None:
        """
        Count the demand of one request.

        :param share: share of the limits that the request asks for.
        :param now: steady time, in seconds.
        """
        self.roll(now)
        if self.is_idle:
            self.busy_since_s = now
        self.current += share

    def roll(self, now: float) -> None:
        """
        Close the periods that are over.

        :param now: steady time, in seconds.
        """
        while now - self.period_start_s >= PERIOD_S:
            self.past_periods.append(self.current)
            self.current = 0
            self.period_start_s += PERIOD_S
            if not any(self.past_periods):
                self.period_start_s = max(self.period_start_s, now)
