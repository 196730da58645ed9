"""
Hybrid logical timestamps, as pure functions.
"""

from typing import NamedTuple

MICROS_PER_S = 1_000_000


class Timestamp(NamedTuple):
    """
    A point in hybrid logical time.

    :param micros: wall time in microseconds since the epoch.
    :param count: order among events of the same microsecond.
    """

    micros: int
    count: int


def tick(last: Timestamp, now: float) -> Timestamp:
    """
    Return the timestamp of a local event.

    :param last: the latest timestamp so far.
    :param now: wall time in seconds.
    """
    micros = int(now * MICROS_PER_S)
    if micros > last.micros:
        return Timestamp(micros, 0)
    return Timestamp(last.micros, last.count + 1)


def merge(last: Timestamp, remote: Timestamp, now: float) -> Timestamp:
    """
    Return a timestamp later than the local one and the remote one.

    :param now: wall time in seconds.
    """
    return tick(max(last, Timestamp(*remote)), now)
