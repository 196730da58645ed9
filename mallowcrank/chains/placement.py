"""
Which layers each engine holds.

Each availability zone gets a copy of its own, so that paths stay inside a
zone. Each engine in turn, the fastest first, takes the layers by which the
zone's fastest path gains most; what is left over doubles the layers whose
loss would hurt most. A layer that nobody holds counts as a very slow one.

Engines that hold layers keep them: a load takes seconds. One is moved where
the path gains much by it, counting what it gives up and others don't hold
yet; so a gap is closed by what is spare, and engines that come back take
their layers over from the slow ones that stood in for them. To close a gap
an engine may take more layers than usual, at the cost of memory for requests.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from mallowcrank.chains.windows import (
    EXTRA_PACE,
    GAP_PACE,
    Card,
    Move,
    Window,
    best_window,
    find_gaps,
    paces_of,
    weakest_window,
)
from mallowcrank.gateway.targets import Lifetime

FILL = 0.7  # of an accelerator's memory for layers; the rest for requests
# The same where a gap can't be closed otherwise; then few requests fit.
MOST_FILL = 0.85
# Part of the fastest path's time that a move must save; loading and the
# engine's memory meanwhile are not free.
LEAST_GAIN = 0.06


@dataclass(frozen=True, slots=True)
class Placing:
    """
    An order to hold just these layers; the end is exclusive.
    """

    lifetime: Lifetime
    first: int
    end: int


def empty_card(
    lifetime: Lifetime, zone: str, fitting: int, pace: float
) -> Card:
    """
    Return a card without layers.

    :param fitting: layers that fit into its memory.
    """
    return Card(
        lifetime=lifetime,
        zone=zone,
        usual=max(1, int(fitting * FILL)) if fitting else 0,
        most=max(1, int(fitting * MOST_FILL)) if fitting else 0,
        pace=pace,
    )


def plan_layers(layers: int, cards: Sequence[Card]) -> tuple[Placing, ...]:
    """
    Return the orders that are due.

    :param cards: all engines that stay.
    """
    placings: list[Placing] = []
    for group in _groups(layers, cards):
        placings.extend(_plan_group(layers, group))
    return tuple(placings)


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
        (card for card in group if card.is_empty and card.usual), key=_speed
    )
    placings = []
    for card in empty:
        placed = _place(layers, card, holding)
        holding.append(replace(placed, is_loading=True))
        placings.append(_placing_of(placed))
    if find_gaps(layers, holding):
        placings.extend(_close_gaps(layers, holding))
        return placings or _lay_anew(layers, holding)
    return placings or _quicken(layers, holding)


def _speed(card: Card) -> tuple[float, int, Lifetime]:
    return card.pace, -card.usual, card.lifetime


def _place(layers: int, card: Card, holding: Sequence[Card]) -> Card:
    """
    Place an empty card: on the path, or else to stand in for others. Those
    that stand in serve few requests, so that they take as much as they can.
    """
    paces = paces_of(layers, holding)
    window = best_window(card, paces, min(card.usual, layers))
    if window.gain >= _least_gain(paces):
        return replace(card, first=window.first, end=window.end)
    count = min(card.most, layers)
    first = weakest_window(layers, count, holding)
    return replace(card, first=first, end=first + count)


def _close_gaps(layers: int, holding: Sequence[Card]) -> list[Placing]:
    """
    Move cards until there is no gap, those first that close most of it for
    each layer that they load; they load side by side. Those that are used
    move only where the others can't close it.
    """
    cards = list(holding)
    placings = []
    while find_gaps(layers, cards):
        moves = list(_moves(layers, cards, has_gap=True))
        if not moves:
            cards = [replace(card, is_used=False) for card in cards]
            moves = list(_moves(layers, cards, has_gap=True))
        if not moves:
            break
        best = max(moves, key=lambda move: move.gain_a_layer)
        cards.remove(best.card)
        moved = best.moved()
        cards.append(moved)
        placings.append(_placing_of(moved))
    return placings


def _quicken(layers: int, holding: Sequence[Card]) -> list[Placing]:
    """
    Move the one card by which the fastest path gains most, unless one is
    being moved.
    """
    if any(card.is_loading for card in holding):
        return []
    moves = list(_moves(layers, holding, has_gap=False))
    if not moves:
        return []
    best = max(moves, key=lambda move: move.window.gain)
    return [_placing_of(best.moved())]


def _moves(
    layers: int, holding: Sequence[Card], has_gap: bool
) -> Iterable[Move]:
    """
    Yield the moves that save much.

    What is being loaded counts as held where layers are missing, and as not
    held where a card would give them up.
    """
    least_gain = _least_gain(paces_of(layers, holding))
    for card in holding:
        if card.is_loading:
            continue
        window = _new_window(layers, card, holding, has_gap)
        is_new = (window.first, window.end) != (card.first, card.end)
        if is_new and window.gain > least_gain:
            yield Move(card, window)


def _lay_anew(layers: int, holding: Sequence[Card]) -> list[Placing]:
    """
    Lay a copy over all cards from the first layer on, if they suffice and
    none is being loaded, which might close the gap.

    Cards of one kind keep their order, so that most keep most of what they
    hold.
    """
    if any(card.is_loading for card in holding):
        return []
    laid: list[Card] = []
    for card in sorted(holding, key=_speed):
        empty = replace(card, usual=card.most, first=0, end=0)
        laid.append(_place(layers, empty, laid))
    if find_gaps(layers, laid):
        return []
    windows: dict[tuple[float, int], list[tuple[int, int]]] = defaultdict(list)
    for card in laid:
        windows[card.pace, card.most].append((card.first, card.end))
    placings = []
    for card in sorted(holding, key=lambda each: each.first):
        given = windows[card.pace, card.most]
        first, end = min(given)
        given.remove((first, end))
        if (first, end) != (card.first, card.end):
            placings.append(Placing(card.lifetime, first, end))
    return placings


def _new_window(
    layers: int, card: Card, holding: Sequence[Card], has_gap: bool
) -> Window:
    """
    Return where a card would be best, and what the path gains in all.
    """
    others = [each for each in holding if each.lifetime != card.lifetime]
    staying = [each for each in others if not each.is_loading]
    without = sum(paces_of(layers, staying))
    lost = without - sum(paces_of(layers, [*staying, card]))
    count = card.most if has_gap else card.usual
    window = best_window(card, paces_of(layers, others), min(count, layers))
    given_up = max(0, card.end - card.first - card.usual) if lost else 0
    gain = window.gain - lost + given_up * EXTRA_PACE
    return replace(window, gain=gain)


def _least_gain(paces: Iterable[float]) -> float:
    return LEAST_GAIN * sum(pace for pace in paces if pace < GAP_PACE)


def _placing_of(card: Card) -> Placing:
    return Placing(card.lifetime, card.first, card.end)
