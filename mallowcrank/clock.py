"""
Clocks for wall time, monotonic time and hybrid logical time.
"""

import time
from dataclasses import dataclass
from typing import Protocol

from mallowcrank.hlc import Timestamp, merge, tick


class Clock(Protocol):
    """
    The interface through which all parts read the time.
    """

    def now(self) -> float:
        """
        Return seconds since the epoch.
        """

    def steady(self) -> float:
        """
        Return seconds on a monotonic clock.
        """

    def sleep(self, seconds: float) -> None:
        """
        Wait for the given seconds.
        """


class SystemClock:
    """
    The clocks of the operating system.
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
    Virtual time for tests; it advances only by calls.

    :param seconds: the monotonic time.
    :param suspended_s: seconds that only the wall clock counted.
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
        Return the virtual seconds of the monotonic clock.
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
        Advance only the wall clock, as while a host is suspended.
        """
        self.suspended_s += seconds


class HybridClock:
    """
    A hybrid logical clock: its timestamps order a message's receipt after
    its sending, also where the hosts' clocks differ.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = Timestamp(0, 0)

    def stamp(self) -> Timestamp:
        """
        Return a timestamp later than all issued or observed ones.
        """
        self._last = tick(self._last, self._clock.now())
        return self._last

    def observe(self, remote: Timestamp) -> None:
        """
        Advance past the timestamp of a received message.
        """
        self._last = merge(self._last, remote, self._clock.now())
