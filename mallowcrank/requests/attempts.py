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
    GiveUp,
    Retry,
    RetryContext,
    combine_ran,
    decide_retry,
)

# Answers of a replica that may be in the way of a sound one.
GATEWAY_ERRORS = frozenset(
    (
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)
RAN_HEADER = 'x-ran'


@dataclass(frozen=True, slots=True)
class Attempts:
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
    last_outcome: Reply | Failure | None = None

    @property
    def combined_ran(self) -> Ran:
        """
        Return what is known to have run in all tries.
        """
        return combine_ran(self.ran, Ran.UNKNOWN) if self.pending else self.ran


def record_start(attempts: Attempts) -> Attempts:
    """
    Count a try that is sent now.
    """
    return replace(
        attempts, started=attempts.started + 1, pending=attempts.pending + 1
    )


def record_failure(attempts: Attempts, outcome: Reply | Failure) -> Attempts:
    """
    Count a try that brought no sound answer.
    """
    return replace(
        attempts,
        pending=attempts.pending - 1,
        ran=combine_ran(attempts.ran, ran_of(outcome)),
        last_outcome=outcome,
    )


def is_final(outcome: Reply | Failure) -> bool:
    """
    Tell whether an outcome is the service's answer to the caller.
    """
    if isinstance(outcome, Failure):
        return False
    return outcome.status not in GATEWAY_ERRORS and not _vouches(
        outcome.headers
    )


def ran_of(outcome: Reply | Failure) -> Ran:
    """
    Return what an outcome says about the run.
    """
    if isinstance(outcome, Failure):
        return outcome.ran
    if _vouches(outcome.headers):
        return Ran.NO
    return Ran.UNKNOWN if outcome.status in GATEWAY_ERRORS else Ran.YES


def decide_attempt(
    attempts: Attempts, seconds_left: float, *, has_budget: bool
) -> Retry | GiveUp:
    """
    Decide whether to send one more try now.
    """
    return decide_retry(
        RetryContext(
            ran=attempts.combined_ran,
            repeatable=attempts.repeatable,
            attempts_made=attempts.started,
            has_budget=has_budget,
            seconds_left=seconds_left,
        )
    )


def refuse_attempts(attempts: Attempts, given_up: GiveUp) -> Refused:
    """
    Build the refusal of a call whose tries all failed.
    """
    refused = not isinstance(attempts.last_outcome, Failure)
    return Refused(
        Reason.TARGET_REFUSED if refused else Reason.TARGET_FAILED,
        attempts.combined_ran,
        'the replica refused the call'
        if refused
        else 'no replica answered the call',
        retry_after_s=given_up.retry_after_s,
    )


def _vouches(headers: Mapping[str, str]) -> bool:
    return any(
        name.lower() == RAN_HEADER and given.lower() == Ran.NO.value
        for name, given in headers.items()
    )
