"""
Engine memory that the requests of all routers have reserved.

A router knows its own reservations exactly, and those of its peers as of
their last messages. The engines' own reports are not used, because they lag.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import inf

from mallowcrank.chains.paths import PathSegment
from mallowcrank.gateway.targets import Lifetime

MIN_RESERVATIONS_TTL_S = 1.5


@dataclass(frozen=True, slots=True)
class PeerReservations:
    """
    The reservations in a router's last message.

    :param received_at_s: steady time, in seconds.
    :param reserved: tokens x layers by the engine's identity.
    :param ttl_s: seconds without another message after which the router has
        lost its requests.
    """

    received_at_s: float
    reserved: Mapping[str, float]
    ttl_s: float = MIN_RESERVATIONS_TTL_S

    @property
    def expires_at_s(self) -> float:
        """
        Return the steady time until which they count, in seconds.
        """
        return self.received_at_s + max(MIN_RESERVATIONS_TTL_S, self.ttl_s)


class MemoryLedger:
    """
    The reservations of this router and its peers.
    """

    def __init__(self) -> None:
        self._own: dict[Lifetime, float] = {}
        self._started_paths: dict[Lifetime, int] = {}
        self._peers: dict[str, PeerReservations] = {}
        self._peer_totals: dict[str, float] = {}
        self._next_expiry_s = inf

    def reserve(self, segments: Iterable[PathSegment], tokens: float) -> None:
        """
        Reserve memory on each engine of a path.

        :param tokens: tokens that each layer of the path holds.
        """
        for index, segment in enumerate(segments):
            self._change(segment, tokens * segment.layers)
            if not index:
                started = self._started_paths.get(segment.lifetime, 0)
                self._started_paths[segment.lifetime] = started + 1

    def release(self, segments: Iterable[PathSegment], tokens: float) -> None:
        """
        Release the memory that was reserved with the same arguments.
        """
        for index, segment in enumerate(segments):
            self._change(segment, -tokens * segment.layers)
            if not index:
                started = self._started_paths.get(segment.lifetime, 0) - 1
                self._started_paths[segment.lifetime] = max(0, started)

    def update_peer(self, router: str, peer: PeerReservations) -> None:
        """
        Replace a peer's reservations.
        """
        self._drop_peer(router)
        self._peers[router] = peer
        for identity, reserved in peer.reserved.items():
            self._change_total(identity, reserved)
        self._next_expiry_s = min(self._next_expiry_s, peer.expires_at_s)

    def own_reservations(self) -> Mapping[str, float]:
        """
        Return this router's reservations, to be sent to its peers.

        :returns: tokens x layers, by the engine's identity.
        """
        return {
            lifetime.identity: reserved
            for lifetime, reserved in self._own.items()
        }

    def is_in_use(self, lifetime: Lifetime) -> bool:
        """
        Return whether this router's requests use an engine.
        """
        return lifetime in self._own

    def reserved(self, lifetime: Lifetime, now: float) -> float:
        """
        Return what all routers have reserved on an engine.

        :returns: tokens x layers.
        """
        if now >= self._next_expiry_s:
            self._drop_expired_peers(now)
        others = self._peer_totals.get(lifetime.identity, 0)
        return self._own.get(lifetime, 0) + others

    def started_paths(self, lifetime: Lifetime) -> int:
        """
        Return how many of this router's paths start at an engine.
        """
        return self._started_paths.get(lifetime, 0)

    def _drop_expired_peers(self, now: float) -> None:
        expired = [
            router
            for router, peer in self._peers.items()
            if now >= peer.expires_at_s
        ]
        for router in expired:
            self._drop_peer(router)
        self._next_expiry_s = min(
            (each.expires_at_s for each in self._peers.values()), default=inf
        )

    def _drop_peer(self, router: str) -> None:
        before = self._peers.pop(router, None)
        if before:
            for identity, reserved in before.reserved.items():
                self._change_total(identity, -reserved)

    def _change_total(self, identity: str, change: float) -> None:
        remaining = self._peer_totals.get(identity, 0) + change
        if remaining > 1:
            self._peer_totals[identity] = remaining
        else:
            self._peer_totals.pop(identity, None)

    def _change(self, segment: PathSegment, change: float) -> None:
        remaining = self._own.get(segment.lifetime, 0) + change
        if remaining > 1:
            self._own[segment.lifetime] = remaining
        else:
            self._own.pop(segment.lifetime, None)
