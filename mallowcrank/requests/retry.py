"""
Decides whether a failed attempt is retried; all retries use it.
"""

from dataclasses import dataclass

from mallowcrank.refusals import Ran

MAX_ATTEMPTS = 4  # for one request
CALLER_RETRY_AFTER_S = 1


@dataclass(frozen=True, slots=True)
class RetryContext:
    """
    What is known when an attempt has failed.

    :param ran: whether the request ran, over all attempts so far.
    :param repeatable: whether the request may run more than once.
    :param attempts_made: number of attempts so far.
    :param has_budget: whether the pool's retry budget allows another attempt.
    :param seconds_left: until the caller's deadline.
    :param needed_s: seconds that another attempt takes at least.
    """

    ran: Ran
    repeatable: bool
    attempts_made: int
    has_budget: bool
    seconds_left: float
    needed_s: float = 0


@dataclass(frozen=True, slots=True)
class Retry:
    """
    Make another attempt at once.
    """


@dataclass(frozen=True, slots=True)
class GiveUp:
    """
    Make no further attempt and answer the caller.

    :param retry_after_s: seconds after which the caller may retry, or `None` if
        it should not.
    """

    retry_after_s: float | None


def is_safe_to_repeat(ran: Ran, *, repeatable: bool) -> bool:
    """
    Tell whether another attempt is safe: the request did not run, or it may
    have run and is repeatable.
    """
    return ran is Ran.NO or (repeatable and ran is Ran.UNKNOWN)


def decide_retry(context: RetryContext) -> Retry | GiveUp:
    """
    Decide whether to make another attempt or to answer the caller.
    """
    if not is_safe_to_repeat(context.ran, repeatable=context.repeatable):
        return GiveUp(None)
    if (
        context.attempts_made < MAX_ATTEMPTS
        and context.has_budget
        and context.seconds_left > context.needed_s
    ):
        return Retry()
    return GiveUp(CALLER_RETRY_AFTER_S)


def combine_ran(earlier: Ran, later: Ran) -> Ran:
    """
    Return whether a request ran, given what is known of two attempts.
    """
    precedence = (Ran.NO, Ran.UNKNOWN, Ran.YES)
    return max(earlier, later, key=precedence.index)
