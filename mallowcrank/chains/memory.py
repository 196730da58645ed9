"""
Memory of engines that requests have reserved, over all routers.

A router knows its own reservations exactly and those of others as they last
told. An engine's own report lags; it is not needed for this.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from mallowcrank.chains.paths import PathSegment
from mallowcrank.gateway.targets import Lifetime

RESERVATIONS_TTL_S = (
    1.5  # a router that says nothing for longer has lost its requests
)


@dataclass(frozen=True, slots=True)
class PeerReservations:
    """
    What another router last told.

    :param heard: steady time, in seconds.
    :param reserved: tokens x layers by the engine's identity.
    """

    received_at_s: float
    reserved: Mapping[str, float]


class MemoryLedger:
    """
    The reservations.
    """

    def __init__(self) -> None:
        self._own: dict[Lifetime, float] = {}
        self._firsts: dict[Lifetime, int] = {}
        self._told: dict[str, PeerReservations] = {}

    def reserve(self, parts: Iterable[PathSegment], tokens: float) -> None:
        """
        Reserve memory on each engine of a path.
        """
        for place, part in enumerate(parts):
            self._add(part, tokens * part.layers)
            if not place:
                firsts = self._firsts.get(part.lifetime, 0)
                self._firsts[part.lifetime] = firsts + 1

    def release(self, parts: Iterable[PathSegment], tokens: float) -> None:
        """
        Give back what was reserved.
        """
        for place, part in enumerate(parts):
            self._add(part, -tokens * part.layers)
            if not place:
                firsts = self._firsts.get(part.lifetime, 0) - 1
                self._firsts[part.lifetime] = max(0, firsts)

    def update_peer(self, router: str, told: PeerReservations) -> None:
        """
        Take in what another router told.
        """
        self._told[router] = told

    def own_reservations(self) -> Mapping[str, float]:
        """
        Return this router's reservations, to be told to others.
        """
        return {
            lifetime.identity: reserved
            for lifetime, reserved in self._own.items()
        }

    def reserved(self, lifetime: Lifetime, now: float) -> float:
        """
        Return what all routers have reserved on an engine.
        """
        others = sum(
            told.reserved.get(lifetime.identity, 0)
            for told in self._told.values()
            if now - told.received_at_s < RESERVATIONS_TTL_S
        )
        return self._own.get(lifetime, 0) + others

    def started_paths(self, lifetime: Lifetime) -> int:
        """
        Return how many of this router's paths begin at an engine.
        """
        return self._firsts.get(lifetime, 0)

    def _add(self, part: PathSegment, amount: float) -> None:
        left = self._own.get(part.lifetime, 0) + amount
        if left > 1:
            self._own[part.lifetime] = left
        else:
            self._own.pop(part.lifetime, None)
