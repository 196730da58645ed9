"""
Attempts of one call to a plain service, and decisions that depend on their
outcome.
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

# Statuses after which another replica may still give the final answer.
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
    The attempts so far.

    :param started: number of attempts started.
    :param pending: number of attempts that may still be answered.
    :param ran: whether the request ran, over the attempts that have ended.
    :param last_outcome: the last failure or answer that was not final.
    """

    repeatable: bool
    started: int = 0
    pending: int = 0
    ran: Ran = Ran.NO
    last_outcome: Reply | Failure | None = None

    @property
    def combined_ran(self) -> Ran:
        """
        Return whether the request ran, over all attempts.
        """
        return combine_ran(self.ran, Ran.UNKNOWN) if self.pending else self.ran


def record_start(attempts: Attempts) -> Attempts:
    """
    Record that an attempt was started.
    """
    return replace(
        attempts, started=attempts.started + 1, pending=attempts.pending + 1
    )


def record_failure(attempts: Attempts, outcome: Reply | Failure) -> Attempts:
    """
    Record that an attempt ended without a final answer.
    """
    return replace(
        attempts,
        pending=attempts.pending - 1,
        ran=combine_ran(attempts.ran, ran_of(outcome)),
        last_outcome=outcome,
    )


def is_final(outcome: Reply | Failure) -> bool:
    """
    Tell whether an outcome is an answer to pass to the caller.
    """
    if isinstance(outcome, Failure):
        return False
    return outcome.status not in GATEWAY_ERRORS and not _says_not_run(
        outcome.headers
    )


def ran_of(outcome: Reply | Failure) -> Ran:
    """
    Return whether the request ran, as far as the outcome shows.
    """
    if isinstance(outcome, Failure):
        return outcome.ran
    if _says_not_run(outcome.headers):
        return Ran.NO
    return Ran.UNKNOWN if outcome.status in GATEWAY_ERRORS else Ran.YES


def decide_attempt(
    attempts: Attempts, seconds_left: float, *, has_budget: bool
) -> Retry | GiveUp:
    """
    Decide whether to start another attempt now.

    :param has_budget: whether the retry budget allows it.
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


def refuse_attempts(attempts: Attempts, decision: GiveUp) -> Refused:
    """
    Build the refusal of a call whose attempts all failed.
    """
    refused = not isinstance(attempts.last_outcome, Failure)
    return Refused(
        Reason.TARGET_REFUSED if refused else Reason.TARGET_FAILED,
        attempts.combined_ran,
        'the replica refused the call'
        if refused
        else 'no replica answered the call',
        retry_after_s=decision.retry_after_s,
    )


def _says_not_run(headers: Mapping[str, str]) -> bool:
    return any(
        name.lower() == RAN_HEADER and text.lower() == Ran.NO.value
        for name, text in headers.items()
    )
