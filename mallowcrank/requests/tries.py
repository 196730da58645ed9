"""
The tries of one plain service's call, and what follows from how they end.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from http import HTTPStatus

from mallowcrank.calls import Reply
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.requests.retry import (
    Again,
    GiveUp,
    Situation,
    combine,
    decide_retry,
)

# Answers of a replica that may be in the way of a sound one.
TROUBLE = frozenset(
    (
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)
VOUCHED = 'x-ran'


@dataclass(frozen=True, slots=True)
class Tries:
    """
    What became of the tries so far.

    :param started: tries made.
    :param pending: tries that may still bring an answer.
    :param ran: what is known to have run in those that have ended.
    :param last: the last answer that was not sound, or the last failure.
    """

    repeatable: bool
    started: int = 0
    pending: int = 0
    ran: Ran = Ran.NO
    last: Reply | Failure | None = None

    @property
    def known(self) -> Ran:
        """
        Return what is known to have run in all tries.
        """
        return combine(self.ran, Ran.UNKNOWN) if self.pending else self.ran


def start_try(tries: Tries) -> Tries:
    """
    Count a try that is sent now.
    """
    return replace(tries, started=tries.started + 1, pending=tries.pending + 1)


def end_try(tries: Tries, outcome: Reply | Failure) -> Tries:
    """
    Count a try that brought no sound answer.
    """
    return replace(
        tries,
        pending=tries.pending - 1,
        ran=combine(tries.ran, ran_of(outcome)),
        last=outcome,
    )


def is_sound(outcome: Reply | Failure) -> bool:
    """
    Tell whether an outcome is the service's answer to the caller.
    """
    if isinstance(outcome, Failure):
        return False
    return outcome.status not in TROUBLE and not _vouches(outcome.headers)


def ran_of(outcome: Reply | Failure) -> Ran:
    """
    Return what an outcome says about the run.
    """
    if isinstance(outcome, Failure):
        return outcome.ran
    if _vouches(outcome.headers):
        return Ran.NO
    return Ran.UNKNOWN if outcome.status in TROUBLE else Ran.YES


def decide_try(
    tries: Tries, seconds_left: float, *, budget: bool
) -> Again | GiveUp:
    """
    Decide whether to send one more try now.
    """
    return decide_retry(
        Situation(
            ran=tries.known,
            repeatable=tries.repeatable,
            attempts=tries.started,
            budget=budget,
            seconds_left=seconds_left,
        )
    )


def refuse_tries(tries: Tries, given_up: GiveUp) -> Refused:
    """
    Build the refusal of a call whose tries all failed.
    """
    refused = not isinstance(tries.last, Failure)
    return Refused(
        Reason.TARGET_REFUSED if refused else Reason.TARGET_FAILED,
        tries.known,
        'the replica refused the call'
        if refused
        else 'no replica answered the call',
        retry_after_s=given_up.retry_after_s,
    )


def _vouches(headers: Mapping[str, str]) -> bool:
    return any(
        name.lower() == VOUCHED and given.lower() == Ran.NO.value
        for name, given in headers.items()
    )
