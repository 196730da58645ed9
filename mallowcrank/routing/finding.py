"""
Finding a path: engines are chosen range by range, then joined.
"""

from dataclasses import dataclass
from random import Random

from mallowcrank.router.ports import RouteDemand, Stage
from mallowcrank.routing.book import TargetBook, without
from mallowcrank.routing.choosing import Options, choose
from mallowcrank.routing.costs import candidate_of
from mallowcrank.routing.path import Candidate, cheapest_path
from mallowcrank.routing.ways import Choice


@dataclass(frozen=True, slots=True)
class Search:
    """
    One search for a path.

    :param layers: the model's count of layers.
    :param now: steady time in seconds.
    """

    demand: RouteDemand
    layers: int
    book: TargetBook
    choice: Choice
    random: Random
    now: float


def find_stages(search: Search) -> tuple[Stage, ...]:
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


def _sampled(search: Search) -> list[Candidate]:
    found: list[Candidate] = []
    demand = search.demand
    for layers, names in search.book.index.ranges(demand.serves).items():
        usable = search.book.usable(names, demand.avoid, search.now)
        if usable:
            prefix = demand.prefix if layers.first == 0 else ()
            chosen = choose(search.choice, _options(search, usable, prefix))
            found.extend(
                _candidate(search, name) for name in dict.fromkeys(chosen)
            )
    return found


def _usable(search: Search) -> list[Candidate]:
    book = search.book
    return [
        _candidate(search, name)
        for names in book.index.ranges(search.demand.serves).values()
        for name in book.usable(names, search.demand.avoid, search.now)
    ]


def _any_left(search: Search) -> list[Candidate]:
    return [
        _candidate(search, name)
        for names in search.book.index.ranges(search.demand.serves).values()
        for name in without(names, search.demand.avoid)
    ]


def _options(
    search: Search, usable: list[str], prefix: tuple[str, ...]
) -> Options:
    return Options(
        names=usable,
        prefix=prefix,
        target_of=search.book.target,
        cost_of=lambda name: _total_ms(_candidate(search, name)),
        hints=search.book.hints,
        random=search.random,
    )


def _candidate(search: Search, name: str) -> Candidate:
    target = search.book.target(name)
    uncached: float = 0
    if target.first_layer == 0 and search.demand.prompt_tokens:
        cached = search.book.hints.cached_part(name, search.demand.prefix)
        uncached = search.demand.prompt_tokens * (1 - cached)
    standing = search.book.standing(target, search.now)
    return candidate_of(target, standing, uncached)


def _total_ms(candidate: Candidate) -> float:
    layers = candidate.last_layer - candidate.first_layer + 1
    return candidate.enter_ms + candidate.layer_ms * layers
