"""
Engine memory that the requests of all routers have reserved.

A router knows its own reservations exactly, and those of its peers as of
their last messages. The engines' own reports are not used, because they lag.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from mallowcrank.chains.paths import PathSegment
from mallowcrank.gateway.targets import Lifetime

RESERVATIONS_TTL_S = 1.5  # a router silent for longer has lost its requests


@dataclass(frozen=True, slots=True)
class PeerReservations:
    """
    The reservations in a router's last message.

    :param received_at_s: steady time, in seconds.
    :param reserved: tokens x layers by the engine's identity.
    """

    received_at_s: float
    reserved: Mapping[str, float]


class MemoryLedger:
    """
    The reservations of this router and its peers.
    """

    def __init__(self) -> None:
        self._own: dict[Lifetime, float] = {}
        self._started_paths: dict[Lifetime, int] = {}
        self._peers: dict[str, PeerReservations] = {}

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
        self._peers[router] = peer

    def own_reservations(self) -> Mapping[str, float]:
        """
        Return this router's reservations, to be sent to its peers.

        :returns: tokens x layers, by the engine's identity.
        """
        return {
            lifetime.identity: reserved
            for lifetime, reserved in self._own.items()
        }

    def reserved(self, lifetime: Lifetime, now: float) -> float:
        """
        Return what all routers have reserved on an engine.

        :returns: tokens x layers.
        """
        others = sum(
            peer.reserved.get(lifetime.identity, 0)
            for peer in self._peers.values()
            if now - peer.received_at_s < RESERVATIONS_TTL_S
        )
        return self._own.get(lifetime, 0) + others

    def started_paths(self, lifetime: Lifetime) -> int:
        """
        Return how many of this router's paths start at an engine.
        """
        return self._started_paths.get(lifetime, 0)

    def _change(self, segment: PathSegment, change: float) -> None:
        remaining = self._own.get(segment.lifetime, 0) + change
        if remaining > 1:
            self._own[segment.lifetime] = remaining
        else:
            self._own.pop(segment.lifetime, None)
