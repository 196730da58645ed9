"""
Paths for one call, over the engines as they are known now.
"""

from collections.abc import Collection, Iterable

from mallowcrank.chains.engines import ChainEngine, Need, request_room
from mallowcrank.chains.paths import (
    ChainPath,
    Choosing,
    NoPath,
    choose_path,
    detour,
)
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Call, Core
from mallowcrank.gateway.desired import EngineRule
from mallowcrank.gateway.ports import Hop
from mallowcrank.gateway.targets import Lifetime, Target

# Of the estimate; a stream holds half of its answer on average, and estimates
# are right at the median only.
GUESS_FACTOR = 0.5


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
        Return the tokens for which the call reserves memory.
        """
        return self._need.tokens

    def choose(self, avoided: Iterable[Lifetime] = ()) -> ChainPath | NoPath:
        """
        Return the best path now.

        :param avoided: engines not to use, beside those of the call.
        """
        return choose_path(self._choosing(), self._usable(avoided))

    def detour(
        self, path: ChainPath, lost: Collection[Lifetime]
    ) -> ChainPath | None:
        """
        Return a path round lost engines, if its first one stays.
        """
        return detour(self._choosing(), self._usable(()), path, lost)

    def hops(self, path: ChainPath) -> tuple[Hop, ...]:
        """
        Return a path's addresses; none where an engine has gone meanwhile.
        """
        hops = []
        for part in path.parts:
            target = self._core.fleet.find(part.lifetime.identity)
            if target is None or target.lifetime != part.lifetime:
                return ()
            hops.append(Hop(target.address, part.first, part.end))
        return tuple(hops)

    def _choosing(self) -> Choosing:
        return Choosing(self._rule, self._need, self._core.settings.zone)

    def _usable(self, avoided: Iterable[Lifetime]) -> list[ChainEngine]:
        now = monotonic_s()
        fleet = self._core.fleet
        unusable = {
            *avoided,
            *self._call.avoided,
            *fleet.seen.dead(),
            *fleet.seen.resting(now),
        }
        found = [
            self._engine(target, now)
            for target in fleet.serving(self._call.service.name)
            if target.lifetime not in unusable
        ]
        return [engine for engine in found if engine]

    def _engine(self, target: Target, now: float) -> ChainEngine | None:
        kind = self._rule.kinds.get(target.kind)
        if kind is None or target.layers is None:
            return None
        size = request_room(self._rule, kind, target.layers.count)
        ledger = self._core.ledger
        used = ledger.reserved(target.lifetime, now)
        return ChainEngine(
            lifetime=target.lifetime,
            zone=target.zone,
            held=target.layers,
            kind=kind,
            pace=self._core.fleet.seen.pace(target.lifetime, now),
            room=size - used,
            size=size,
            takes_firsts=ledger.firsts(target.lifetime) < target.slots,
        )


def path_text(path: ChainPath) -> str:
    """
    Return a path as logs show it.
    """
    return ','.join(
        f'{part.lifetime.identity}:{part.first}-{part.end}'
        for part in path.parts
    )


def _need(call: Call, rule: EngineRule) -> Need:
    fields = call.fields
    prompt = fields.prompt_tokens or rule.usual_prompt
    most = fields.output_tokens or rule.usual_answer
    guess = fields.output_estimate or rule.usual_answer
    return Need(prompt, min(most, guess * GUESS_FACTOR))
