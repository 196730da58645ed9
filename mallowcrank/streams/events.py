"""
Events that change the state of a stream.
"""

from dataclasses import dataclass

from mallowcrank.ports import Step, StepResult
from mallowcrank.refusals import Ran, Refused
from mallowcrank.router.ports import Route


@dataclass(frozen=True, slots=True)
class Started:
    """
    The stream has started.
    """


@dataclass(frozen=True, slots=True)
class RouteFound:
    """
    A path that covers all layers was chosen.

    :param allow_import: whether importing KV state is estimated to be faster
        than running the tokens again.
    """

    route: Route
    allow_import: bool = False


@dataclass(frozen=True, slots=True)
class NoRoute:
    """
    No path covers all layers at present.

    :param refused: the refusal to answer with if the stream can't wait.
    :param may_wait: whether there is time to wait for a replacement.
    """

    refused: Refused
    may_wait: bool


@dataclass(frozen=True, slots=True)
class WaitOver:
    """
    It is time to look for a path again, after an action `Wait`.
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
    The call with a step ended without an answer to it.

    :param ran: `NO` if the step was never sent.
    """

    target: str
    step: Step
    ran: Ran


@dataclass(frozen=True, slots=True)
class Transferred:
    """
    A transfer of KV state has ended.

    :param attempt: attempt number of the imported state.
    :param done: whether the import succeeded.
    """

    attempt: int
    done: bool


@dataclass(frozen=True, slots=True)
class TargetLeaving:
    """
    A target is leaving; the stream should move to another one if it can.
    """

    target: str


@dataclass(frozen=True, slots=True)
class InputLimitReached:
    """
    The process retains too many inputs; the stream should retain token ids
    only.
    """


@dataclass(frozen=True, slots=True)
class Cancelled:
    """
    The caller disconnected, or its deadline passed.
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
