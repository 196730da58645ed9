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
    EXTRA_LAYER_COST,
    GAP_STEP_FACTOR,
    Move,
    PlacementEngine,
    Window,
    best_step_factors,
    best_window,
    find_gaps,
    least_redundant_window,
)
from mallowcrank.gateway.targets import Lifetime

LAYER_MEMORY_SHARE = (
    0.7  # of an accelerator's memory for layers; the rest for requests
)
# The same where a gap can't be closed otherwise; then few requests fit.
MAX_LAYER_MEMORY_SHARE = 0.85
# Part of the fastest path's time that a move must save; loading and the
# engine's memory meanwhile are not free.
MIN_GAIN_SHARE = 0.06


@dataclass(frozen=True, slots=True)
class PlacementOrder:
    """
    An order to hold just these layers; the end is exclusive.
    """

    lifetime: Lifetime
    first: int
    end: int


def empty_engine(
    lifetime: Lifetime, zone: str, fitting_layers: int, pace: float
) -> PlacementEngine:
    """
    Return a card without layers.

    :param fitting: layers that fit into its memory.
    """
    return PlacementEngine(
        lifetime=lifetime,
        zone=zone,
        normal_layers=max(1, int(fitting_layers * LAYER_MEMORY_SHARE))
        if fitting_layers
        else 0,
        max_layers=max(1, int(fitting_layers * MAX_LAYER_MEMORY_SHARE))
        if fitting_layers
        else 0,
        step_factor=pace,
    )


def plan_layers(
    layers: int, cards: Sequence[PlacementEngine]
) -> tuple[PlacementOrder, ...]:
    """
    Return the orders that are due.

    :param cards: all engines that stay.
    """
    placings: list[PlacementOrder] = []
    for group in _groups(layers, cards):
        placings.extend(_plan_group(layers, group))
    return tuple(placings)


def _groups(
    layers: int, cards: Sequence[PlacementEngine]
) -> Iterable[list[PlacementEngine]]:
    by_zone: dict[str, list[PlacementEngine]] = defaultdict(list)
    for card in cards:
        by_zone[card.zone].append(card)
    scarce: list[PlacementEngine] = []
    for group in by_zone.values():
        if sum(each.max_layers for each in group) >= layers:
            yield group
        else:
            scarce.extend(group)
    if scarce:
        yield scarce


def _plan_group(
    layers: int, group: Sequence[PlacementEngine]
) -> list[PlacementOrder]:
    holding = [card for card in group if not card.is_empty]
    empty = sorted(
        (card for card in group if card.is_empty and card.normal_layers),
        key=_speed,
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


def _speed(card: PlacementEngine) -> tuple[float, int, Lifetime]:
    return card.step_factor, -card.normal_layers, card.lifetime


def _place(
    layers: int, card: PlacementEngine, holding: Sequence[PlacementEngine]
) -> PlacementEngine:
    """
    Place an empty card: on the path, or else to stand in for others. Those
    that stand in serve few requests, so that they take as much as they can.
    """
    paces = best_step_factors(layers, holding)
    window = best_window(card, paces, min(card.normal_layers, layers))
    if window.gain >= _least_gain(paces):
        return replace(card, first=window.first, end=window.end)
    count = min(card.max_layers, layers)
    first = least_redundant_window(layers, count, holding)
    return replace(card, first=first, end=first + count)


def _close_gaps(
    layers: int, holding: Sequence[PlacementEngine]
) -> list[PlacementOrder]:
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
        best = max(moves, key=lambda move: move.gain_per_loaded_layer)
        cards.remove(best.engine)
        moved = best.moved()
        cards.append(moved)
        placings.append(_placing_of(moved))
    return placings


def _quicken(
    layers: int, holding: Sequence[PlacementEngine]
) -> list[PlacementOrder]:
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
    layers: int, holding: Sequence[PlacementEngine], has_gap: bool
) -> Iterable[Move]:
    """
    Yield the moves that save much.

    What is being loaded counts as held where layers are missing, and as not
    held where a card would give them up.
    """
    least_gain = _least_gain(best_step_factors(layers, holding))
    for card in holding:
        if card.is_loading:
            continue
        window = _new_window(layers, card, holding, has_gap)
        is_new = (window.first, window.end) != (card.first, card.end)
        if is_new and window.gain > least_gain:
            yield Move(card, window)


def _lay_anew(
    layers: int, holding: Sequence[PlacementEngine]
) -> list[PlacementOrder]:
    """
    Lay a copy over all cards from the first layer on, if they suffice and
    none is being loaded, which might close the gap.

    Cards of one kind keep their order, so that most keep most of what they
    hold.
    """
    if any(card.is_loading for card in holding):
        return []
    laid: list[PlacementEngine] = []
    for card in sorted(holding, key=_speed):
        empty = replace(card, normal_layers=card.max_layers, first=0, end=0)
        laid.append(_place(layers, empty, laid))
    if find_gaps(layers, laid):
        return []
    windows: dict[tuple[float, int], list[tuple[int, int]]] = defaultdict(list)
    for card in laid:
        windows[card.step_factor, card.max_layers].append(
            (card.first, card.end)
        )
    placings = []
    for card in sorted(holding, key=lambda each: each.first):
        given = windows[card.step_factor, card.max_layers]
        first, end = min(given)
        given.remove((first, end))
        if (first, end) != (card.first, card.end):
            placings.append(PlacementOrder(card.lifetime, first, end))
    return placings


def _new_window(
    layers: int,
    card: PlacementEngine,
    holding: Sequence[PlacementEngine],
    has_gap: bool,
) -> Window:
    """
    Return where a card would be best, and what the path gains in all.
    """
    others = [each for each in holding if each.lifetime != card.lifetime]
    staying = [each for each in others if not each.is_loading]
    without = sum(best_step_factors(layers, staying))
    lost = without - sum(best_step_factors(layers, [*staying, card]))
    count = card.max_layers if has_gap else card.normal_layers
    window = best_window(
        card, best_step_factors(layers, others), min(count, layers)
    )
    given_up = max(0, card.end - card.first - card.normal_layers) if lost else 0
    gain = window.gain - lost + given_up * EXTRA_LAYER_COST
    return replace(window, gain=gain)


def _least_gain(paces: Iterable[float]) -> float:
    return MIN_GAIN_SHARE * sum(
        pace for pace in paces if pace < GAP_STEP_FACTOR
    )


def _placing_of(card: PlacementEngine) -> PlacementOrder:
    return PlacementOrder(card.lifetime, card.first, card.end)
