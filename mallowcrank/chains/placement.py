"""
Which layers each engine holds.

Each availability zone gets a copy of its own, its fastest engines first, so
that paths stay inside a zone. What is left over doubles the layers whose
loss would hurt most. Engines that hold layers keep them: a load takes
seconds. An engine is moved only to close a gap that no empty one can close,
and only where others hold all that it gives up.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from mallowcrank.gateway.targets import Lifetime

FILL = 0.7  # of an accelerator's memory for layers; the rest for requests


@dataclass(frozen=True, slots=True)
class Card:
    """
    One engine to place layers on.

    :param most: layers that it takes beside memory for requests.
    :param pace: factor on the time of a step; the smallest is the fastest.
    :param first: first layer that it holds or was ordered to hold.
    :param end: the end of its layers, exclusive; `first` where it is empty.
    """

    lifetime: Lifetime
    zone: str
    most: int
    pace: float
    first: int = 0
    end: int = 0

    @property
    def is_empty(self) -> bool:
        """
        Return whether it holds no layers.
        """
        return self.end <= self.first


@dataclass(frozen=True, slots=True)
class Placing:
    """
    An order to hold just these layers; the end is exclusive.
    """

    lifetime: Lifetime
    first: int
    end: int


def plan_layers(layers: int, cards: Sequence[Card]) -> tuple[Placing, ...]:
    """
    Return the orders that are due.

    :param cards: all engines that stay.
    """
    placings: list[Placing] = []
    for group in _groups(layers, cards):
        placings.extend(_plan_group(layers, group))
    return tuple(placings)


def find_gaps(layers: int, cards: Iterable[Card]) -> list[tuple[int, int]]:
    """
    Return the ranges of layers that nobody holds; the ends are exclusive.
    """
    counts = [1, *_counts(layers, cards), 1]
    edges = [
        layer
        for layer in range(layers + 1)
        if bool(counts[layer]) != bool(counts[layer + 1])
    ]
    return list(zip(edges[::2], edges[1::2], strict=True))


def _groups(layers: int, cards: Sequence[Card]) -> Iterable[list[Card]]:
    by_zone: dict[str, list[Card]] = defaultdict(list)
    for card in cards:
        by_zone[card.zone].append(card)
    scarce: list[Card] = []
    for group in by_zone.values():
        if sum(each.most for each in group) >= layers:
            yield group
        else:
            scarce.extend(group)
    if scarce:
        yield scarce


def _plan_group(layers: int, group: Sequence[Card]) -> list[Placing]:
    holding = [card for card in group if not card.is_empty]
    empty = sorted(
        (card for card in group if card.is_empty and card.most),
        key=_speed,
    )
    placings = []
    for card in empty:
        placed = _place(layers, card, holding)
        holding.append(placed)
        placings.append(Placing(card.lifetime, placed.first, placed.end))
    return placings or _close_gap(layers, holding)


def _speed(card: Card) -> tuple[float, int, Lifetime]:
    return card.pace, -card.most, card.lifetime


def _place(layers: int, card: Card, holding: Sequence[Card]) -> Card:
    counts = _counts(layers, holding)
    count = min(card.most, layers)
    if 0 in counts:
        first = _widest_gap(counts, count)
    else:
        first = _weakest(layers, count, holding)
    return replace(card, first=first, end=first + count)


def _counts(layers: int, holding: Iterable[Card]) -> list[int]:
    counts = [0 for _ in range(layers)]
    for card in holding:
        for layer in range(card.first, min(layers, card.end)):
            counts[layer] += 1
    return counts


def _widest_gap(counts: Sequence[int], count: int) -> int:
    """
    Return the window that closes most of a gap, from the gap's start.
    """
    starts = [
        layer
        for layer, held in enumerate(counts)
        if not held and (layer == 0 or counts[layer - 1])
    ]
    last = len(counts) - count
    windows = [min(start, last) for start in starts]

    def closes(first: int) -> tuple[int, int]:
        return counts[first : first + count].count(0), -first

    return max(windows, key=closes)


def _weakest(layers: int, count: int, holding: Sequence[Card]) -> int:
    """
    Return the window whose layers would be missed most.
    """
    weights = _weights(layers, holding)
    windows = range(layers - count + 1)

    def missed(first: int) -> tuple[float, int]:
        return sum(weights[first : first + count]), -first

    return max(windows, key=missed)


def _weights(layers: int, holding: Sequence[Card]) -> list[float]:
    """
    Weigh each layer by how much is lost with its holders.
    """
    counts = _counts(layers, holding)
    largest = [0 for _ in range(layers)]
    for card in holding:
        for layer in range(card.first, min(layers, card.end)):
            largest[layer] = max(largest[layer], card.end - card.first)
    return [
        size / held**2 if held else 0
        for size, held in zip(largest, counts, strict=True)
    ]


def _close_gap(layers: int, holding: Sequence[Card]) -> list[Placing]:
    counts = _counts(layers, holding)
    if 0 not in counts:
        return []
    spare = [card for card in holding if _is_spare(card, counts)]
    if not spare:
        return []
    card = max(spare, key=_speed)
    count = min(card.most, layers)
    first = _widest_gap(counts, count)
    return [Placing(card.lifetime, first, first + count)]


def _is_spare(card: Card, counts: Sequence[int]) -> bool:
    return all(held > 1 for held in counts[card.first : card.end])
