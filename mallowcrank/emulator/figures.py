"""
Figures of a run from the callers' point of view.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mallowcrank.emulator.routers import Outcome

FIRST_EVENT_TARGET_S = 0.5
MAX_EVENT_GAP_S = 0.25
LATE_CREDIT = 0.25  # for a complete response that missed one of these targets
WINDOW_S = 2.0
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Figures:
    """
    Figures of a run. Counts of outcomes are shares of all requests.

    :param in_aim: complete within the targets.
    :param late: complete, but not within the targets.
    :param credit: mean credit of a request, from 0 to 1.
    :param worst: mean credit in the two worst windows of 2 s.
    :param event_ms: mean gap between events, of the median stream.
    :param preempted: streams preempted by engines.
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
    Compute the figures of a run from the outcomes of its requests.
    """
    total = max(1, len(outcomes))
    first_events_ms = sorted(
        (each.events[0] - each.job.arrival_s) * MS_PER_S
        for each in outcomes
        if each.events
    )
    on_time = [each for each in outcomes if is_on_time(each)]
    completed = [each for each in outcomes if each.is_complete]
    refused = [each for each in outcomes if each.refused]
    return Figures(
        requests=len(outcomes),
        in_aim=len(on_time) / total,
        late=(len(completed) - len(on_time)) / total,
        refused=len(refused) / total,
        failed=(total - len(completed) - len(refused)) / total,
        credit=_mean_credit(outcomes),
        worst=_worst_windows_credit(outcomes),
        first_p50_ms=_quantile(first_events_ms, 0.5),
        first_p95_ms=_quantile(first_events_ms, 0.95),
        event_ms=_quantile(sorted(_mean_gaps_ms(completed)), 0.5),
        preempted=preempted,
    )


def is_on_time(outcome: Outcome) -> bool:
    """
    Return whether a response is complete and met the targets of the first
    event and of the gaps between events.
    """
    if not outcome.is_complete:
        return False
    events = outcome.events
    if events[0] - outcome.job.arrival_s > FIRST_EVENT_TARGET_S:
        return False
    pairs = zip(events, events[1:], strict=False)
    return all(
        current - previous <= MAX_EVENT_GAP_S for previous, current in pairs
    )


def _mean_credit(outcomes: Sequence[Outcome]) -> float:
    if not outcomes:
        return 0
    total: float = 0
    for outcome in outcomes:
        if is_on_time(outcome):
            total += 1
        elif outcome.is_complete:
            total += LATE_CREDIT
    return total / len(outcomes)


def _worst_windows_credit(outcomes: Iterable[Outcome]) -> float:
    windows: dict[int, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        windows[int(outcome.job.arrival_s // WINDOW_S)].append(outcome)
    credits = sorted(_mean_credit(each) for each in windows.values())[:2]
    return sum(credits) / max(1, len(credits))


def _mean_gaps_ms(completed: Iterable[Outcome]) -> Iterable[float]:
    for outcome in completed:
        gaps = len(outcome.events) - 1
        if gaps:
            duration_s = outcome.events[-1] - outcome.events[0]
            yield duration_s / gaps * MS_PER_S


def _quantile(ordered: Sequence[float], quantile: float) -> float:
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))]
