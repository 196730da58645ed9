"""
Turns of one of several gateways that can't hear each other.
"""

from collections.abc import Hashable
from math import inf
from random import Random

TURN_TTL_S = 1.0  # an unused turn is dropped, so that turns don't add up


class RandomTurns:
    """
    Turns at random times, so that those of several gateways don't coincide.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._turns: dict[Hashable, float] = {}

    def claim(self, key: Hashable, interval_s: float, now: float) -> float:
        """
        Take the turn, if it has come.

        :param interval_s: between two turns, in seconds.
        :param now: steady time, in seconds.
        :returns: seconds until the turn; 0 if it was taken.
        """
        turn_at = self._turns.get(key, -inf)
        if now > turn_at + TURN_TTL_S:
            turn_at = now + self._random.random() * interval_s
            self._turns[key] = turn_at
        if now < turn_at:
            return turn_at - now
        self._turns[key] = now + interval_s
        return 0

    def clear(self) -> None:
        """
        Forget all turns.
        """
        self._turns.clear()
