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
    MILLISECONDS,
    ChainEngine,
    Need,
    layer_ms,
)
from mallowcrank.gateway.desired import EngineRule
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.routing.path import (
    Candidate,
    CostedPath,
    cheapest_path_with_cost,
)

HOP_MS = 0.15  # of a token, between two engines in one zone
AWAY_FACTOR = 1.03  # on the cost of a path in another zone than the router's
CROWD_FACTOR = 2.5  # on the times of an engine whose memory is full
CROSSING_FACTOR = 4  # on the time in the pipe, which others use too
BITS = 8
LEAST_PART = 0.3  # of an engine's layers, that a path is likely to run
MOST_PARTS = 32  # of a path; engines refuse longer ones
MOST_LOOKS = 4  # for a path whose engines all have room


@dataclass(frozen=True, slots=True)
class Part:
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

    parts: tuple[Part, ...]
    version: int
    cost_ms: float

    @property
    def lifetimes(self) -> tuple[Lifetime, ...]:
        """
        Return its engines in order.
        """
        return tuple(part.lifetime for part in self.parts)


@unique
class NoPath(Enum):
    """
    Why there is no path.
    """

    UNCOVERED = 'no engines cover all layers'
    FULL = 'the engines have no memory for it'


@dataclass(frozen=True, slots=True)
class Choosing:
    """
    What a choice is made for.

    :param zone: the router's own availability zone.
    """

    rule: EngineRule
    need: Need
    zone: str


def choose_path(
    choosing: Choosing,
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
    choosing: Choosing,
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
    if path.parts[0].lifetime in lost:
        return None
    used = set(path.lifetimes)
    zones = {each.zone for each in engines if each.lifetime in used}
    near = [
        each
        for each in engines
        if each.zone in zones and each.held.version == path.version
    ]
    parts: list[Part] = []
    for part in path.parts:
        if part.lifetime not in lost:
            parts.append(part)
            continue
        able = [each for each in near if each.lifetime not in used]
        found = _cover(choosing, able, part)
        if not found:
            return None
        used.update(each.lifetime for each in found)
        parts.extend(found)
    if len(parts) > MOST_PARTS:
        return None
    return replace(path, parts=tuple(parts))


def _cover(
    choosing: Choosing, engines: Iterable[ChainEngine], part: Part
) -> tuple[Part, ...]:
    """
    Return parts of other engines that run the layers of one part.
    """
    candidates = []
    for engine in engines:
        first = max(engine.held.first, part.first)
        end = min(engine.held.end, part.end)
        if first >= end or engine.room < choosing.need.tokens * (end - first):
            continue
        candidates.append(
            replace(
                _candidate(choosing, engine, 0),
                first_layer=first - part.first,
                last_layer=end - part.first - 1,
            )
        )
    way = cheapest_path_with_cost(part.layers, candidates)
    return tuple(
        Part(
            Lifetime(stage.target, stage.incarnation),
            stage.first_layer + part.first,
            stage.last_layer + part.first + 1,
        )
        for stage in way.stages
    )


def _best_with_room(
    choosing: Choosing, engines: Sequence[ChainEngine]
) -> ChainPath | None:
    """
    Return the best path that fits into the memory of its engines.

    A path may run few of an engine's layers, so that what it needs there is
    known only when it is found.
    """
    tokens = choosing.need.tokens
    able = [
        each
        for each in engines
        if each.room >= tokens * each.held.count * LEAST_PART
    ]
    for _ in range(MOST_LOOKS):
        found = _best(choosing, able)
        if found is None:
            return None
        rooms = {each.lifetime: each.room for each in able}
        full = {
            part.lifetime
            for part in found.parts
            if rooms[part.lifetime] < tokens * part.layers
        }
        if not full:
            return found
        able = [each for each in able if each.lifetime not in full]
    return None


def _best(
    choosing: Choosing, engines: Sequence[ChainEngine]
) -> ChainPath | None:
    versions = sorted({each.held.version for each in engines}, reverse=True)
    for version in versions:
        same = [each for each in engines if each.held.version == version]
        found = _inside_zones(choosing, same) or _across(choosing, same)
        if found:
            return _as_path(found, same, version)
    return None


def _inside_zones(
    choosing: Choosing, engines: Iterable[ChainEngine]
) -> CostedPath | None:
    by_zone: dict[str, list[Candidate]] = defaultdict(list)
    for engine in engines:
        by_zone[engine.zone].append(_candidate(choosing, engine, 0))
    best = None
    best_ms = inf
    for zone, candidates in by_zone.items():
        way = cheapest_path_with_cost(choosing.rule.layers, candidates)
        factor = 1 if zone == choosing.zone else AWAY_FACTOR
        cost_ms = way.cost_ms * factor
        if way.stages and cost_ms < best_ms:
            best = way
            best_ms = cost_ms
    return best


def _across(
    choosing: Choosing, engines: Iterable[ChainEngine]
) -> CostedPath | None:
    crossing_ms = _crossing_ms(choosing)
    candidates = []
    for engine in engines:
        extra_ms = 0 if engine.zone == choosing.zone else crossing_ms
        candidates.append(_candidate(choosing, engine, extra_ms))
    way = cheapest_path_with_cost(choosing.rule.layers, candidates)
    return way if way.stages else None


def _crossing_ms(choosing: Choosing) -> float:
    """
    Return the time for a prompt to go through the pipe there and back.
    """
    rule = choosing.rule
    if not rule.pipe_mbps:
        return 0
    megabits = choosing.need.prompt * rule.hop_bytes * BITS / 1_000_000
    seconds = 2 * megabits / rule.pipe_mbps
    return seconds * MILLISECONDS * CROSSING_FACTOR


def _candidate(
    choosing: Choosing, engine: ChainEngine, extra_ms: float
) -> Candidate:
    need = choosing.need
    crowd = 1 + engine.used_share * CROWD_FACTOR
    own_ms = layer_ms(choosing.rule, engine.kind, need)
    first = engine.held.first
    if first == 0 and not engine.takes_firsts:
        # Without a place as the first, it can't begin a path.
        first = 1
    return Candidate(
        target=engine.lifetime.identity,
        incarnation=engine.lifetime.born_ms,
        first_layer=first,
        last_layer=engine.held.end - 1,
        enter_ms=need.answer * HOP_MS + extra_ms,
        layer_ms=own_ms * max(1, engine.pace) * crowd,
    )


def _as_path(
    way: CostedPath, engines: Iterable[ChainEngine], version: int
) -> ChainPath:
    parts = tuple(
        Part(
            Lifetime(stage.target, stage.incarnation),
            stage.first_layer,
            stage.last_layer + 1,
        )
        for stage in way.stages
    )
    return ChainPath(parts, version, way.cost_ms)
