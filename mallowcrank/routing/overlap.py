"""
Planned overlap: spare memory holds neighbours' layers, so that the loss of any
one engine leaves a path that covers all layers.

A path exists as long as each layer is held by one engine. Stage `j` can be
lost where what its left neighbour holds to the right and what its right
neighbour holds to the left add up to the stage. From left to right, each stage
holds just as much of its left neighbour as is still missing and leaves the
rest of its memory to the right; if neighbours can cover each loss, this finds
a way, in O(stages).
"""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeldRange:
    """
    One engine's layers with its overlap, inclusive.

    :param first_layer: the first layer that it is meant to run.
    :param last_layer: the last layer that it is meant to run.
    :param memory_layers: layers that fit into its memory.
    :param held_first: the first layer that it holds.
    :param held_last: the last layer that it holds.
    """

    first_layer: int
    last_layer: int
    memory_layers: int
    held_first: int
    held_last: int

    @property
    def size(self) -> int:
        """
        Return how many layers it is meant to run.
        """
        return self.last_layer - self.first_layer + 1


def plan_overlap(
    stages: Sequence[tuple[int, int, int]],
) -> tuple[HeldRange, ...]:
    """
    Extend the ranges of a path's stages into their spare memory.

    :param stages: first layer, last layer and memory in layers of each stage,
        in order of the path.
    """
    layers = stages[-1][1] + 1 if stages else 0
    held: list[HeldRange] = []
    for index, (first, last, memory) in enumerate(stages):
        spare = memory - (last - first + 1)
        left = _uncovered_layers(held, index)
        if left > spare:
            left = 0
        held.append(
            HeldRange(
                first_layer=first,
                last_layer=last,
                memory_layers=memory,
                held_first=first - left,
                held_last=min(layers - 1, last + spare - left),
            )
        )
    return tuple(held)


def _uncovered_layers(held: Sequence[HeldRange], index: int) -> int:
    if index == 0:
        return 0
    lost = held[-1]
    reached = lost.first_layer
    if index > 1:
        reached = max(reached, held[-2].held_last + 1)
    return max(0, lost.last_layer + 1 - reached)


def survivable_losses(held: Sequence[HeldRange]) -> tuple[bool, ...]:
    """
    Tell for each stage whether its loss leaves every layer held.
    """
    return tuple(
        all(
            any(
                other.held_first <= layer <= other.held_last
                for position, other in enumerate(held)
                if position != lost
            )
            for layer in range(stage.held_first, stage.held_last + 1)
        )
        for lost, stage in enumerate(held)
    )
