"""
Paths for one call over the engines that are usable now.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import replace

from mallowcrank.chains.engines import (
    ChainEngine,
    RequestTokens,
    request_memory,
)
from mallowcrank.chains.paths import (
    ChainPath,
    NoPath,
    PathRequest,
    choose_path,
    detour,
)
from mallowcrank.chains.zone_link import ZonePair, crossing_seconds
from mallowcrank.gateway.call import Call
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.desired import EngineRule
from mallowcrank.gateway.ports import Hop
from mallowcrank.gateway.targets import Lifetime, Target

# A stream holds half of its answer on average, and estimates are right only at
# the median.
OUTPUT_ESTIMATE_FACTOR = 0.5
DENIED_SLOWDOWN = 2.0  # of engines that take no more requests now


class PathFinder:
    """
    Finds paths for one call.
    """

    def __init__(self, core: Core, call: Call, rule: EngineRule) -> None:
        self._core = core
        self._call = call
        self._rule = rule
        self._need = _need(call, rule)

    @property
    def tokens(self) -> float:
        """
        Return the number of tokens for which the call reserves memory.
        """
        return self._need.total

    def crossings(self, path: ChainPath) -> Mapping[ZonePair, float]:
        """
        Return for how many seconds the call occupies each link between
        availability zones on a path.
        """
        hop_s = crossing_seconds(self._rule, self._need)
        return {
            link: hops * hop_s for link, hops in Counter(path.crossings).items()
        }

    def choose(
        self,
        avoided: Iterable[Lifetime] = (),
        busy_links: Iterable[ZonePair] = (),
    ) -> ChainPath | NoPath:
        """
        Return the best path, or why there is none.

        Engines that take no more requests now aren't the first of a path, and
        count as slow elsewhere: there they get the request from another
        engine, and not from a gateway.

        :param avoided: engines not to use, in addition to the call's.
        :param busy_links: between availability zones, not to use.
        """
        request = replace(self._choosing(), busy_links=frozenset(busy_links))
        return choose_path(request, self._usable(avoided))

    def choose_denied(self) -> ChainPath | None:
        """
        Return the best path with engines that take no more requests now, if
        there are any.
        """
        if not self._core.permits.denied():
            return None
        found = choose_path(self._choosing(), self._usable((), denied=()))
        return found if isinstance(found, ChainPath) else None

    def detour(
        self, path: ChainPath, lost: Collection[Lifetime]
    ) -> ChainPath | None:
        """
        Return a path around lost engines with the same first engine, if any.
        """
        return detour(self._choosing(), self._usable(()), path, lost)

    def hops(self, path: ChainPath) -> tuple[Hop, ...]:
        """
        Return a path's hops; none if an engine has left since it was chosen.
        """
        hops = []
        for part in path.segments:
            target = self._core.fleet.find(part.lifetime.identity)
            if target is None or target.lifetime != part.lifetime:
                return ()
            hops.append(Hop(target.address, part.first, part.end))
        return tuple(hops)

    def _choosing(self) -> PathRequest:
        return PathRequest(
            self._rule,
            self._need,
            self._core.settings.zone,
            self._core.peers.rounds.zone_delay_s,
        )

    def _usable(
        self,
        avoided: Iterable[Lifetime],
        denied: Collection[Lifetime] | None = None,
    ) -> list[ChainEngine]:
        now = monotonic_s()
        if denied is None:
            denied = self._core.permits.denied()
        fleet = self._core.fleet
        unusable = {
            *avoided,
            *self._call.avoided,
            *fleet.health.unresponsive(),
            *fleet.health.backing_off(now),
        }
        found = [
            self._engine_state(target, now)
            for target in fleet.accepting_targets(self._call.service.name)
            if target.lifetime not in unusable
        ]
        return [
            _without_permit(engine) if engine.lifetime in denied else engine
            for engine in found
            if engine
        ]

    def _engine_state(self, target: Target, now: float) -> ChainEngine | None:
        kind = self._rule.kinds.get(target.kind)
        if kind is None or target.layers is None:
            return None
        size = request_memory(self._rule, kind, target.layers.count)
        ledger = self._core.ledger
        used = ledger.reserved(target.lifetime, now)
        return ChainEngine(
            lifetime=target.lifetime,
            zone=target.zone,
            held=target.layers,
            kind=kind,
            slowdown=self._core.fleet.health.pace(target.lifetime, now),
            free_memory=size - used,
            total_memory=size,
            can_start_path=ledger.started_paths(target.lifetime) < target.slots,
        )


def _without_permit(engine: ChainEngine) -> ChainEngine:
    return replace(
        engine,
        can_start_path=False,
        slowdown=max(1, engine.slowdown) * DENIED_SLOWDOWN,
    )


def format_path(path: ChainPath) -> str:
    """
    Return a path as text for the log.
    """
    return ','.join(
        f'{part.lifetime.identity}:{part.first}-{part.end}'
        for part in path.segments
    )


def _need(call: Call, rule: EngineRule) -> RequestTokens:
    fields = call.fields
    prompt = fields.prompt_tokens or rule.typical_prompt_tokens
    max_output = fields.output_tokens or rule.mean_output_tokens
    output_estimate = fields.output_estimate or rule.mean_output_tokens
    return RequestTokens(
        prompt, min(max_output, output_estimate * OUTPUT_ESTIMATE_FACTOR)
    )
