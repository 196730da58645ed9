"""
What becomes of one try of a stream.
"""

from dataclasses import dataclass

from mallowcrank.gateway.target_channel import ResponseHead


@dataclass(frozen=True, slots=True)
class Served:
    """
    The answer is complete.
    """


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """
    The path did not take the request in, and vouches for that.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class CutOff:
    """
    The path may have run the request, and gives nothing more.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Failed:
    """
    The target answered with a failure of its own.
    """

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class TimedOut:
    """
    The time for the final answer has come.
    """


Outcome = Served | TurnedAway | CutOff | Failed | TimedOut
