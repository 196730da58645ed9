"""
Plans overlapping layer ranges: spare memory holds layers of the neighbouring
stages, so that a path over all layers remains after the loss of any engine.

A path exists as long as every layer is held by some engine. Stage `j` can be
lost if the layers that its left and right neighbours hold of it add up to the
whole stage. From left to right, each stage holds exactly as much of its left
neighbour as is still uncovered, and uses the rest of its memory for its right
neighbour. If the neighbours can cover every loss, this finds such a plan, in
O(stages).
"""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeldRange:
    """
    The layers of one engine with its overlap; ranges are inclusive.

    :param first_layer: the first layer that it normally runs.
    :param last_layer: the last layer that it normally runs.
    :param memory_layers: number of layers that fit into its memory.
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
        Return the number of layers that it normally runs.
        """
        return self.last_layer - self.first_layer + 1


def plan_overlap(
    stages: Sequence[tuple[int, int, int]],
) -> tuple[HeldRange, ...]:
    """
    Extend the layer ranges of a path's stages into their spare memory.

    :param stages: first layer, last layer and memory in layers of each stage,
        in path order.
    :returns: the ranges in the same order.
    """
    layers = stages[-1][1] + 1 if stages else 0
    held: list[HeldRange] = []
    for index, (first, last, memory) in enumerate(stages):
        spare = memory - (last - first + 1)
        left_overlap = _uncovered_layers(held, index)
        if left_overlap > spare:
            left_overlap = 0
        held.append(
            HeldRange(
                first_layer=first,
                last_layer=last,
                memory_layers=memory,
                held_first=first - left_overlap,
                held_last=min(layers - 1, last + spare - left_overlap),
            )
        )
    return tuple(held)


def _uncovered_layers(held: Sequence[HeldRange], index: int) -> int:
    if index == 0:
        return 0
    lost = held[-1]
    covered_until = lost.first_layer
    if index > 1:
        covered_until = max(covered_until, held[-2].held_last + 1)
    return max(0, lost.last_layer + 1 - covered_until)


def survivable_losses(held: Sequence[HeldRange]) -> tuple[bool, ...]:
    """
    Return for each stage whether every layer is still held after its loss.
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
