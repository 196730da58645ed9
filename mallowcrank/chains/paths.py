"""
Which path a request takes over a chain of engines.

A path stays inside one availability zone where one covers the model there:
what engines pass on is large, and the pipe between zones is shared by all.
The caller's own zone goes first, unless another is clearly faster. A path
over several zones is the last resort.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, replace
from enum import Enum, unique
from math import inf

from mallowcrank.chains.engines import (
    MS_PER_S,
    ChainEngine,
    RequestTokens,
    layer_ms,
)
from mallowcrank.gateway.desired import EngineRule
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.routing.path import Candidate, Way, cheapest_way

HOP_MS_PER_TOKEN = 0.15  # of a token, between two engines in one zone
REMOTE_ZONE_FACTOR = (
    1.03  # on the cost of a path in another zone than the router's
)
FULL_MEMORY_FACTOR = 2.5  # on the times of an engine whose memory is full
SHARED_LINK_FACTOR = 4  # on the time in the pipe, which others use too
BITS_PER_BYTE = 8
MIN_LAYER_SHARE = 0.3  # of an engine's layers, that a path is likely to run
MAX_SEGMENTS = 32  # of a path; engines refuse longer ones
MAX_SEARCHES = 4  # for a path whose engines all have room


@dataclass(frozen=True, slots=True)
class PathSegment:
    """
    One engine's part of a path; the end is exclusive.
    """

    lifetime: Lifetime
    first: int
    end: int

    @property
    def layers(self) -> int:
        """
        Return how many layers it runs.
        """
        return self.end - self.first


@dataclass(frozen=True, slots=True)
class ChainPath:
    """
    A path, each layer once and in order.

    :param cost_ms: expected time of the whole request.
    """

    segments: tuple[PathSegment, ...]
    version: int
    cost_ms: float

    @property
    def lifetimes(self) -> tuple[Lifetime, ...]:
        """
        Return its engines in order.
        """
        return tuple(part.lifetime for part in self.segments)


@unique
class NoPath(Enum):
    """
    Why there is no path.
    """

    UNCOVERED = 'no engines cover all layers'
    FULL = 'the engines have no memory for it'


@dataclass(frozen=True, slots=True)
class PathRequest:
    """
    What a choice is made for.

    :param zone: the router's own availability zone.
    """

    rule: EngineRule
    token_counts: RequestTokens
    zone: str


def choose_path(
    choosing: PathRequest,
    engines: Sequence[ChainEngine],
    avoided: Collection[Lifetime] = (),
) -> ChainPath | NoPath:
    """
    Return the path that is expected to be done first.

    :param avoided: engines not to use.
    """
    live = [each for each in engines if each.lifetime not in avoided]
    found = _best_with_room(choosing, live)
    if found:
        return found
    covered = _best(choosing, live)
    return NoPath.FULL if covered else NoPath.UNCOVERED


def detour(
    choosing: PathRequest,
    engines: Sequence[ChainEngine],
    path: ChainPath,
    lost: Collection[Lifetime],
) -> ChainPath | None:
    """
    Return a path with other engines in place of those that were lost.

    The others keep their parts, and with them what they have read. It stays
    in the path's availability zones: what passes between zones for each token
    would slow the rest of the stream, and others.

    :param engines: those that may be used.
    :returns: none where the first engine was lost, or a part can't be made
        up for.
    """
    if path.segments[0].lifetime in lost:
        return None
    used = set(path.lifetimes)
    zones = {each.zone for each in engines if each.lifetime in used}
    near = [
        each
        for each in engines
        if each.zone in zones and each.held.version == path.version
    ]
    parts: list[PathSegment] = []
    for part in path.segments:
        if part.lifetime not in lost:
            parts.append(part)
            continue
        able = [each for each in near if each.lifetime not in used]
        found = _cover(choosing, able, part)
        if not found:
            return None
        used.update(each.lifetime for each in found)
        parts.extend(found)
    if len(parts) > MAX_SEGMENTS:
        return None
    return replace(path, segments=tuple(parts))


def _cover(
    choosing: PathRequest, engines: Iterable[ChainEngine], part: PathSegment
) -> tuple[PathSegment, ...]:
    """
    Return parts of other engines that run the layers of one part.
    """
    candidates = []
    for engine in engines:
        first = max(engine.held.first, part.first)
        end = min(engine.held.end, part.end)
        if first >= end or engine.free_memory < choosing.token_counts.total * (
            end - first
        ):
            continue
        candidates.append(
            replace(
                _candidate(choosing, engine, 0),
                first_layer=first - part.first,
                last_layer=end - part.first - 1,
            )
        )
    way = cheapest_way(part.layers, candidates)
    return tuple(
        PathSegment(
            Lifetime(stage.target, stage.incarnation),
            stage.first_layer + part.first,
            stage.last_layer + part.first + 1,
        )
        for stage in way.stages
    )


def _best_with_room(
    choosing: PathRequest, engines: Sequence[ChainEngine]
) -> ChainPath | None:
    """
    Return the best path that fits into the memory of its engines.

    A path may run few of an engine's layers, so that what it needs there is
    known only when it is found.
    """
    tokens = choosing.token_counts.total
    able = [
        each
        for each in engines
        if each.free_memory >= tokens * each.held.count * MIN_LAYER_SHARE
    ]
    for _ in range(MAX_SEARCHES):
        found = _best(choosing, able)
        if found is None:
            return None
        rooms = {each.lifetime: each.free_memory for each in able}
        full = {
            part.lifetime
            for part in found.segments
            if rooms[part.lifetime] < tokens * part.layers
        }
        if not full:
            return found
        able = [each for each in able if each.lifetime not in full]
    return None


def _best(
    choosing: PathRequest, engines: Sequence[ChainEngine]
) -> ChainPath | None:
    versions = sorted({each.held.version for each in engines}, reverse=True)
    for version in versions:
        same = [each for each in engines if each.held.version == version]
        found = _inside_zones(choosing, same) or _across(choosing, same)
        if found:
            return _as_path(found, same, version)
    return None


def _inside_zones(
    choosing: PathRequest, engines: Iterable[ChainEngine]
) -> Way | None:
    by_zone: dict[str, list[Candidate]] = defaultdict(list)
    for engine in engines:
        by_zone[engine.zone].append(_candidate(choosing, engine, 0))
    best = None
    best_ms = inf
    for zone, candidates in by_zone.items():
        way = cheapest_way(choosing.rule.layers, candidates)
        factor = 1 if zone == choosing.zone else REMOTE_ZONE_FACTOR
        cost_ms = way.cost_ms * factor
        if way.stages and cost_ms < best_ms:
            best = way
            best_ms = cost_ms
    return best


def _across(
    choosing: PathRequest, engines: Iterable[ChainEngine]
) -> Way | None:
    crossing_ms = _crossing_ms(choosing)
    candidates = []
    for engine in engines:
        extra_ms = 0 if engine.zone == choosing.zone else crossing_ms
        candidates.append(_candidate(choosing, engine, extra_ms))
    way = cheapest_way(choosing.rule.layers, candidates)
    return way if way.stages else None


def _crossing_ms(choosing: PathRequest) -> float:
    """
    Return the time for a prompt to go through the pipe there and back.
    """
    rule = choosing.rule
    if not rule.pipe_mbps:
        return 0
    megabits = (
        choosing.token_counts.prompt
        * rule.hop_bytes
        * BITS_PER_BYTE
        / 1_000_000
    )
    seconds = 2 * megabits / rule.pipe_mbps
    return seconds * MS_PER_S * SHARED_LINK_FACTOR


def _candidate(
    choosing: PathRequest, engine: ChainEngine, extra_ms: float
) -> Candidate:
    need = choosing.token_counts
    crowd = 1 + engine.used_share * FULL_MEMORY_FACTOR
    own_ms = layer_ms(choosing.rule, engine.kind, need)
    first = engine.held.first
    if first == 0 and not engine.can_start_path:
        # Without a place as the first, it can't begin a path.
        first = 1
    return Candidate(
        target=engine.lifetime.identity,
        incarnation=engine.lifetime.born_ms,
        first_layer=first,
        last_layer=engine.held.end - 1,
        enter_ms=need.output * HOP_MS_PER_TOKEN + extra_ms,
        layer_ms=own_ms * max(1, engine.slowdown) * crowd,
    )


def _as_path(
    way: Way, engines: Iterable[ChainEngine], version: int
) -> ChainPath:
    parts = tuple(
        PathSegment(
            Lifetime(stage.target, stage.incarnation),
            stage.first_layer,
            stage.last_layer + 1,
        )
        for stage in way.stages
    )
    return ChainPath(parts, version, way.cost_ms)
