"""
Choice of the path of a request through a chain of engines.

A path stays inside one availability zone if its engines cover the whole
model: engines pass on large activations, and all requests share the link
between zones. The router's own zone is preferred unless another one is
clearly faster. A path over several zones is the last resort.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, replace
from enum import Enum, unique
from itertools import pairwise
from math import inf

from mallowcrank.chains.engines import (
    MS_PER_S,
    ChainEngine,
    RequestTokens,
    layer_ms,
)
from mallowcrank.chains.zone_link import ZonePair, crossing_seconds
from mallowcrank.gateway.desired import EngineRule
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.routing.path import (
    Candidate,
    CostedPath,
    cheapest_path_with_cost,
)

HOP_MS_PER_TOKEN = 0.15  # between two engines in one zone
CROSSING_MS_PER_TOKEN = 0.5  # more between two availability zones
REMOTE_ZONE_FACTOR = 1.03  # on the cost of a path outside the router's zone
# Added to it for each second by which reservations of routers in other zones
# are known later. Otherwise all routers choose the same paths meanwhile.
REMOTE_ZONE_FACTOR_PER_S = 0.3
FULL_MEMORY_FACTOR = 2.5  # added to an engine's times as its memory fills
SHARED_LINK_FACTOR = 4  # on transfers, as other requests use the link too
MIN_LAYER_SHARE = 0.3  # of an engine's layers that a path usually runs
MAX_SEGMENTS = 32  # engines refuse longer paths
MAX_SEARCHES = 4  # for a path that fits into memory


@dataclass(frozen=True, slots=True)
class PathSegment:
    """
    The layers that one engine of a path runs.

    :param first: first layer.
    :param end: end of the layers, exclusive.
    """

    lifetime: Lifetime
    first: int
    end: int

    @property
    def layers(self) -> int:
        """
        Return the number of layers.
        """
        return self.end - self.first


@dataclass(frozen=True, slots=True)
class ChainPath:
    """
    A path that runs each layer once and in order.

    :param version: model version of all its engines.
    :param cost_ms: expected time of the whole request, in milliseconds.
    :param crossings: the availability zones of each hop between two of them.
    """

    segments: tuple[PathSegment, ...]
    version: int
    cost_ms: float
    crossings: tuple[ZonePair, ...] = ()

    @property
    def lifetimes(self) -> tuple[Lifetime, ...]:
        """
        Return the engines in order.
        """
        return tuple(segment.lifetime for segment in self.segments)


@unique
class NoPath(Enum):
    """
    The reason why there is no path.
    """

    UNCOVERED = 'no engines cover all layers'
    FULL = 'the engines have no memory for it'
    LINK_BUSY = 'the link between availability zones has no room for it'


@dataclass(frozen=True, slots=True)
class PathRequest:
    """
    A request that needs a path.

    :param token_counts: tokens of the request.
    :param zone: availability zone of the router.
    :param zone_delay_s: seconds by which reservations of routers in other
        zones are known later than those of its own.
    :param busy_links: between availability zones, that paths don't use.
    """

    rule: EngineRule
    token_counts: RequestTokens
    zone: str
    zone_delay_s: float = 0
    busy_links: frozenset[ZonePair] = frozenset()

    def closed_zones(self, zone: str) -> frozenset[str]:
        """
        Return the availability zones from which paths don't enter a zone.
        """
        return frozenset(
            other
            for link in self.busy_links
            if zone in link
            for other in link
            if other != zone
        )

    def zone_factor(self, zone: str) -> float:
        """
        Return the factor on the cost of a path inside a zone.
        """
        if zone == self.zone:
            return 1
        return REMOTE_ZONE_FACTOR + REMOTE_ZONE_FACTOR_PER_S * self.zone_delay_s


def choose_path(
    request: PathRequest,
    engines: Sequence[ChainEngine],
    avoided: Collection[Lifetime] = (),
) -> ChainPath | NoPath:
    """
    Return the path with the shortest expected time.

    :param avoided: engines to leave out.
    :returns: the path, or the reason why there is none.
    """
    usable = [each for each in engines if each.lifetime not in avoided]
    found = _best_with_room(request, usable)
    if found:
        return found
    covered = _best(request, usable)
    return NoPath.FULL if covered else NoPath.UNCOVERED


def detour(
    request: PathRequest,
    engines: Sequence[ChainEngine],
    path: ChainPath,
    lost: Collection[Lifetime],
) -> ChainPath | None:
    """
    Return a path with other engines in place of the lost ones.

    The remaining engines keep their layers, and so their cache of the tokens
    processed so far. The path stays in its availability zones: transfers
    between zones for each token would slow this stream and others.

    :param engines: engines that may be used.
    :param path: the path with lost engines.
    :param lost: the lost engines.
    :returns: none if the first engine was lost or a segment can't be
        replaced.
    """
    if path.segments[0].lifetime in lost:
        return None
    used = set(path.lifetimes)
    zones = {each.zone for each in engines if each.lifetime in used}
    nearby = [
        each
        for each in engines
        if each.zone in zones and each.held.version == path.version
    ]
    segments: list[PathSegment] = []
    for segment in path.segments:
        if segment.lifetime not in lost:
            segments.append(segment)
            continue
        eligible = [each for each in nearby if each.lifetime not in used]
        found = _cover(request, eligible, segment)
        if not found:
            return None
        used.update(each.lifetime for each in found)
        segments.extend(found)
    if len(segments) > MAX_SEGMENTS:
        return None
    return replace(path, segments=tuple(segments))


def _cover(
    request: PathRequest, engines: Iterable[ChainEngine], segment: PathSegment
) -> tuple[PathSegment, ...]:
    """
    Return segments of other engines that run the layers of a segment.
    """
    candidates = []
    for engine in engines:
        first = max(engine.held.first, segment.first)
        end = min(engine.held.end, segment.end)
        if first >= end or engine.free_memory < request.token_counts.total * (
            end - first
        ):
            continue
        candidates.append(
            replace(
                _candidate(request, engine),
                first_layer=first - segment.first,
                last_layer=end - segment.first - 1,
            )
        )
    way = cheapest_path_with_cost(segment.layers, candidates)
    return tuple(
        PathSegment(
            Lifetime(stage.target, stage.incarnation),
            stage.first_layer + segment.first,
            stage.last_layer + segment.first + 1,
        )
        for stage in way.stages
    )


def _best_with_room(
    request: PathRequest, engines: Sequence[ChainEngine]
) -> ChainPath | None:
    """
    Return the best path that fits into the memory of its engines.

    The memory that a path needs on an engine depends on how many of its
    layers it runs, which is known only once the path is found. Engines
    without enough memory are then left out of the next search.
    """
    tokens = request.token_counts.total
    eligible = [
        each
        for each in engines
        if each.free_memory >= tokens * each.held.count * MIN_LAYER_SHARE
    ]
    for _ in range(MAX_SEARCHES):
        found = _best(request, eligible)
        if found is None:
            return None
        free_by_engine = {each.lifetime: each.free_memory for each in eligible}
        full = {
            segment.lifetime
            for segment in found.segments
            if free_by_engine[segment.lifetime] < tokens * segment.layers
        }
        if not full:
            return found
        eligible = [each for each in eligible if each.lifetime not in full]
    return None


def _best(
    request: PathRequest, engines: Sequence[ChainEngine]
) -> ChainPath | None:
    versions = sorted({each.held.version for each in engines}, reverse=True)
    for version in versions:
        same_version = [
            each for each in engines if each.held.version == version
        ]
        found = _inside_zones(request, same_version) or _across_zones(
            request, same_version
        )
        if found:
            return _to_path(found, same_version, version)
    return None


def _inside_zones(
    request: PathRequest, engines: Iterable[ChainEngine]
) -> CostedPath | None:
    by_zone: dict[str, list[Candidate]] = defaultdict(list)
    for engine in engines:
        by_zone[engine.zone].append(_candidate(request, engine))
    best = None
    best_ms = inf
    for zone, candidates in by_zone.items():
        way = cheapest_path_with_cost(request.rule.layers, candidates)
        cost_ms = way.cost_ms * request.zone_factor(zone)
        if way.stages and cost_ms < best_ms:
            best = way
            best_ms = cost_ms
    return best


def _across_zones(
    request: PathRequest, engines: Sequence[ChainEngine]
) -> CostedPath | None:
    crossing_ms = _crossing_ms(request)
    zones = {engine.zone for engine in engines}
    closed_zones = {zone: request.closed_zones(zone) for zone in zones}
    candidates = [
        replace(
            _candidate(request, engine),
            zone=engine.zone,
            crossing_ms=crossing_ms,
            closed_zones=closed_zones[engine.zone],
        )
        for engine in engines
    ]
    way = cheapest_path_with_cost(request.rule.layers, candidates)
    return way if way.stages else None


def _crossing_ms(request: PathRequest) -> float:
    """
    Return the time that one hop between availability zones takes in all.

    :returns: milliseconds.
    """
    rule = request.rule
    tokens = request.token_counts
    delay_ms = tokens.output * CROSSING_MS_PER_TOKEN
    if not rule.pipe_mbps:
        return delay_ms
    seconds = crossing_seconds(rule, tokens)
    return delay_ms + seconds * MS_PER_S * SHARED_LINK_FACTOR


def _candidate(request: PathRequest, engine: ChainEngine) -> Candidate:
    tokens = request.token_counts
    memory_factor = 1 + engine.used_share * FULL_MEMORY_FACTOR
    idle_layer_ms = layer_ms(request.rule, engine.kind, tokens)
    first = engine.held.first
    if first == 0 and not engine.can_start_path:
        # It has no free slot to start a path, so it may not run layer 0.
        first = 1
    return Candidate(
        target=engine.lifetime.identity,
        incarnation=engine.lifetime.born_ms,
        first_layer=first,
        last_layer=engine.held.end - 1,
        enter_ms=tokens.output * HOP_MS_PER_TOKEN,
        layer_ms=idle_layer_ms * max(1, engine.slowdown) * memory_factor,
    )


def _to_path(
    way: CostedPath, engines: Iterable[ChainEngine], version: int
) -> ChainPath:
    segments = tuple(
        PathSegment(
            Lifetime(stage.target, stage.incarnation),
            stage.first_layer,
            stage.last_layer + 1,
        )
        for stage in way.stages
    )
    zone_by_engine = {each.lifetime: each.zone for each in engines}
    zones = [zone_by_engine[each.lifetime] for each in segments]
    crossings = tuple(
        (min(hop), max(hop)) for hop in pairwise(zones) if hop[0] != hop[1]
    )
    return ChainPath(segments, version, way.cost_ms, crossings)
