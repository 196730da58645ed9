"""
What happens to a stream.
"""

from dataclasses import dataclass

from mallowcrank.ports import Step, StepResult
from mallowcrank.refusals import Ran, Refused
from mallowcrank.router.ports import Route


@dataclass(frozen=True, slots=True)
class Started:
    """
    The stream may begin.
    """


@dataclass(frozen=True, slots=True)
class RouteFound:
    """
    A covering path was chosen.

    :param allow_import: whether importing KV state is estimated to be sooner
        than running the tokens again.
    """

    route: Route
    allow_import: bool = False


@dataclass(frozen=True, slots=True)
class NoRoute:
    """
    No path covers the layers now.

    :param patient: whether there is time to wait for a replacement.
    """

    refused: Refused
    may_wait: bool


@dataclass(frozen=True, slots=True)
class WaitOver:
    """
    It is time to look for a path again.
    """


@dataclass(frozen=True, slots=True)
class Answered:
    """
    A target answered a step.
    """

    target: str
    result: StepResult


@dataclass(frozen=True, slots=True)
class Lost:
    """
    The call that held a step brought no answer.

    :param ran: `NO` where the step never left.
    """

    target: str
    step: Step
    ran: Ran


@dataclass(frozen=True, slots=True)
class Transferred:
    """
    The end of a KV transfer.

    :param attempt: the attempt that the state was imported for.
    """

    attempt: int
    done: bool


@dataclass(frozen=True, slots=True)
class TargetLeaving:
    """
    A target is leaving; the stream should move off it, where it can.
    """

    target: str


@dataclass(frozen=True, slots=True)
class InputLimitReached:
    """
    The process keeps too many inputs: keep the token ids only.
    """


@dataclass(frozen=True, slots=True)
class Cancelled:
    """
    The caller went away, or its deadline passed.
    """

    refused: Refused


Event = (
    Started
    | RouteFound
    | NoRoute
    | WaitOver
    | Answered
    | Lost
    | Transferred
    | TargetLeaving
    | InputLimitReached
    | Cancelled
)
