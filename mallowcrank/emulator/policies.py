"""
Policies that an experiment compares: how layers are placed, how paths are
chosen. The product's own are called as it calls them; the others are plain
ways that it has to beat.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from random import Random
from types import MappingProxyType

from mallowcrank.chains.engines import ChainEngine, layer_capacity, layer_ms
from mallowcrank.chains.paths import (
    ChainPath,
    NoPath,
    PathRequest,
    PathSegment,
    choose_path,
)
from mallowcrank.chains.placement import (
    PlacementOrder,
    empty_engine,
    plan_layers,
)
from mallowcrank.chains.windows import PlacementEngine
from mallowcrank.emulator.site import EngineSpec
from mallowcrank.gateway.desired import EngineRule
from mallowcrank.routing.path import Candidate, cheapest_way

PathChoice = Callable[
    [PathRequest, Sequence[ChainEngine], Random], ChainPath | NoPath
]
LayerPlan = Callable[
    [int, Sequence[PlacementEngine]], tuple[PlacementOrder, ...]
]
LayerBudget = Callable[[EngineRule, EngineSpec], int]


@dataclass(frozen=True, slots=True)
class Policy:
    """
    One way to run a site.

    :param usual: layers that a card takes beside memory for requests.
    :param notices_s: from an engine's death until routers know of it.
    :param patience_s: that a request waits for a path.
    :param resumes: whether a broken stream goes on elsewhere.
    """

    about: str
    choose: PathChoice
    layer_budget: LayerBudget
    plan: LayerPlan = plan_layers
    detection_s: float = 0.2
    max_wait_s: float = 0.4
    resumes: bool = True


def placement_engine(
    rule: EngineRule, policy: Policy, card: EngineSpec
) -> PlacementEngine:
    """
    Return an empty card as a plan sees it.
    """
    kind = rule.kinds[card.kind]
    empty = empty_engine(
        card.lifetime, card.zone, layer_capacity(rule, kind), kind.pace
    )
    usual = policy.layer_budget(rule, card)
    return replace(
        empty, normal_layers=usual, max_layers=max(usual, empty.max_layers)
    )


def fill_share(share: float) -> LayerBudget:
    """
    Return what lets layers take a share of each card's memory.
    """

    def usual(rule: EngineRule, card: EngineSpec) -> int:
        fitting = rule.kinds[card.kind].size_mb // rule.layer_mb
        return max(1, int(fitting * share))

    return usual


def reserve_tokens(tokens: float) -> LayerBudget:
    """
    Return what leaves each card memory for as many tokens at all its layers.
    """

    def usual(rule: EngineRule, card: EngineSpec) -> int:
        token_mb = rule.token_bytes / rule.layers / 1_000_000
        layer_mb = rule.layer_mb + tokens * token_mb
        return max(1, int(rule.kinds[card.kind].size_mb / layer_mb))

    return usual


def plan_one_copy_per_zone(
    layers: int, cards: Sequence[PlacementEngine]
) -> tuple[PlacementOrder, ...]:
    """
    Lay one copy over all cards of a zone by their memory; nothing is moved.
    """
    placings: list[PlacementOrder] = []
    for zone in sorted({card.zone for card in cards}):
        group = [card for card in cards if card.zone == zone]
        if all(card.is_empty for card in group):
            placings.extend(_spread_layers(layers, group))
    return tuple(placings)


def _spread_layers(
    layers: int, group: Sequence[PlacementEngine]
) -> list[PlacementOrder]:
    total = sum(card.normal_layers for card in group)
    placings = []
    done = 0
    first = 0
    for card in group:
        done += card.normal_layers
        end = round(layers * done / total)
        if end > first:
            placings.append(PlacementOrder(card.lifetime, first, end))
        first = end
    return placings


def choose_random(
    choosing: PathRequest, engines: Sequence[ChainEngine], random: Random
) -> ChainPath | NoPath:
    """
    Take engines at random, layer after layer.
    """
    return _choose_greedily(choosing, engines, lambda _: random.random())


def choose_least_loaded(
    choosing: PathRequest, engines: Sequence[ChainEngine], random: Random
) -> ChainPath | NoPath:
    """
    Take the engines with the most free memory, layer after layer.
    """
    return _choose_greedily(choosing, engines, lambda engine: engine.used_share)


def choose_nearest(
    choosing: PathRequest, engines: Sequence[ChainEngine], random: Random
) -> ChainPath | NoPath:
    """
    Take the router's own zone, else any that has a path; load doesn't count.
    """
    zones = sorted({engine.zone for engine in engines})
    zones.sort(key=lambda zone: zone != choosing.zone)
    for zone in zones:
        near = [engine for engine in engines if engine.zone == zone]
        found = _fastest_path(choosing, near)
        if isinstance(found, ChainPath):
            return found
    return NoPath.UNCOVERED


def choose_like_product(
    choosing: PathRequest, engines: Sequence[ChainEngine], random: Random
) -> ChainPath | NoPath:
    """
    Choose as the product does.
    """
    return choose_path(choosing, engines)


def _fastest_path(
    choosing: PathRequest, engines: Sequence[ChainEngine]
) -> ChainPath | NoPath:
    candidates = [
        Candidate(
            target=engine.lifetime.identity,
            incarnation=engine.lifetime.born_ms,
            first_layer=engine.held.first,
            last_layer=engine.held.end - 1,
            enter_ms=0,
            layer_ms=layer_ms(
                choosing.rule, engine.kind, choosing.token_counts
            ),
        )
        for engine in engines
    ]
    way = cheapest_way(choosing.rule.layers, candidates)
    if not way.stages:
        return NoPath.UNCOVERED
    by_name = {engine.lifetime.identity: engine for engine in engines}
    parts = tuple(
        PathSegment(
            by_name[stage.target].lifetime,
            stage.first_layer,
            stage.last_layer + 1,
        )
        for stage in way.stages
    )
    return ChainPath(parts, 0, way.cost_ms)


def _choose_greedily(
    choosing: PathRequest,
    engines: Sequence[ChainEngine],
    rank: Callable[[ChainEngine], float],
) -> ChainPath | NoPath:
    parts: list[PathSegment] = []
    layer = 0
    left = list(engines)
    while layer < choosing.rule.layers:
        able = [each for each in left if each.held.first <= layer]
        able = [each for each in able if layer < each.held.end]
        if not able:
            return NoPath.UNCOVERED
        chosen = min(able, key=rank)
        left.remove(chosen)
        parts.append(PathSegment(chosen.lifetime, layer, chosen.held.end))
        layer = chosen.held.end
    return ChainPath(tuple(parts), 0, 0)


PRODUCT = Policy(
    'as the product does: layers on 0.70 of a card',
    choose_like_product,
    fill_share(0.7),
)

POLICIES: Mapping[str, Policy] = MappingProxyType(
    {
        'product': PRODUCT,
        'random': replace(
            PRODUCT, about='engines at random', choose=choose_random
        ),
        'least-loaded': replace(
            PRODUCT,
            about='engines with the most free memory',
            choose=choose_least_loaded,
        ),
        'nearest': Policy(
            'one copy a zone, nearest path; no resume, no wait',
            choose_nearest,
            fill_share(1),
            plan_one_copy_per_zone,
            max_wait_s=0,
            resumes=False,
        ),
        'one-copy': replace(
            PRODUCT,
            about='one copy a zone, paths as the product',
            layer_budget=fill_share(1),
            plan=plan_one_copy_per_zone,
        ),
        **{
            f'fill-{share:.2f}': replace(
                PRODUCT,
                about=f'layers on {share:.2f} of a card',
                layer_budget=fill_share(share),
            )
            for share in (0.5, 0.6, 0.65, 0.75, 0.8)
        },
        **{
            f'tokens-{thousands}k': replace(
                PRODUCT,
                about=f'memory for {thousands},000 tokens on each card',
                layer_budget=reserve_tokens(thousands * 1000),
            )
            for thousands in (45, 55, 64, 75, 90)
        },
    }
)
