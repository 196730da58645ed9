"""
Metrics sent to statsd. docs/OPERATORS.md lists every name with its unit.
"""

from dataclasses import dataclass
from typing import Protocol

from statsd import StatsClient


class Metrics(Protocol):
    """
    The interface through which parts report metrics.
    """

    def incr(self, stat: str, count: int = 1) -> None:
        """
        Add to a counter.
        """

    def gauge(self, stat: str, value: float) -> None:
        """
        Set a gauge.
        """

    def timing(self, stat: str, delta: float) -> None:
        """
        Report a duration in milliseconds.
        """


@dataclass(frozen=True)
class NoMetrics:
    """
    Discards metrics; used when no statsd address is set.
    """

    def incr(self, stat: str, count: int = 1) -> None:
        """
        Do nothing.
        """

    def gauge(self, stat: str, value: float) -> None:
        """
        Do nothing.
        """

    def timing(self, stat: str, delta: float) -> None:
        """
        Do nothing.
        """


def open_metrics(address: str, program: str) -> Metrics:
    """
    Open a statsd client.

    :param address: `IP:PORT`, or an empty string to discard metrics.
    :param program: the name of the program, part of each metric's prefix.
    """
    if not address:
        return NoMetrics()
    host, _, port = address.rpartition(':')
    return StatsClient(host, int(port), prefix=f'mallowcrank.{program}')
