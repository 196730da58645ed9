"""
What joins an engine's next batch, and how long the batch takes.
"""

from collections.abc import Sequence
from dataclasses import dataclass

PREFILL_TOKENS_PER_STEP = 16  # prompt tokens that cost as much as one step
MAX_BATCH_COST_PER_SLOT = 2  # batches hold at most this many times the slots
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class QueuedStep:
    """
    A step that waits for a batch.

    :param arrival_number: its place in the order of arrival.
    :param uncached_tokens: tokens to run that no cache holds.
    :param layer_share: layers to run as a part of the layers held.
    """

    arrival_number: int
    priority: int
    uncached_tokens: int
    layer_share: float


def step_cost(step: QueuedStep) -> float:
    """
    Return what a step costs, where 1 is one token through all layers held.
    """
    prompt = max(0, step.uncached_tokens - 1) / PREFILL_TOKENS_PER_STEP
    return step.layer_share * (1 + prompt)


def pick_batch(
    waiting: Sequence[QueuedStep], slots: int
) -> tuple[QueuedStep, ...]:
    """
    Return the steps that join the next batch, the most urgent ones first.
    """
    ordered = sorted(
        waiting, key=lambda step: (-step.priority, step.arrival_number)
    )
    room = float(slots * MAX_BATCH_COST_PER_SLOT)
    batch: list[QueuedStep] = []
    for step in ordered:
        if batch and step_cost(step) > room:
            break
        room -= step_cost(step)
        batch.append(step)
    return tuple(batch)


def batch_seconds(
    batch: Sequence[QueuedStep], step_ms: float, slots: int
) -> float:
    """
    Return how long a batch takes.

    :param step_ms: milliseconds of one step through all layers held.
    """
    costs = [step_cost(step) for step in batch]
    share = max((step.layer_share for step in batch), default=0)
    return step_ms / MS_PER_S * max(share, sum(costs) / slots)
