"""
What joins an engine's next batch, and how long the batch takes.
"""

from collections.abc import Sequence
from dataclasses import dataclass

PREFILL_TOKENS_PER_UNIT = 16  # prompt tokens that cost as much as one step
BATCH_SLOTS = 2  # batches hold at most this many times the slots
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Waiting:
    """
    A step that waits for a batch.

    :param number: its place in the order of arrival.
    :param tokens: tokens to run that no cache holds.
    :param share: layers to run as a part of the layers held.
    """

    number: int
    priority: int
    tokens: int
    share: float


def cost_of(step: Waiting) -> float:
    """
    Return what a step costs, where 1 is one token through all layers held.
    """
    prompt = max(0, step.tokens - 1) / PREFILL_TOKENS_PER_UNIT
    return step.share * (1 + prompt)


def pick_batch(waiting: Sequence[Waiting], slots: int) -> tuple[Waiting, ...]:
    """
    Return the steps that join the next batch, the most urgent ones first.
    """
    ordered = sorted(waiting, key=lambda step: (-step.priority, step.number))
    room = float(slots * BATCH_SLOTS)
    batch: list[Waiting] = []
    for step in ordered:
        if batch and cost_of(step) > room:
            break
        room -= cost_of(step)
        batch.append(step)
    return tuple(batch)


def batch_seconds(
    batch: Sequence[Waiting], step_ms: float, slots: int
) -> float:
    """
    Return how long a batch takes.

    :param step_ms: milliseconds of one step through all layers held.
    """
    costs = [cost_of(step) for step in batch]
    share = max((step.share for step in batch), default=0)
    return step_ms / MS_PER_S * max(share, sum(costs) / slots)
