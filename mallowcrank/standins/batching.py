"""
Selects the steps of an engine's batch and computes its duration.
"""

from collections.abc import Sequence
from dataclasses import dataclass

PREFILL_TOKENS_PER_STEP = 16  # prompt tokens that cost as much as a step
MAX_BATCH_COST_PER_SLOT = 2
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class QueuedStep:
    """
    A step that is waiting for a batch.

    :param arrival_number: position in the order of arrival.
    :param priority: steps of higher priority are batched first.
    :param uncached_tokens: number of tokens to run that are not cached.
    :param layer_share: layers to run as a fraction of the layers held.
    """

    arrival_number: int
    priority: int
    uncached_tokens: int
    layer_share: float


def step_cost(step: QueuedStep) -> float:
    """
    Return the cost of a step, in units of one token through all layers held.
    """
    prefill_cost = max(0, step.uncached_tokens - 1) / PREFILL_TOKENS_PER_STEP
    return step.layer_share * (1 + prefill_cost)


def pick_batch(
    queued_steps: Sequence[QueuedStep], slots: int
) -> tuple[QueuedStep, ...]:
    """
    Return the steps of the next batch, by descending priority.

    The first step always joins, even if it alone exceeds the limit.
    """
    by_urgency = sorted(
        queued_steps, key=lambda step: (-step.priority, step.arrival_number)
    )
    remaining_cost = float(slots * MAX_BATCH_COST_PER_SLOT)
    batch: list[QueuedStep] = []
    for step in by_urgency:
        if batch and step_cost(step) > remaining_cost:
            break
        remaining_cost -= step_cost(step)
        batch.append(step)
    return tuple(batch)


def batch_seconds(
    batch: Sequence[QueuedStep], step_ms: float, slots: int
) -> float:
    """
    Return the duration of a batch in seconds.

    :param step_ms: duration of one step through all layers held, in
        milliseconds.
    :param slots: streams that a batch can hold without slowing down.
    """
    costs = [step_cost(step) for step in batch]
    share = max((step.layer_share for step in batch), default=0)
    return step_ms / MS_PER_S * max(share, sum(costs) / slots)
