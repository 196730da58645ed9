"""
Outcomes of one attempt to serve a stream.
"""

from dataclasses import dataclass

from mallowcrank.gateway.target_channel import ResponseHead


@dataclass(frozen=True, slots=True)
class Served:
    """
    The answer is complete.
    """


@dataclass(frozen=True, slots=True)
class Rejected:
    """
    The path guarantees that it didn't run the request.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Interrupted:
    """
    The path may have run the request, and sends nothing more.

    :param is_broken: whether the channel to the first engine broke.
    """

    reason: str
    is_broken: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """
    The target answered with an error.
    """

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class TimedOut:
    """
    The time limit of the request has passed.
    """


Outcome = Served | Rejected | Interrupted | Failed | TimedOut
