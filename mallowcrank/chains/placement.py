"""
Placement of a model's layers on engines.

Each availability zone gets its own copy of the model, so that paths stay
inside a zone. The engines, the fastest first, each take the layers that save
most on the zone's fastest path. Engines that would save little duplicate the
layers with the least redundancy. A layer without a holder counts as a very
slow one.

Engines keep their layers, because a load takes seconds. An engine moves only
if that saves much on the path, less what the layers that it drops add to it
until others hold them. So spare engines close gaps, and returning engines
take their layers back from the slower ones that replaced them. To close a gap
an engine may hold more layers than normal, which leaves less memory for
requests.
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

LAYER_MEMORY_SHARE = 0.7  # of an accelerator's memory; the rest is for requests
# To close a gap or to stand by; few requests fit beside so many layers.
MAX_LAYER_MEMORY_SHARE = 0.85
# Of the fastest path's time that a move must save: the load takes time, and
# the engine's memory is out of use meanwhile.
MIN_GAIN_SHARE = 0.06


@dataclass(frozen=True, slots=True)
class PlacementOrder:
    """
    An order to an engine to hold exactly these layers.

    :param first: first layer.
    :param end: end of the layers, exclusive.
    """

    lifetime: Lifetime
    first: int
    end: int


def empty_engine(
    lifetime: Lifetime, zone: str, fitting_layers: int, step_factor: float
) -> PlacementEngine:
    """
    Return an engine without layers.

    :param fitting_layers: layers that fit into its memory.
    :param step_factor: factor on the time of a step; smaller is faster.
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
        step_factor=step_factor,
    )


def plan_layers(
    layers: int, engines: Sequence[PlacementEngine]
) -> tuple[PlacementOrder, ...]:
    """
    Return the orders to give now.

    :param layers: layers of the model.
    :param engines: all engines that stay in use.
    """
    orders: list[PlacementOrder] = []
    for group in _zone_groups(layers, engines):
        orders.extend(_plan_group(layers, group))
    return tuple(orders)


def _zone_groups(
    layers: int, engines: Sequence[PlacementEngine]
) -> Iterable[list[PlacementEngine]]:
    by_zone: dict[str, list[PlacementEngine]] = defaultdict(list)
    for engine in engines:
        by_zone[engine.zone].append(engine)
    too_small: list[PlacementEngine] = []
    for group in by_zone.values():
        if sum(each.max_layers for each in group) >= layers:
            yield group
        else:
            too_small.extend(group)
    if too_small:
        yield too_small


def _plan_group(
    layers: int, group: Sequence[PlacementEngine]
) -> list[PlacementOrder]:
    placed_engines = [engine for engine in group if not engine.is_empty]
    empty = sorted(
        (
            engine
            for engine in group
            if engine.is_empty and engine.normal_layers
        ),
        key=_by_speed,
    )
    orders = []
    for engine in empty:
        placed = _place(layers, engine, placed_engines)
        placed_engines.append(replace(placed, is_loading=True))
        orders.append(_to_order(placed))
    if find_gaps(layers, placed_engines):
        orders.extend(_close_gaps(layers, placed_engines))
        return orders or _place_anew(layers, placed_engines)
    return orders or _improve_path(layers, placed_engines)


def _by_speed(engine: PlacementEngine) -> tuple[float, int, Lifetime]:
    return engine.step_factor, -engine.normal_layers, engine.lifetime


def _place(
    layers: int,
    engine: PlacementEngine,
    placed_engines: Sequence[PlacementEngine],
) -> PlacementEngine:
    """
    Place an empty engine on the fastest path, or else as a standby.

    Standby engines serve few requests, so they hold as many layers as fit.
    """
    step_factors = best_step_factors(layers, placed_engines)
    window = best_window(
        engine, step_factors, min(engine.normal_layers, layers)
    )
    if window.gain >= _least_gain(step_factors):
        return replace(engine, first=window.first, end=window.end)
    count = min(engine.max_layers, layers)
    first = least_redundant_window(layers, count, placed_engines)
    return replace(engine, first=first, end=first + count)


