"""
Clocks: wall time, steady time and hybrid logical time.
"""

import time
from dataclasses import dataclass
from typing import Protocol

from mallowcrank.hlc import Timestamp, merge, tick


class Clock(Protocol):
    """
    The port through which all parts read time.
    """

    def now(self) -> float:
        """
        Return seconds since the epoch.
        """

    def steady(self) -> float:
        """
        Return seconds on a clock that never goes back.
        """

    def sleep(self, seconds: float) -> None:
        """
        Wait for the given seconds.
        """


class SystemClock:
    """
    The host's clocks.
    """

    def now(self) -> float:
        """
        Return seconds since the epoch.
        """
        return time.time()

    def steady(self) -> float:
        """
        Return seconds on the host's monotonic clock.
        """
        return time.monotonic()

    def sleep(self, seconds: float) -> None:
        """
        Wait for the given seconds.
        """
        time.sleep(seconds)


@dataclass
class FakeClock:
    """
    Virtual time for tests; it moves only when told to.
    """

    seconds: float = 1000
    suspended_s: float = 0

    def now(self) -> float:
        """
        Return the virtual seconds of the wall clock.
        """
        return self.seconds + self.suspended_s

    def steady(self) -> float:
        """
        Return the virtual seconds.
        """
        return self.seconds

    def sleep(self, seconds: float) -> None:
        """
        Advance virtual time.
        """
        self.seconds += seconds

    def advance(self, seconds: float) -> None:
        """
        Advance virtual time.
        """
        self.seconds += seconds

    def suspend(self, seconds: float) -> None:
        """
        Let time pass that only the wall clock counts.
        """
        self.suspended_s += seconds


class HybridClock:
    """
    A hybrid logical clock: timestamps that respect messages between hosts.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = Timestamp(0, 0)

    def stamp(self) -> Timestamp:
        """
        Return a timestamp later than all that were given or seen.
        """
        self._last = tick(self._last, self._clock.now())
        return self._last

    def observe(self, remote: Timestamp) -> None:
        """
        Take in a timestamp that came with a message.
        """
        self._last = merge(self._last, remote, self._clock.now())
