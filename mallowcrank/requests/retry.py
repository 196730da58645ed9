"""
The one decision whether a failed try is made again.
"""

from dataclasses import dataclass

from mallowcrank.refusals import Ran

MAX_ATTEMPTS = 4  # tries of one request
CALLER_RETRY_AFTER_S = 1  # what a caller is told to wait


@dataclass(frozen=True, slots=True)
class RetryContext:
    """
    What is known when a try has failed.

    :param ran: what is known to have run in all tries so far.
    :param repeatable: whether the request may run more than once.
    :param attempts: tries made so far.
    :param budget: whether the pool's retry budget has one left.
    :param seconds_left: until the caller's deadline.
    :param needed_s: seconds that one more try takes at least.
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
    Try once more, at once.
    """


@dataclass(frozen=True, slots=True)
class GiveUp:
    """
    Answer the caller at once.

    :param retry_after_s: seconds until a retry by the caller makes sense, or
        `None` where it is of no use.
    """

    retry_after_s: float | None


def is_safe_to_repeat(ran: Ran, *, repeatable: bool) -> bool:
    """
    Tell whether one more run breaks no promise.
    """
    return ran is Ran.NO or (repeatable and ran is Ran.UNKNOWN)


def decide_retry(context: RetryContext) -> Retry | GiveUp:
    """
    Decide whether to try again or to answer the caller.
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
    Return what is known of a request after two tries.
    """
    order = (Ran.NO, Ran.UNKNOWN, Ran.YES)
    return max(earlier, later, key=order.index)
