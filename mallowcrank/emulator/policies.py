"""
Policies that an experiment compares: how layers are placed and paths best.

The product's policy calls the product's own code; the others are simple
baselines that it has to beat.
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
from mallowcrank.routing.path import Candidate, cheapest_path_with_cost

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
    A policy of running a site.

    :param layer_budget: gives the layers that an engine takes so that memory
        is left for requests.
    :param detection_s: seconds from a crash until routers know of it.
    :param max_wait_s: for which a request waits for a path.
    :param resumes: whether an interrupted stream is resumed over another path.
    """

    about: str
    choose: PathChoice
    layer_budget: LayerBudget
    plan: LayerPlan = plan_layers
    detection_s: float = 0.2
    max_wait_s: float = 0.4
    resumes: bool = True


def placement_engine(
    rule: EngineRule, policy: Policy, spec: EngineSpec
) -> PlacementEngine:
    """
    Return an engine without layers in the form that a placement plan takes.
    """
    kind = rule.kinds[spec.kind]
    empty = empty_engine(
        spec.lifetime, spec.zone, layer_capacity(rule, kind), kind.pace
    )
    layers = policy.layer_budget(rule, spec)
    return replace(
        empty, normal_layers=layers, max_layers=max(layers, empty.max_layers)
    )


def fill_share(share: float) -> LayerBudget:
    """
    Return a budget that fills a share of each engine's memory with layers.
    """

    def budget(rule: EngineRule, spec: EngineSpec) -> int:
        max_layers = rule.kinds[spec.kind].size_mb // rule.layer_mb
        return max(1, int(max_layers * share))

    return budget


def reserve_tokens(tokens: float) -> LayerBudget:
    """
    Return a budget that leaves memory for a number of tokens at all layers of
    an engine.
    """

    def budget(rule: EngineRule, spec: EngineSpec) -> int:
        token_mb = rule.token_bytes / rule.layers / 1_000_000
        layer_mb = rule.layer_mb + tokens * token_mb
        return max(1, int(rule.kinds[spec.kind].size_mb / layer_mb))

    return budget


def plan_one_copy_per_zone(
    layers: int, engines: Sequence[PlacementEngine]
) -> tuple[PlacementOrder, ...]:
    """
    Place one copy of the model over all engines of each zone, in proportion to
    their memory. Zones with any layers are left as they are.
    """
    orders: list[PlacementOrder] = []
    for zone in sorted({engine.zone for engine in engines}):
        group = [engine for engine in engines if engine.zone == zone]
        if all(engine.is_empty for engine in group):
            orders.extend(_spread_layers(layers, group))
    return tuple(orders)


def _spread_layers(
    layers: int, group: Sequence[PlacementEngine]
) -> list[PlacementOrder]:
    total = sum(engine.normal_layers for engine in group)
    orders = []
    done = 0
    first = 0
    for engine in group:
        done += engine.normal_layers
        end = round(layers * done / total)
        if end > first:
            orders.append(PlacementOrder(engine.lifetime, first, end))
        first = end
    return orders


def choose_random(
    path_request: PathRequest, engines: Sequence[ChainEngine], random: Random
) -> ChainPath | NoPath:
    """
    Choose engines at random, segment by segment.
    """
    return _choose_greedily(path_request, engines, lambda _: random.random())


def choose_least_loaded(
    path_request: PathRequest, engines: Sequence[ChainEngine], random: Random
) -> ChainPath | NoPath:
    """
    Choose the engines with the lowest share of used memory, segment by
    segment.
    """
    return _choose_greedily(
        path_request, engines, lambda engine: engine.used_share
    )


def choose_nearest(
    path_request: PathRequest, engines: Sequence[ChainEngine], random: Random
) -> ChainPath | NoPath:
    """
    Choose the fastest path inside the router's own zone, else inside another
    zone; ignore load.
    """
    zones = sorted({engine.zone for engine in engines})
    zones.sort(key=lambda zone: zone != path_request.zone)
    for zone in zones:
        near = [engine for engine in engines if engine.zone == zone]
        found = _fastest_path(path_request, near)
        if isinstance(found, ChainPath):
            return found
    return NoPath.UNCOVERED


def choose_like_product(
    path_request: PathRequest, engines: Sequence[ChainEngine], random: Random
) -> ChainPath | NoPath:
    """
    Choose a path with the product's own code.
    """
    return choose_path(path_request, engines)


def _fastest_path(
    path_request: PathRequest, engines: Sequence[ChainEngine]
) -> ChainPath | NoPath:
    candidates = [
        Candidate(
            target=engine.lifetime.identity,
            incarnation=engine.lifetime.born_ms,
            first_layer=engine.held.first,
            last_layer=engine.held.end - 1,
            enter_ms=0,
            layer_ms=layer_ms(
                path_request.rule, engine.kind, path_request.token_counts
            ),
        )
        for engine in engines
    ]
    way = cheapest_path_with_cost(path_request.rule.layers, candidates)
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
    path_request: PathRequest,
    engines: Sequence[ChainEngine],
    rank: Callable[[ChainEngine], float],
) -> ChainPath | NoPath:
    parts: list[PathSegment] = []
    layer = 0
    remaining = list(engines)
    while layer < path_request.rule.layers:
        candidates = [each for each in remaining if each.held.first <= layer]
        candidates = [each for each in candidates if layer < each.held.end]
        if not candidates:
            return NoPath.UNCOVERED
        best = min(candidates, key=rank)
        remaining.remove(best)
        parts.append(PathSegment(best.lifetime, layer, best.held.end))
        layer = best.held.end
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
