"""
Finds a path: selects candidate engines for each layer range, then the
cheapest path over them.
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
    Parameters of one path search.

    :param layers: number of layers of the model.
    :param strategy: selects candidate engines of a layer range.
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
    Return the stages of the cheapest path.

    Ejected targets are used only where no other targets cover the layers.

    :returns: the stages; empty where no targets cover the layers.
    """
    if not search.layers:
        return ()
    stages = cheapest_path(search.layers, _sampled_candidates(search))
    if stages:
        return stages
    return cheapest_path(
        search.layers, _usable_candidates(search)
    ) or cheapest_path(search.layers, _remaining_candidates(search))


def _sampled_candidates(search: PathSearch) -> list[Candidate]:
    candidates: list[Candidate] = []
    demand = search.demand
    for layers, names in search.registry.index.ranges(demand.serves).items():
        usable = search.registry.usable(names, demand.avoid, search.now)
        if usable:
            prefix = demand.prefix if layers.first == 0 else ()
            chosen = select_engines(
                search.strategy, _options(search, usable, prefix)
            )
            candidates.extend(
                _candidate(search, name) for name in dict.fromkeys(chosen)
            )
    return candidates


def _usable_candidates(search: PathSearch) -> list[Candidate]:
    registry = search.registry
    return [
        _candidate(search, name)
        for names in registry.index.ranges(search.demand.serves).values()
        for name in registry.usable(names, search.demand.avoid, search.now)
    ]


def _remaining_candidates(search: PathSearch) -> list[Candidate]:
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
    inputs = search.registry.cost_inputs(target, search.now)
    return candidate_of(target, inputs, uncached)


def _total_ms(candidate: Candidate) -> float:
    layers = candidate.last_layer - candidate.first_layer + 1
    return candidate.enter_ms + candidate.layer_ms * layers
