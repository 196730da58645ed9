"""
Compares the strategies that select engines, all with the same stale reports.
"""

from collections import Counter
from dataclasses import dataclass
from functools import partial
from statistics import mean

from mallowcrank.router.ports import Ticket
from mallowcrank.routing.bound import Workload
from mallowcrank.routing.strategies import (
    Affinity,
    Blended,
    CacheAware,
    LeastLoaded,
    RandomChoice,
    SelectionStrategy,
    TwoChoices,
)
from scripts.trials.fleet import MODEL, FleetSettings, VirtualFleet
from scripts.trials.traffic import Job, RequestShape
from scripts.trials.virtual import PROMPT_TOKENS_PER_STEP

STRATEGIES = (
    RandomChoice(),
    LeastLoaded(),
    TwoChoices(),
    CacheAware(),
    Affinity(),
    Blended(),
)
STAGGER_S = 0.002  # between the first requests of streams
WARM_S = 4
RUN_S = 12
PROMPT_COUNT = 60  # with different prefixes; the first are the most common


@dataclass(frozen=True)
class StrategyFigures:
    """
    Results of one strategy.

    :param ratio: tokens a second as a ratio to the throughput bound at the
        same cache hit rate.
    :param tokens_per_s: generated tokens.
    :param hit_part: share of the prompts found in a cache.
    :param first_p95_ms: time to the first token.
    :param between_p95_ms: time between tokens.
    :param herd: the largest share of the selections during one report that
        went to a single engine, as a ratio to an even share.
    """

    name: str
    ratio: float
    tokens_per_s: float
    hit_part: float
    first_p95_ms: float
    between_p95_ms: float
    herd: float


def run_strategy(
    strategy: SelectionStrategy, seed: int, fill: float, stages: int
) -> StrategyFigures:
    """
    Run one strategy in a closed loop.

    :param fill: concurrent streams as a ratio to those that fill all batches.
    :param stages: layer ranges that the model is split into.
    """
    fleet = VirtualFleet(
        FleetSettings(strategy=strategy, seed=seed, stages=stages)
    )
    jobs: list[Job] = []
    picks: Counter[tuple[int, str]] = Counter()
    streams = round(fleet.bound(Workload()).full_streams * fill)

    def launch(number: int) -> None:
        router = fleet.routers[number % len(fleet.routers)]
        job = _job(len(jobs), fleet, lambda _: launch(number))
        jobs.append(job)
        router.start(job)
        if job.route is not None:
            stage = job.route.stages[0]
            picks[(int(fleet.loop.now), stage.target)] += 1

    for number in range(streams):
        fleet.loop.call_later(number * STAGGER_S, partial(launch, number))
    fleet.loop.run(WARM_S + RUN_S)
    return _figures(strategy, fleet, jobs, picks)


def _job(number: int, fleet: VirtualFleet, on_finished: object) -> Job:
    prompt = int(PROMPT_COUNT * fleet.random.random() ** 2)
    shape = RequestShape(answer=fleet.random.randint(12, 36))
    ticket = Ticket(f's{number}', 'b/w', 1e9, 0, shape.answer, MODEL)
    return Job(ticket, prompt, shape, fleet.loop.now, on_finished)


def _figures(
    strategy: SelectionStrategy,
    fleet: VirtualFleet,
    jobs: list[Job],
    picks: Counter[tuple[int, str]],
) -> StrategyFigures:
    times = [job.token_times for job in jobs]
    tokens = sum(at > WARM_S for each in times for at in each)
    first = [
        job.token_times[0] - job.arrived for job in jobs if job.token_times
    ]
    gaps = [
        after - before
        for each in times
        for before, after in zip(each, each[1:], strict=False)
        if before > WARM_S
    ]
    engines = [each for each in fleet.engines.values() if each.prompts]
    hits = sum(each.hits for each in engines)
    prompts = sum(each.prompts for each in engines)
    # Only engines that hold the first layer cache prompts.
    missed = 1 if fleet.settings.stages > 1 else 1 - hits / prompts
    units = missed * RequestShape().prompt_tokens / PROMPT_TOKENS_PER_STEP
    work = Workload(prompt_steps=units, answer_tokens=mean(map(len, times)))
    throughput = tokens / RUN_S
    return StrategyFigures(
        name=type(strategy).__name__,
        ratio=throughput / fleet.bound(work).tokens_per_s,
        tokens_per_s=throughput,
        hit_part=hits / prompts,
        first_p95_ms=percentile(first, 0.95) * 1000,
        between_p95_ms=percentile(gaps, 0.95) * 1000,
        herd=_herding(picks),
    )


def _herding(picks: Counter[tuple[int, str]]) -> float:
    ratios = []
    for second in range(WARM_S, WARM_S + RUN_S):
        chosen = [number for (at, _), number in picks.items() if at == second]
        if chosen:
            ratios.append(max(chosen) * FleetSettings().replicas / sum(chosen))
    return mean(ratios)


def percentile(seconds: list[float], part: float) -> float:
    """
    Return a percentile of a list.

    :param part: the percentile as a fraction of 1.
    """
    ordered = sorted(seconds)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
