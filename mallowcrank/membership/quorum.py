"""
What to believe of a subject from what several observers found.
"""

from collections.abc import Iterable

from mallowcrank.membership.expiry import OBSERVATION_TTL_S
from mallowcrank.membership.facts import Observation, Verdict

MIN_FAILED_OBSERVERS = 2  # independent ones, to take a subject from all
MAX_FAILED_OBSERVERS = 3  # further ones add nothing
ALIVE_VOTE_MARGIN_S = 5  # how much older than the newest failure a vote may be
SUSPICION_WAIT_S = 1  # in which others may vouch for a suspected subject


def failures(
    seen: Iterable[Observation], incarnation: int
) -> tuple[Observation, ...]:
    """
    Return the observations that an incarnation failed.

    What was seen of an older incarnation doesn't hold against it.
    """
    return tuple(
        each
        for each in seen
        if each.incarnation >= incarnation and each.verdict == Verdict.FAILED
    )


def is_redundant(
    seen: Observation,
    previous: Observation | None,
    others: Iterable[Observation],
) -> bool:
    """
    Tell whether an observer has said the same thing a short time ago.

    A vote for a subject is given anew after each newer failure.

    :param before: what the observer said last.
    :param others: what all say of the subject.
    """
    if previous is None or previous.verdict != seen.verdict:
        return False
    if previous.incarnation != seen.incarnation:
        return False
    newest = max(
        (each.stamp for each in failures(others, seen.incarnation)), default=0
    )
    if seen.verdict == Verdict.ALIVE and previous.stamp < newest:
        return False
    return seen.stamp - previous.stamp < OBSERVATION_TTL_S / 2


def is_reported_alive(seen: Iterable[Observation], incarnation: int) -> bool:
    """
    Tell whether someone still reaches a subject that others don't.
    """
    collected = tuple(seen)
    newest = max(
        (each.stamp for each in failures(collected, incarnation)), default=0
    )
    return any(
        each.verdict == Verdict.ALIVE
        and each.incarnation >= incarnation
        and each.stamp >= newest - ALIVE_VOTE_MARGIN_S
        for each in collected
    )


def is_gone(
    seen: Iterable[Observation], incarnation: int, observers: int
) -> bool:
    """
    Tell whether a subject is gone for all.

    One observer may be cut off itself, so that its word alone counts only
    where there is no other; and whoever still reaches the subject outvotes
    those that don't.

    :param seen: observations that still count.
    :param incarnation: the subject's.
    :param observers: how many could observe it at all.
    """
    collected = tuple(seen)
    if is_reported_alive(collected, incarnation):
        return False
    needed = max(1, min(MIN_FAILED_OBSERVERS, observers))
    return len(failures(collected, incarnation)) >= needed
