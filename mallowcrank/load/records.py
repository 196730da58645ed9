"""
What callers record of their own calls.
"""

from dataclasses import dataclass
from enum import StrEnum, unique


@unique
class Outcome(StrEnum):
    """
    What became of a call, as its caller knows it.

    `LOST` is a call that ended with neither an answer nor a refusal.
    """

    COMPLETED = 'completed'
    REFUSED_NOT_RUN = 'refused_not_run'
    UNKNOWN = 'unknown'
    LOST = 'lost'


@unique
class CallKind(StrEnum):
    """
    What was called.
    """

    COMPLETION = 'completion'
    SERVICE = 'service'


@dataclass(frozen=True, slots=True)
class Plan:
    """
    A call to make.

    :param number: unique in the run.
    :param serves: the model's or service's name.
    :param prompt: a completion's prompt, or a service call's body.
    :param silence_s: seconds without an answer until another router is
        tried; 0: half of what is left of the deadline.
    """

    number: int
    kind: CallKind
    workspace: str
    serves: str
    prompt: str
    max_tokens: int = 0
    repeatable: bool = True
    deadline_s: float = 20
    priority: int = 0
    silence_s: float = 0

    @property
    def branch(self) -> str:
        """
        Return the workspace's branch.
        """
        return self.workspace.partition('/')[0]


@dataclass(frozen=True, slots=True)
class Try:
    """
    One try of a call.

    :param request: the request's id, or an empty string where no answer came.
    :param ran: what the answer said of its execution, or an empty string.
    :param started: seconds since the epoch.
    :param status: the HTTP status, or 0 where no answer came.
    :param problem: why the try brought no whole answer.
    """

    request: str
    router: str
    started: float
    ended: float
    status: int = 0
    ran: str = ''
    code: str = ''
    problem: str = ''


@dataclass(frozen=True, slots=True)
class CallRecord:
    """
    One call with all its tries.

    :param answer: the text of a completion, or the body of a service's answer.
    :param finish: why the answer ended, as the answer says.
    :param told_tokens: the count of tokens that the answer says it has.
    :param token_times: when each piece of text came, seconds since the epoch,
        each with the characters that it brought.
    :param broken_times: when text came in tries that broke.
    """

    plan: Plan
    outcome: Outcome
    started: float
    ended: float
    tries: tuple[Try, ...] = ()
    answer: str = ''
    finish: str = ''
    told_tokens: int = 0
    token_times: tuple[tuple[float, int], ...] = ()
    broken_times: tuple[float, ...] = ()

    @property
    def received_times(self) -> tuple[float, ...]:
        """
        Return when text came in any try, seconds since the epoch.
        """
        return (*self.broken_times, *(came for came, _ in self.token_times))

    @property
    def last_request(self) -> str:
        """
        Return the id of the request that gave the answer.
        """
        return self.tries[-1].request if self.tries else ''
