"""
The one decision whether a failed try is made again.
"""

from dataclasses import dataclass

from mallowcrank.refusals import Ran

MAX_ATTEMPTS = 4  # tries of one request
CALLER_RETRY_S = 1  # what a caller is told to wait


@dataclass(frozen=True, slots=True)
class Situation:
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
    attempts: int
    budget: bool
    seconds_left: float
    needed_s: float = 0


@dataclass(frozen=True, slots=True)
class Again:
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


def is_safe(ran: Ran, *, repeatable: bool) -> bool:
    """
    Tell whether one more run breaks no promise.
    """
    return ran is Ran.NO or (repeatable and ran is Ran.UNKNOWN)


def decide_retry(situation: Situation) -> Again | GiveUp:
    """
    Decide whether to try again or to answer the caller.
    """
    if not is_safe(situation.ran, repeatable=situation.repeatable):
        return GiveUp(None)
    if (
        situation.attempts < MAX_ATTEMPTS
        and situation.budget
        and situation.seconds_left > situation.needed_s
    ):
        return Again()
    return GiveUp(CALLER_RETRY_S)


def combine(earlier: Ran, later: Ran) -> Ran:
    """
    Return what is known of a request after two tries.
    """
    order = (Ran.NO, Ran.UNKNOWN, Ran.YES)
    return max(earlier, later, key=order.index)
