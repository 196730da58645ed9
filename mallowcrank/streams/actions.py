"""
Actions that a stream's state machine requests from its driver.
"""

from dataclasses import dataclass

from mallowcrank.ports import Step
from mallowcrank.refusals import Refused
from mallowcrank.router.ports import Stage


@dataclass(frozen=True, slots=True)
class FindRoute:
    """
    Choose a path that avoids the given targets.
    """

    avoid: frozenset[str]


@dataclass(frozen=True, slots=True)
class Wait:
    """
    Send the event `WaitOver` after a delay or when the targets change.
    """


@dataclass(frozen=True, slots=True)
class SendStep:
    """
    Run a step on a target.
    """

    target: str
    step: Step


@dataclass(frozen=True, slots=True)
class Transfer:
    """
    Export KV state from one target and import it into another.

    :param attempt: attempt number of the state to export.
    :param new_attempt: attempt number of the state to create.
    """

    source: str
    attempt: int
    stage: Stage
    new_attempt: int


@dataclass(frozen=True, slots=True)
class Emit:
    """
    Send a token to the caller.
    """

    token: int


@dataclass(frozen=True, slots=True)
class FreeStates:
    """
    Free the stream's KV states on a target, up to an attempt number.
    """

    target: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ReportFailure:
    """
    Report a target that failed to run a step.
    """

    target: str
    incarnation: int
    reason: str


@dataclass(frozen=True, slots=True)
class RecordEvent:
    """
    Record an event in the timeline.
    """

    what: str
    target: str = ''


@dataclass(frozen=True, slots=True)
class Finish:
    """
    The answer is complete.

    :param reason: `stop` or `length`.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Fail:
    """
    The stream has failed and ends without a complete answer.
    """

    refused: Refused


Action = (
    FindRoute
    | Wait
    | SendStep
    | Transfer
    | Emit
    | FreeStates
    | ReportFailure
    | RecordEvent
    | Finish
    | Fail
)
