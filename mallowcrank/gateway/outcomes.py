"""
Outcomes of one attempt to serve a call.
"""

from dataclasses import dataclass

from mallowcrank.gateway.target_channel import ResponseHead

UNSEALED = 'an answer without a seal'


@dataclass(frozen=True, slots=True)
class NoResponse:
    """
    An attempt that got no complete response.

    :param reason: why.
    :param may_have_run: false if the target certainly did not run the call.
    :param is_broken: whether the target closed the channel, or the network,
        after the call was sent.
    :param is_silent: whether the target may still answer.
    """

    reason: str
    may_have_run: bool
    is_broken: bool = False
    is_silent: bool = False


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
    The path may have run the request, and its answer isn't complete.

    :param is_broken: whether the channel to the first engine broke.
    :param is_silent: whether the path may still send something.
    :param is_excessive: whether the first engine has sent too much.
    """

    reason: str
    is_broken: bool = False
    is_silent: bool = False
    is_excessive: bool = False


@dataclass(frozen=True, slots=True)
class Overtaken:
    """
    An earlier run, which had fallen silent, goes on first.
    """


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


Outcome = Served | Rejected | Interrupted | Overtaken | Failed | TimedOut
