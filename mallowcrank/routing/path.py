"""
Finds the cheapest path over a model's layers.

Costs are linear in the number of layers, and an engine may run any part of
its range. A path therefore switches engines only at a layer where some
candidate's range begins or ends. O(borders * candidates).
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import inf

from mallowcrank.routing.stage import Stage


@dataclass(frozen=True, slots=True)
class Candidate:
    """
    An engine that a path may use; its layer range is inclusive.

    :param enter_ms: milliseconds to enter the engine: the link and the part
        of the prompt that it has to compute.
    :param layer_ms: milliseconds for each layer.
    :param zone: availability zone; not needed if all candidates share one.
    :param crossing_ms: added to enter it from another availability zone.
    :param closed_zones: availability zones from which it can't be entered.
    """

    target: str
    incarnation: int
    first_layer: int
    last_layer: int
    enter_ms: float
    layer_ms: float
    zone: str = ''
    crossing_ms: float = 0
    closed_zones: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class _PartialPath:
    """
    A path up to some layer, with its cost and its last stage.

    :param cost_ms: milliseconds so far.
    :param first_layer: first layer of the last stage.
    :param previous: the path before the last stage.
    """

    cost_ms: float
    candidate: Candidate | None = None
    first_layer: int = 0
    previous: '_PartialPath | None' = None


@dataclass(frozen=True, slots=True)
class CostedPath:
    """
    A path with its cost.

    :param stages: empty where no path covers all layers.
    :param cost_ms: milliseconds; infinite where no path covers all layers.
    """

    stages: tuple[Stage, ...]
    cost_ms: float


def cheapest_path(
    layers: int, candidates: Sequence[Candidate]
) -> tuple[Stage, ...]:
    """
    Return the stages of the cheapest path.

    :param layers: number of layers of the model.
    :returns: the stages; empty where the candidates don't cover all layers.
    """
    return cheapest_path_with_cost(layers, candidates).stages


def cheapest_path_with_cost(
    layers: int, candidates: Sequence[Candidate]
) -> CostedPath:
    """
    Return the cheapest path with its cost.

    Each engine runs one contiguous part of the path: a path never returns to
    an engine that it has left.

    :param layers: number of layers of the model.
    """
    borders = _borders(layers, candidates)
    best = _PartialPath(0)
    zone_bests = [best]
    running: dict[str, _PartialPath] = {}
    for start, end in zip(borders, borders[1:], strict=False):
        running = {
            candidate.target: _advance(
                candidate,
                _predecessor(candidate, zone_bests),
                running.get(candidate.target),
                start,
                end,
            )
            for candidate in candidates
            if candidate.first_layer <= start
            and end <= candidate.last_layer + 1
        }
        if not running:
            return CostedPath((), inf)
        zone_bests = _best_by_zone(running.values())
        best = min(zone_bests, key=_cost)
    if best.cost_ms == inf:
        return CostedPath((), inf)
    return CostedPath(_stages_of(best, layers), best.cost_ms)


def _borders(layers: int, candidates: Sequence[Candidate]) -> list[int]:
    inner = {0, layers}
    for candidate in candidates:
        inner.add(candidate.first_layer)
        inner.add(min(layers, candidate.last_layer + 1))
    return sorted(inner)


def _cost(path: _PartialPath) -> float:
    return path.cost_ms


def _best_by_zone(paths: Iterable[_PartialPath]) -> list[_PartialPath]:
    """
    Return the cheapest path that ends in each availability zone.
    """
    bests: dict[str, _PartialPath] = {}
    for path in paths:
        zone = path.candidate.zone if path.candidate else ''
        known = bests.get(zone)
        if known is None or path.cost_ms < known.cost_ms:
            bests[zone] = path
    return list(bests.values())


def _predecessor(
    candidate: Candidate, paths: Sequence[_PartialPath]
) -> _PartialPath:
    """
    Return the path from which a candidate is entered most cheaply.
    """
    if len(paths) == 1:
        return paths[0]
    return min(
        paths, key=lambda path: path.cost_ms + _crossing_ms(path, candidate)
    )


def _crossing_ms(path: _PartialPath, candidate: Candidate) -> float:
    before = path.candidate
    if before is None or before.zone == candidate.zone:
        return 0
    is_closed = before.zone in candidate.closed_zones
    return inf if is_closed else candidate.crossing_ms


def _advance(
    candidate: Candidate,
    best: _PartialPath,
    running: _PartialPath | None,
    start: int,
    end: int,
) -> _PartialPath:
    layers_ms = (end - start) * candidate.layer_ms
    entry_cost_ms = (
        best.cost_ms + candidate.enter_ms + _crossing_ms(best, candidate)
    )
    if running and _visits(best, candidate.target):
        entry_cost_ms = inf
    continue_cost_ms = running.cost_ms if running else inf
    if running and continue_cost_ms <= entry_cost_ms:
        return _PartialPath(
            continue_cost_ms + layers_ms,
            candidate,
            running.first_layer,
            running.previous,
        )
    return _PartialPath(entry_cost_ms + layers_ms, candidate, start, best)


def _visits(path: _PartialPath | None, target: str) -> bool:
    while path is not None and path.candidate is not None:
        if path.candidate.target == target:
            return True
        path = path.previous
    return False


def _stages_of(end: _PartialPath | None, layers: int) -> tuple[Stage, ...]:
    stages: list[Stage] = []
    last = layers - 1
    path = end
    while path is not None and path.candidate is not None:
        stages.append(
            Stage(
                path.candidate.target,
                path.candidate.incarnation,
                path.first_layer,
                last,
            )
        )
        last = path.first_layer - 1
        path = path.previous
    stages.reverse()
    return tuple(stages)
