"""
Finding a path: engines are chosen range by range, then joined.
"""

from dataclasses import dataclass
from random import Random

from mallowcrank.router.ports import RouteDemand, Stage
from mallowcrank.routing.costs import candidate_of
from mallowcrank.routing.engine_selection import (
    SelectionOptions,
    select_engines,
)
from mallowcrank.routing.path import Candidate, cheapest_path
from mallowcrank.routing.strategies import SelectionStrategy
from mallowcrank.routing.target_registry import TargetRegistry, exclude


@dataclass(frozen=True, slots=True)
class PathSearch:
    """
    One search for a path.

    :param layers: the model's count of layers.
    :param now: steady time in seconds.
    """

    demand: RouteDemand
    layers: int
    registry: TargetRegistry
    strategy: SelectionStrategy
    random: Random
    now: float


def find_stages(search: PathSearch) -> tuple[Stage, ...]:
    """
    Return the stages of a path; none where no targets cover the layers.

    What was ejected is used only where nothing else covers the layers.
    """
    if not search.layers:
        return ()
    stages = cheapest_path(search.layers, _sampled(search))
    if stages:
        return stages
    return cheapest_path(search.layers, _usable(search)) or cheapest_path(
        search.layers, _any_left(search)
    )


def _sampled(search: PathSearch) -> list[Candidate]:
    found: list[Candidate] = []
    demand = search.demand
    for layers, names in search.registry.index.ranges(demand.serves).items():
        usable = search.registry.usable(names, demand.avoid, search.now)
        if usable:
            prefix = demand.prefix if layers.first == 0 else ()
            chosen = select_engines(
                search.strategy, _options(search, usable, prefix)
            )
            found.extend(
                _candidate(search, name) for name in dict.fromkeys(chosen)
            )
    return found


def _usable(search: PathSearch) -> list[Candidate]:
    book = search.registry
    return [
        _candidate(search, name)
        for names in book.index.ranges(search.demand.serves).values()
        for name in book.usable(names, search.demand.avoid, search.now)
    ]


def _any_left(search: PathSearch) -> list[Candidate]:
    return [
        _candidate(search, name)
        for names in search.registry.index.ranges(search.demand.serves).values()
        for name in exclude(names, search.demand.avoid)
    ]


def _options(
    search: PathSearch, usable: list[str], prefix: tuple[str, ...]
) -> SelectionOptions:
    return SelectionOptions(
        names=usable,
        prefix=prefix,
        target_of=search.registry.target,
        cost_of=lambda name: _total_ms(_candidate(search, name)),
        hints=search.registry.hints,
        random=search.random,
    )


def _candidate(search: PathSearch, name: str) -> Candidate:
    target = search.registry.target(name)
    uncached: float = 0
    if target.first_layer == 0 and search.demand.prompt_tokens:
        cached = search.registry.hints.cached_fraction(
            name, search.demand.prefix
        )
        uncached = search.demand.prompt_tokens * (1 - cached)
    standing = search.registry.cost_inputs(target, search.now)
    return candidate_of(target, standing, uncached)


def _total_ms(candidate: Candidate) -> float:
    layers = candidate.last_layer - candidate.first_layer + 1
    return candidate.enter_ms + candidate.layer_ms * layers
