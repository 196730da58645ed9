"""
When a gateway checks whether what it knows is still the store's newest.
"""

from dataclasses import dataclass
from math import log
from random import Random


@dataclass(frozen=True, slots=True)
class CheckAges:
    """
    The ages of knowledge at which checks may be due, in seconds.

    :param min_s: no check is due before this age.
    :param spread_s: between the earliest check and the latest one.
    """

    min_s: float
    spread_s: float

    @property
    def max_s(self) -> float:
        """
        Return the age at which a check is due at the latest, in seconds.
        """
        return self.min_s + self.spread_s


class CheckSchedule:
    """
    The age of knowledge at which this gateway's next check is due.

    It is random, and distributed so that in a group of any size only a few are
    due early: these tell the others before their checks are due.
    """

    def __init__(self, ages: CheckAges, random: Random) -> None:
        self._ages = ages
        self._random = random
        self._confirmed_at: float | None = None
        self._fraction: float = 1

    def due_at(self, confirmed_at: float, group_size: int) -> float:
        """
        Return the monotonic time at which a check is due, in seconds.

        :param confirmed_at: when the knowledge was last confirmed.
        :param group_size: number of gateways that check.
        """
        if confirmed_at != self._confirmed_at:
            self._confirmed_at = confirmed_at
            self._fraction = 1 - self._random.random()
        share = max(0, 1 + log(self._fraction) / log(1 + group_size))
        return confirmed_at + self._ages.min_s + self._ages.spread_s * share