def _close_gaps(
    layers: int, placed_engines: Sequence[PlacementEngine]
) -> list[PlacementOrder]:
    """
    Move engines until there is no gap; they load at the same time.

    The moves with the highest gain per loaded layer come first. Engines with
    streams move only if the others can't close the gap.
    """
    engines = list(placed_engines)
    orders = []
    while find_gaps(layers, engines):
        moves = list(_moves(layers, engines, has_gap=True))
        if not moves:
            engines = [replace(engine, is_used=False) for engine in engines]
            moves = list(_moves(layers, engines, has_gap=True))
        if not moves:
            break
        best = max(moves, key=lambda move: move.gain_per_loaded_layer)
        engines.remove(best.engine)
        moved = best.moved()
        engines.append(moved)
        orders.append(_to_order(moved))
    return orders


def _improve_path(
    layers: int, placed_engines: Sequence[PlacementEngine]
) -> list[PlacementOrder]:
    """
    Move the one engine that saves most on the fastest path.

    Nothing is moved while an engine loads.
    """
    if any(engine.is_loading for engine in placed_engines):
        return []
    moves = list(_moves(layers, placed_engines, has_gap=False))
    if not moves:
        return []
    best = max(moves, key=lambda move: move.window.gain)
    return [_to_order(best.moved())]


def _moves(
    layers: int, placed_engines: Sequence[PlacementEngine], has_gap: bool
) -> Iterable[Move]:
    """
    Yield the moves that save enough.

    Layers that are still loading count as held when gaps are looked for, and
    as not held when an engine would drop its own copy of them.
    """
    least_gain = _least_gain(best_step_factors(layers, placed_engines))
    for engine in placed_engines:
        if engine.is_loading:
            continue
        window = _new_window(layers, engine, placed_engines, has_gap)
        is_new = (window.first, window.end) != (engine.first, engine.end)
        if is_new and window.gain > least_gain:
            yield Move(engine, window)


def _place_anew(
    layers: int, placed_engines: Sequence[PlacementEngine]
) -> list[PlacementOrder]:
    """
    Place all engines anew, if that covers all layers.

    Nothing is ordered while an engine loads, as that might close the gap.
    Engines of the same speed and size keep their order, so that most of them
    keep most of their layers.
    """
    if any(engine.is_loading for engine in placed_engines):
        return []
    placed_anew: list[PlacementEngine] = []
    for engine in sorted(placed_engines, key=_by_speed):
        empty = replace(engine, normal_layers=engine.max_layers, first=0, end=0)
        placed_anew.append(_place(layers, empty, placed_anew))
    if find_gaps(layers, placed_anew):
        return []
    windows: dict[tuple[float, int], list[tuple[int, int]]] = defaultdict(list)
    for engine in placed_anew:
        windows[engine.step_factor, engine.max_layers].append(
            (engine.first, engine.end)
        )
    orders = []
    for engine in sorted(placed_engines, key=lambda each: each.first):
        free_windows = windows[engine.step_factor, engine.max_layers]
        first, end = min(free_windows)
        free_windows.remove((first, end))
        if (first, end) != (engine.first, engine.end):
            orders.append(PlacementOrder(engine.lifetime, first, end))
    return orders


def _new_window(
    layers: int,
    engine: PlacementEngine,
    placed_engines: Sequence[PlacementEngine],
    has_gap: bool,
) -> Window:
    """
    Return the best window of an engine and the total gain of the move.
    """
    others = [
        each for each in placed_engines if each.lifetime != engine.lifetime
    ]
    loaded_engines = [each for each in others if not each.is_loading]
    cost_without = sum(best_step_factors(layers, loaded_engines))
    cost_of_leaving = cost_without - sum(
        best_step_factors(layers, [*loaded_engines, engine])
    )
    count = engine.max_layers if has_gap else engine.normal_layers
    window = best_window(
        engine, best_step_factors(layers, others), min(count, layers)
    )
    freed_layers = (
        max(0, engine.end - engine.first - engine.normal_layers)
        if cost_of_leaving
        else 0
    )
    gain = window.gain - cost_of_leaving + freed_layers * EXTRA_LAYER_COST
    return replace(window, gain=gain)


def _least_gain(step_factors: Iterable[float]) -> float:
    return MIN_GAIN_SHARE * sum(
        step_factor
        for step_factor in step_factors
        if step_factor < GAP_STEP_FACTOR
    )


def _to_order(engine: PlacementEngine) -> PlacementOrder:
    return PlacementOrder(engine.lifetime, engine.first, engine.end)
