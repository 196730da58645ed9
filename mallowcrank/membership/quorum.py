"""
Quorum decisions on a subject from the observations of several agents.
"""

from collections.abc import Iterable

from mallowcrank.membership.expiry import OBSERVATION_TTL_S
from mallowcrank.membership.facts import Observation, Verdict

MIN_FAILED_OBSERVERS = 2  # independent observers that declare a subject gone
MAX_FAILED_OBSERVERS = 3  # more failure observations do not change a decision
ALIVE_VOTE_MARGIN_S = 5  # how much an alive vote may predate the last failure
SUSPICION_WAIT_S = 1  # lets other agents report a suspected subject as alive


def failures(
    observations: Iterable[Observation], incarnation: int
) -> tuple[Observation, ...]:
    """
    Return the failure observations of an incarnation.

    Observations of older incarnations are ignored.
    """
    return tuple(
        each
        for each in observations
        if each.incarnation >= incarnation and each.verdict == Verdict.FAILED
    )


def is_redundant(
    observation: Observation,
    previous: Observation | None,
    others: Iterable[Observation],
) -> bool:
    """
    Return whether an observer published the same observation recently.

    An alive vote is repeated after each newer failure observation.

    :param previous: the observer's last observation of the subject.
    :param others: all observations of the subject.
    """
    if previous is None or previous.verdict != observation.verdict:
        return False
    if previous.incarnation != observation.incarnation:
        return False
    newest = max(
        (each.stamp for each in failures(others, observation.incarnation)),
        default=0,
    )
    if observation.verdict == Verdict.ALIVE and previous.stamp < newest:
        return False
    return observation.stamp - previous.stamp < OBSERVATION_TTL_S / 2


def is_reported_alive(
    observations: Iterable[Observation], incarnation: int
) -> bool:
    """
    Return whether some observer still reaches a subject that others can't.
    """
    collected = tuple(observations)
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
    observations: Iterable[Observation], incarnation: int, observers: int
) -> bool:
    """
    Return whether a subject is gone.

    A single observer may be partitioned itself, so its observation suffices
    only if there is no other observer. One observer that still reaches the
    subject outvotes those that don't.

    :param observations: observations that have not expired.
    :param incarnation: the subject's incarnation.
    :param observers: how many agents could observe the subject.
    """
    collected = tuple(observations)
    if is_reported_alive(collected, incarnation):
        return False
    needed = max(1, min(MIN_FAILED_OBSERVERS, observers))
    return len(failures(collected, incarnation)) >= needed
