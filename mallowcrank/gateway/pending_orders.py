"""
Orders to engines that were sent, and that their entries don't show yet.

An engine refuses orders while it loads, and its entry shows what it held
before. So the gateway that places layers tells the others what it has ordered:
whichever takes over plans with the layers that are on their way.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from heapq import nsmallest
from operator import attrgetter
from types import MappingProxyType

from mallowcrank.chains.placement import PlacementOrder
from mallowcrank.gateway.status_parts import OrderReport
from mallowcrank.gateway.targets import Lifetime

PENDING_TIMEOUT_S = 14  # an unanswered order may take effect until then
BUSY_S = 1.0  # after an engine's report that it loads
MAX_REPORTED_ORDERS = 48  # the latest ones


@dataclass(frozen=True, slots=True)
class PendingOrder:
    """
    An order that was sent, and that the target's entry doesn't show yet.

    :param at: steady time, in seconds.
    """

    placing: PlacementOrder
    at: float


class PendingOrders:
    """
    What this gateway has ordered, and the one that placed layers before.
    """

    def __init__(self) -> None:
        self._pending: dict[Lifetime, PendingOrder] = {}
        self._busy_until: dict[Lifetime, float] = {}

    # Queries

    @property
    def pending(self) -> Mapping[Lifetime, PendingOrder]:
        """
        Return the pending orders.
        """
        return MappingProxyType(self._pending)

    def is_busy(self, lifetime: Lifetime, now: float) -> bool:
        """
        Return whether an engine loads layers that nobody here knows of.

        :param now: steady time, in seconds.
        """
        return now < self._busy_until.get(lifetime, now)

    def reports(self, now: float) -> tuple[OrderReport, ...]:
        """
        Return what a gateway that takes over should know.

        :param now: steady time, in seconds.
        """
        latest = nsmallest(
            MAX_REPORTED_ORDERS,
            self._pending.values(),
            key=lambda each: now - each.at,
        )
        return tuple(
            OrderReport(
                each.placing.lifetime,
                each.placing.first,
                each.placing.end,
                now - each.at,
            )
            for each in latest
        )

    # Commands

    def record(self, placing: PlacementOrder, now: float) -> None:
        """
        Record an order that is sent.

        :param now: steady time, in seconds.
        """
        self._pending[placing.lifetime] = PendingOrder(placing, now)

    def drop(self, lifetime: Lifetime) -> None:
        """
        Drop the order to an engine that has carried it out, or refused it.
        """
        self._pending.pop(lifetime, None)

    def record_busy(self, lifetime: Lifetime, now: float) -> None:
        """
        Record that an engine reports that it loads.

        :param now: steady time, in seconds.
        """
        self._busy_until[lifetime] = now + BUSY_S

    def apply(self, reports: Iterable[OrderReport], now: float) -> None:
        """
        Apply the orders that another gateway has sent.

        :param now: steady time, in seconds.
        """
        for each in reports:
            known = self._pending.get(each.lifetime)
            at = now - each.age_s
            if known is None or known.at < at:
                placing = PlacementOrder(each.lifetime, each.first, each.end)
                self._pending[each.lifetime] = PendingOrder(placing, at)
        self.drop_expired(now)

    def drop_expired(self, now: float) -> None:
        """
        Drop orders that are too old to take effect.

        :param now: steady time, in seconds.
        """
        self._pending = {
            each.placing.lifetime: each
            for each in sorted(self._pending.values(), key=attrgetter('at'))
            if now - each.at <= PENDING_TIMEOUT_S
        }
        self._busy_until = {
            lifetime: until
            for lifetime, until in self._busy_until.items()
            if now < until
        }
