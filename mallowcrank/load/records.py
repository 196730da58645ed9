"""
The records that callers keep of their calls.
"""

from dataclasses import dataclass
from enum import StrEnum, unique


@unique
class Outcome(StrEnum):
    """
    The outcome of a call, as far as its caller knows.

    `LOST` means that the call ended with neither an answer nor a refusal.
    """

    COMPLETED = 'completed'
    REFUSED_NOT_RUN = 'refused_not_run'
    UNKNOWN = 'unknown'
    LOST = 'lost'


@unique
class CallKind(StrEnum):
    """
    The kind of target called.
    """

    COMPLETION = 'completion'
    SERVICE = 'service'


@dataclass(frozen=True, slots=True)
class Plan:
    """
    A call to make.

    :param number: unique in a run.
    :param serves: the model's or service's name.
    :param prompt: a completion's prompt, or a service call's body.
    :param silence_s: seconds without an answer until another router is
        tried; 0: for completions half of the remaining time, at least 5 s,
        otherwise all of it.
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
    One attempt at a call.

    :param request: the request's id, or an empty string without an answer.
    :param ran: whether the call ran according to the answer, or an empty
        string.
    :param started: seconds since the epoch.
    :param status: the HTTP status, or 0 without an answer.
    :param problem: why the try failed, or an empty string.
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
    :param finish: the finish reason given in the answer.
    :param told_tokens: the count of tokens reported in the answer.
    :param token_times: for each chunk of text, its time of arrival in seconds
        since the epoch and its count of characters.
    :param broken_times: arrival times of text in failed tries, in seconds
        since the epoch.
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
        Return the arrival times of text in all tries, in seconds since the
        epoch.
        """
        return (
            *self.broken_times,
            *(received for received, _ in self.token_times),
        )

    @property
    def last_request(self) -> str:
        """
        Return the id of the last request, or an empty string.
        """
        return self.tries[-1].request if self.tries else ''
