"""
Figures of a run, as callers see them.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mallowcrank.emulator.routers import Outcome

FIRST_EVENT_TARGET_S = 0.5  # to the first event
MAX_EVENT_GAP_S = 0.25  # the longest pause between events
LATE_CREDIT = 0.25  # for a whole answer that was late, or paused
WINDOW_S = 2.0
MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Figures:
    """
    Figures of a run; shares of all requests.

    :param worst: of the credit, in the worst two windows of 2 s.
    :param event_ms: mean pause between events, of the middle stream.
    """

    requests: int
    in_aim: float
    late: float
    refused: float
    failed: float
    credit: float
    worst: float
    first_p50_ms: float
    first_p95_ms: float
    event_ms: float
    preempted: int


def compute_figures(outcomes: Sequence[Outcome], preempted: int) -> Figures:
    """
    Sum a run up.
    """
    total = max(1, len(outcomes))
    firsts = sorted(
        (each.events[0] - each.job.arrival_s) * MILLISECONDS
        for each in outcomes
        if each.events
    )
    on_time = [each for each in outcomes if is_on_time(each)]
    whole = [each for each in outcomes if each.is_complete]
    refused = [each for each in outcomes if each.refused]
    return Figures(
        requests=len(outcomes),
        in_aim=len(on_time) / total,
        late=(len(whole) - len(on_time)) / total,
        refused=len(refused) / total,
        failed=(total - len(whole) - len(refused)) / total,
        credit=_mean_credit(outcomes),
        worst=_worst_windows_credit(outcomes),
        first_p50_ms=_quantile(firsts, 0.5),
        first_p95_ms=_quantile(firsts, 0.95),
        event_ms=_quantile(sorted(_mean_gaps_ms(whole)), 0.5),
        preempted=preempted,
    )


def is_on_time(outcome: Outcome) -> bool:
    """
    Return whether an answer is whole, came in time and never paused.
    """
    if not outcome.is_complete:
        return False
    events = outcome.events
    if events[0] - outcome.job.arrival_s > FIRST_EVENT_TARGET_S:
        return False
    pairs = zip(events, events[1:], strict=False)
    return all(after - before <= MAX_EVENT_GAP_S for before, after in pairs)


def _mean_credit(outcomes: Sequence[Outcome]) -> float:
    if not outcomes:
        return 0
    earned: float = 0
    for outcome in outcomes:
        if is_on_time(outcome):
            earned += 1
        elif outcome.is_complete:
            earned += LATE_CREDIT
    return earned / len(outcomes)


def _worst_windows_credit(outcomes: Iterable[Outcome]) -> float:
    windows: dict[int, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        windows[int(outcome.job.arrival_s // WINDOW_S)].append(outcome)
    credits = sorted(_mean_credit(each) for each in windows.values())[:2]
    return sum(credits) / max(1, len(credits))


def _mean_gaps_ms(whole: Iterable[Outcome]) -> Iterable[float]:
    for outcome in whole:
        pauses = len(outcome.events) - 1
        if pauses:
            lasted = outcome.events[-1] - outcome.events[0]
            yield lasted / pauses * MILLISECONDS


def _quantile(ordered: Sequence[float], part: float) -> float:
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]
