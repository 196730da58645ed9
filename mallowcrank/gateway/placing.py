"""
Giving engines the orders that the plan asks for.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from http import HTTPStatus

from mallowcrank.chains.engines import most_layers, request_room
from mallowcrank.chains.placement import Placing, empty_card, plan_layers
from mallowcrank.chains.windows import Card, find_gaps
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.desired import (
    Accelerator,
    Desired,
    EngineRule,
    ServiceRule,
)
from mallowcrank.gateway.target_channel import Response
from mallowcrank.gateway.targets import HeldLayers, Lifetime, Report, Target

TICK_S = 0.4  # between two looks at the plan
SETTLED_S = 2.2  # without a new target, before the first plan
ANSWER_S = 0.5  # for an order; it takes some ms
MOST_WATCHED = 8  # orders whose engines are asked for their layers
TRIES = 3  # of an order without an answer: it is the same each time
PENDING_S = 14  # an order without an answer may be carried out for so long
# Without an answer, an order may still be carried out.
GIVEN = frozenset((0, HTTPStatus.OK, HTTPStatus.ACCEPTED))
SLOW = 2.0  # factor on an engine's times, from which others do better
USED = 0.03  # of its memory for requests, from which an engine is used
DEAD_S = 0.8  # a silent target is planned without after it


@dataclass(frozen=True, slots=True)
class Pending:
    """
    An order that was given and does not show in the entry yet.

    :param at: steady time, in seconds.
    """

    placing: Placing
    at: float


class Placer:
    """
    Places layers while this gateway holds the duty.
    """

    def __init__(self, core: Core) -> None:
        self._fleet = core.fleet
        self._ledger = core.ledger
        self._pool = core.pool
        self._prober = core.prober
        self._vocabulary = core.vocabulary
        self._journal = core.journal
        self._meters = core.meters
        self._pending: dict[Lifetime, Pending] = {}
        self._orders: dict[Lifetime, int] = {}
        self._has_held = False
        self._gaps: dict[str, dict[str, list[tuple[int, int]]]] = {}

    async def run(
        self,
        holding: Callable[[], int],
        desired: Callable[[], Desired | None],
    ) -> None:
        """
        Place for good.
        """
        while True:
            await asyncio.sleep(TICK_S)
            known = desired()
            if not holding():
                self._pending.clear()
            elif known:
                for service in known.services.values():
                    if service.engine:
                        await self._place(service, service.engine)

    async def _place(self, service: ServiceRule, rule: EngineRule) -> None:
        now = monotonic_s()
        targets = self._fleet.serving(service.name)
        self._settle(targets, now)
        if len(self._pending) <= MOST_WATCHED:
            self._prober.suspect(self._pending)
        found = [self._card(rule, target, now) for target in targets]
        cards = [card for card in found if card]
        if not self._is_settled(cards, now):
            return
        self._note_gaps(service.name, rule, cards)
        placings = plan_layers(rule.layers, cards)
        if placings:
            await asyncio.gather(
                *(self._order(placing) for placing in placings)
            )

    def _note_gaps(
        self, service: str, rule: EngineRule, cards: list[Card]
    ) -> None:
        gaps = {
            zone: find_gaps(
                rule.layers, [card for card in cards if card.zone == zone]
            )
            for zone in sorted({card.zone for card in cards})
        }
        if gaps != self._gaps.get(service):
            self._gaps[service] = gaps
            self._journal.say('placing: gaps', service=service, gaps=gaps)

    def _is_settled(self, cards: list[Card], now: float) -> bool:
        self._has_held = self._has_held or any(
            not card.is_empty for card in cards
        )
        return self._has_held or now - self._fleet.changed_at > SETTLED_S

    def _settle(self, targets: list[Target], now: float) -> None:
        known = {target.lifetime: target for target in targets}
        for lifetime, pending in list(self._pending.items()):
            target = known.get(lifetime)
            is_done = target is None or _shows(target, pending.placing)
            if is_done or now - pending.at > PENDING_S:
                self._pending.pop(lifetime)

    def _card(
        self, rule: EngineRule, target: Target, now: float
    ) -> Card | None:
        kind = rule.kinds.get(target.kind)
        dead_since = self._fleet.seen.dead().get(target.lifetime, now)
        if kind is None or now - dead_since > DEAD_S:
            return None
        if self._fleet.seen.is_unwilling(target.lifetime):
            return None
        slowness = self._fleet.seen.pace(target.lifetime, now)
        if slowness < SLOW:
            slowness = 1
        card = empty_card(
            target.lifetime,
            target.zone,
            most_layers(rule, kind),
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
        return reserved > USED * request_room(rule, kind, held)

    async def _order(self, placing: Placing) -> None:
        target = self._fleet.find(placing.lifetime.identity)
        if target is None or target.lifetime != placing.lifetime:
            return
        self._pending[placing.lifetime] = Pending(placing, monotonic_s())
        status = await self._give(target, placing)
        if status == HTTPStatus.CONFLICT and await self._read_back(target):
            status = await self._give(target, placing)
        if status not in GIVEN:
            self._pending.pop(placing.lifetime, None)

    async def _give(self, target: Target, placing: Placing) -> int:
        """
        Give an order, again where no answer comes.

        :returns: the status of the answer, or 0 where none came.
        """
        expected = self._orders.get(target.lifetime, 0)
        layers = HeldLayers(placing.first, placing.end, 0)
        status = 0
        for _ in range(TRIES):
            status = status or await self._send(target, layers, expected)
        self._meters.orders.labels(str(status or 'none')).inc()
        self._journal.say(
            'placing: ordered',
            target=target.identity,
            layers=[placing.first, placing.end],
            expected=expected,
            status=status,
        )
        if status == HTTPStatus.ACCEPTED:
            self._orders[target.lifetime] = expected + 1
        return status

    async def _read_back(self, target: Target) -> bool:
        """
        Learn how many orders a target has taken in.
        """
        report = await self._prober.report(target)
        if not isinstance(report, Report):
            return False
        self._orders[target.lifetime] = report.orders
        return True

    async def _send(
        self, target: Target, layers: HeldLayers, expected: int
    ) -> int:
        """
        Give an order.

        :returns: the status of the answer, or 0 where none came.
        """
        call = self._vocabulary.place_call(target.identity, layers, expected)
        answer = await self._pool.fetch(target.address, call, ANSWER_S)
        return answer.head.status if isinstance(answer, Response) else 0


def _shows(target: Target, placing: Placing) -> bool:
    held = target.layers
    return held is not None and (held.first, held.end) == (
        placing.first,
        placing.end,
    )
