"""
Computes the throughput bound of a run with the placement model.
"""

from collections.abc import Sequence
from statistics import fmean

from mallowcrank.load.records import CallRecord
from mallowcrank.load.scenario import Scenario
from mallowcrank.load.site import Site
from mallowcrank.routing.bound import (
    BoundEngine,
    ThroughputBound,
    Workload,
    throughput_bound,
)
from mallowcrank.standins.batching import PREFILL_TOKENS_PER_STEP
from mallowcrank.standins.prefix_cache import BLOCK_TOKENS


def bound_of(
    scenario: Scenario, site: Site, model: str, records: Sequence[CallRecord]
) -> ThroughputBound:
    """
    Compute the upper bound of the engines' throughput for these calls.

    :param records: complete completions; their prompts cost engine time
        too.
    """
    engines = [
        BoundEngine(
            engine.name,
            engine.first_layer,
            engine.last_layer,
            engine.step_ms,
            engine.slots,
        )
        for engine in site.engines(model)
    ]
    workload = Workload(
        prompt_steps=_mean(
            [_prompt_units(scenario, record) for record in records]
        ),
        answer_tokens=max(1, _mean([len(each.answer) for each in records])),
        streams=sum(
            group.callers for group in scenario.groups if group.serves == model
        ),
    )
    return throughput_bound(site.layers[model], engines, workload)


def _prompt_units(scenario: Scenario, record: CallRecord) -> float:
    """
    Return the cost of a prompt in prefill units, assuming that caches hold
    every shared prefix.
    """
    prompt = record.plan.prompt
    shared = max(
        (
            len(group.prefix)
            for group in scenario.groups
            if group.prefix and prompt.startswith(group.prefix)
        ),
        default=0,
    )
    cached = shared // BLOCK_TOKENS * BLOCK_TOKENS
    return max(0, len(prompt) - cached - 1) / PREFILL_TOKENS_PER_STEP


def _mean(numbers: Sequence[float]) -> float:
    return fmean(numbers) if numbers else 0
