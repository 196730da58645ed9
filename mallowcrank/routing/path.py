"""
The cheapest path over a model's layers.

Costs are linear in the layers run, and an engine may run any part of its
range, so that a path changes engines only where some candidate's range begins
or ends. O(borders * candidates).
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

from mallowcrank.routing.stage import Stage


@dataclass(frozen=True, slots=True)
class Candidate:
    """
    An engine that a path may use; its range is inclusive.

    :param enter_ms: cost of going to it: link, and prompt that it must run.
    :param layer_ms: cost of each layer.
    """

    target: str
    incarnation: int
    first_layer: int
    last_layer: int
    enter_ms: float
    layer_ms: float


@dataclass(frozen=True, slots=True)
class _PartialPath:
    """
    A path so far: its cost and its last stage.
    """

    cost_ms: float
    candidate: Candidate | None = None
    first_layer: int = 0
    previous: '_PartialPath | None' = None


@dataclass(frozen=True, slots=True)
class CostedPath:
    """
    A path and its cost; it has no stages where no path covers all layers.
    """

    stages: tuple[Stage, ...]
    cost_ms: float


def cheapest_path(
    layers: int, candidates: Sequence[Candidate]
) -> tuple[Stage, ...]:
    """
    Return the stages of the cheapest path.

    :returns: no stages where the candidates don't cover all layers.
    """
    return cheapest_path_with_cost(layers, candidates).stages


def cheapest_path_with_cost(
    layers: int, candidates: Sequence[Candidate]
) -> CostedPath:
    """
    Return the cheapest path with its cost.

    An engine has one part of a path: it is never left and entered again.
    """
    borders = _borders(layers, candidates)
    best = _PartialPath(0)
    running: dict[str, _PartialPath] = {}
    for start, end in zip(borders, borders[1:], strict=False):
        running = {
            candidate.target: _advance(
                candidate, best, running.get(candidate.target), start, end
            )
            for candidate in candidates
            if candidate.first_layer <= start
            and end <= candidate.last_layer + 1
        }
        if not running:
            return CostedPath((), inf)
        best = min(running.values(), key=_cost)
    return CostedPath(_stages_of(best, layers), best.cost_ms)


def _borders(layers: int, candidates: Sequence[Candidate]) -> list[int]:
    inner = {0, layers}
    for candidate in candidates:
        inner.add(candidate.first_layer)
        inner.add(min(layers, candidate.last_layer + 1))
    return sorted(inner)


def _cost(run: _PartialPath) -> float:
    return run.cost_ms


def _advance(
    candidate: Candidate,
    best: _PartialPath,
    running: _PartialPath | None,
    start: int,
    end: int,
) -> _PartialPath:
    ran_ms = (end - start) * candidate.layer_ms
    entered_ms = best.cost_ms + candidate.enter_ms
    if running and _visits(best, candidate.target):
        entered_ms = inf
    kept_ms = running.cost_ms if running else inf
    if running and kept_ms <= entered_ms:
        return _PartialPath(
            kept_ms + ran_ms, candidate, running.first_layer, running.previous
        )
    return _PartialPath(entered_ms + ran_ms, candidate, start, best)


def _visits(run: _PartialPath | None, target: str) -> bool:
    while run is not None and run.candidate is not None:
        if run.candidate.target == target:
            return True
        run = run.previous
    return False


def _stages_of(end: _PartialPath | None, layers: int) -> tuple[Stage, ...]:
    stages: list[Stage] = []
    last = layers - 1
    run = end
    while run is not None and run.candidate is not None:
        stages.append(
            Stage(
                run.candidate.target,
                run.candidate.incarnation,
                run.first_layer,
                last,
            )
        )
        last = run.first_layer - 1
        run = run.previous
    stages.reverse()
    return tuple(stages)
