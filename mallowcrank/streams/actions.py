"""
What a stream's state machine asks for.
"""

from dataclasses import dataclass

from mallowcrank.ports import Step
from mallowcrank.refusals import Refused
from mallowcrank.router.ports import Stage


@dataclass(frozen=True, slots=True)
class FindRoute:
    """
    Choose a path that avoids some targets.
    """

    avoid: frozenset[str]


@dataclass(frozen=True, slots=True)
class Wait:
    """
    Come back with `WaitOver` after a while or when the targets change.
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

    :param attempt: of the state to export.
    :param new_attempt: of the state to make.
    """

    source: str
    attempt: int
    stage: Stage
    new_attempt: int


@dataclass(frozen=True, slots=True)
class Emit:
    """
    Give a token to the caller.
    """

    token: int


@dataclass(frozen=True, slots=True)
class FreeStates:
    """
    Free the stream's states on a target, up to an attempt.
    """

    target: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ReportFailure:
    """
    Report a target that failed the stream.
    """

    target: str
    incarnation: int
    reason: str


@dataclass(frozen=True, slots=True)
class RecordEvent:
    """
    Put an event on the time line.
    """

    what: str
    target: str = ''


@dataclass(frozen=True, slots=True)
class Finish:
    """
    The answer is whole.

    :param reason: `stop` or `length`.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Fail:
    """
    The stream ends without its answer.
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
