"""
Orders to engines to load the layers that the placement plan gives them.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from http import HTTPStatus

from mallowcrank.chains.engines import layer_capacity, request_memory
from mallowcrank.chains.placement import (
    PlacementOrder,
    empty_engine,
    plan_layers,
)
from mallowcrank.chains.windows import PlacementEngine, find_gaps
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.desired import (
    Accelerator,
    Desired,
    EngineRule,
    ServiceRule,
)
from mallowcrank.gateway.prober import ProbeCause
from mallowcrank.gateway.target_channel import Response
from mallowcrank.gateway.targets import (
    HeldLayers,
    Lifetime,
    Target,
    TargetReport,
)

PLANNING_INTERVAL_S = 0.4
SETTLE_S = 2.2  # without new targets, before the first plan
ORDER_TIMEOUT_S = 0.5  # an answer usually takes some milliseconds
MAX_PROBED_ORDERS = 8  # with more pending orders, no engine is probed
MAX_ORDER_TRIES = 3  # an unanswered order is repeated unchanged
PENDING_TIMEOUT_S = 14  # an unanswered order may take effect until then
# An order without an answer (status 0) may still take effect.
POSSIBLY_ACCEPTED = frozenset((0, HTTPStatus.OK, HTTPStatus.ACCEPTED))
SLOW_PACE = 2.0  # factor on an engine's times from which others do better
# Of an engine's memory for requests; from here on, it counts as in use.
IN_USE_MEMORY_SHARE = 0.03
UNRESPONSIVE_GRACE_S = 0.8  # after it, plans leave a silent target out


@dataclass(frozen=True, slots=True)
class PendingOrder:
    """
    An order that was sent, and that the target's entry doesn't show yet.

    :param at: steady time, in seconds.
    """

    placing: PlacementOrder
    at: float


class Placer:
    """
    Places layers while this gateway is the leader.
    """

    def __init__(self, core: Core) -> None:
        self._fleet = core.fleet
        self._ledger = core.ledger
        self._limits = core.limits
        self._pool = core.pool
        self._prober = core.prober
        self._vocabulary = core.vocabulary
        self._journal = core.journal
        self._meters = core.meters
        self._pending: dict[Lifetime, PendingOrder] = {}
        self._accepted_orders: dict[Lifetime, int] = {}
        self._has_seen_layers = False
        self._logged_gaps: dict[str, dict[str, list[tuple[int, int]]]] = {}

    async def run(
        self,
        leader_generation: Callable[[], int],
        desired: Callable[[], Desired | None],
    ) -> None:
        """
        Plan and send orders until cancelled.

        :param leader_generation: returns the generation in which this
            gateway leads, or 0.
        :param desired: returns the desired state, if one is known.
        """
        while True:
            await asyncio.sleep(PLANNING_INTERVAL_S)
            known = desired()
            if not leader_generation():
                self._pending.clear()
            elif known:
                for service in known.services.values():
                    if service.engine:
                        await self._place(service, service.engine)

    async def _place(self, service: ServiceRule, rule: EngineRule) -> None:
        now = monotonic_s()
        targets = self._fleet.accepting_targets(service.name)
        self._drop_settled(targets, now)
        if len(self._pending) <= MAX_PROBED_ORDERS:
            self._prober.probe(self._pending, ProbeCause.ORDER)
        found = [self._card(rule, target, now) for target in targets]
        cards = [card for card in found if card]
        if not self._may_plan(cards, now):
            return
        self._log_gaps(service.name, rule, cards)
        placings = plan_layers(rule.layers, cards)
        if placings:
            await asyncio.gather(
                *(self._apply(placing) for placing in placings)
            )

    def _log_gaps(
        self, service: str, rule: EngineRule, cards: list[PlacementEngine]
    ) -> None:
        gaps = {
            zone: find_gaps(
                rule.layers, [card for card in cards if card.zone == zone]
            )
            for zone in sorted({card.zone for card in cards})
        }
        if gaps != self._logged_gaps.get(service):
            self._logged_gaps[service] = gaps
            self._journal.say('placing: gaps', service=service, gaps=gaps)

    def _may_plan(self, cards: list[PlacementEngine], now: float) -> bool:
        self._has_seen_layers = self._has_seen_layers or any(
            not card.is_empty for card in cards
        )
        return self._has_seen_layers or now - self._fleet.changed_at > SETTLE_S

    def _drop_settled(self, targets: list[Target], now: float) -> None:
        known = {target.lifetime: target for target in targets}
        for lifetime, pending in list(self._pending.items()):
            target = known.get(lifetime)
            is_done = target is None or _has_placing(target, pending.placing)
            if is_done or now - pending.at > PENDING_TIMEOUT_S:
                self._pending.pop(lifetime)

    def _card(
        self, rule: EngineRule, target: Target, now: float
    ) -> PlacementEngine | None:
        kind = rule.kinds.get(target.kind)
        silent_since = self._fleet.health.unresponsive().get(
            target.lifetime, now
        )
        if kind is None or now - silent_since > UNRESPONSIVE_GRACE_S:
            return None
        if self._fleet.health.refuses_repeatedly(target.lifetime):
            return None
        slowness = self._fleet.health.pace(target.lifetime, now)
        if slowness < SLOW_PACE:
            slowness = 1
        if self._limits.find(target.lifetime):
            slowness = max(slowness, SLOW_PACE)
        card = empty_engine(
            target.lifetime,
            target.zone,
            layer_capacity(rule, kind),
            kind.pace * slowness,
        )
        pending = self._pending.get(target.lifetime)
        shown = pending.placing if pending else target.layers
        if shown is None:
            return card
        return replace(
            card,
            first=shown.first,
            end=shown.end,
            is_loading=pending is not None,
            is_used=self._is_used(rule, kind, target, now),
        )

    def _is_used(
        self, rule: EngineRule, kind: Accelerator, target: Target, now: float
    ) -> bool:
        held = target.layers.count if target.layers else 0
        reserved = self._ledger.reserved(target.lifetime, now)
        return reserved > IN_USE_MEMORY_SHARE * request_memory(rule, kind, held)

    async def _apply(self, placing: PlacementOrder) -> None:
        target = self._fleet.find(placing.lifetime.identity)
        if target is None or target.lifetime != placing.lifetime:
            return
        self._pending[placing.lifetime] = PendingOrder(placing, monotonic_s())
        status = await self._send_until_answered(target, placing)
        if status == HTTPStatus.CONFLICT and await self._read_order_count(
            target
        ):
            status = await self._send_until_answered(target, placing)
        if status not in POSSIBLY_ACCEPTED:
            self._pending.pop(placing.lifetime, None)

    async def _send_until_answered(
        self, target: Target, placing: PlacementOrder
    ) -> int:
        """
        Send an order, and repeat it while there is no answer.

        :returns: the status of the answer, or 0 without one.
        """
        expected = self._accepted_orders.get(target.lifetime, 0)
        layers = HeldLayers(placing.first, placing.end, 0)
        status = 0
        for _ in range(MAX_ORDER_TRIES):
            status = status or await self._send_once(target, layers, expected)
        self._meters.orders.labels(str(status or 'none')).inc()
        self._journal.say(
            'placing: ordered',
            target=target.identity,
            layers=[placing.first, placing.end],
            expected=expected,
            status=status,
        )
        if status == HTTPStatus.ACCEPTED:
            self._accepted_orders[target.lifetime] = expected + 1
        return status

    async def _read_order_count(self, target: Target) -> bool:
        """
        Read from a target how many orders it has accepted.

        :returns: whether the target reported it.
        """
        report = await self._prober.fetch_report(target)
        if not isinstance(report, TargetReport):
            return False
        self._accepted_orders[target.lifetime] = report.orders
        return True

    async def _send_once(
        self, target: Target, layers: HeldLayers, expected: int
    ) -> int:
        """
        Send an order once.

        :returns: the status of the answer, or 0 without one.
        """
        call = self._vocabulary.place_call(target.identity, layers, expected)
        answer = await self._pool.fetch(target.address, call, ORDER_TIMEOUT_S)
        return answer.head.status if isinstance(answer, Response) else 0


def _has_placing(target: Target, placing: PlacementOrder) -> bool:
    held = target.layers
    return held is not None and (held.first, held.end) == (
        placing.first,
        placing.end,
    )
