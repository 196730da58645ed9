"""
What a router knows of its peers' demands, kept up to date by differences.

Sums are kept in whole units, so that they equal those made from scratch.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from mallowcrank.view import Peer

UNITS = 1_000_000  # of a workspace's whole limits


class PeerDemands:
    """
    Counts the live routers and adds up their demands.

    :param router: this router's own name, which is left out of the sums.
    """

    def __init__(self, router: str) -> None:
        self._router = router
        self._demands: dict[str, Mapping[str, float]] = {}
        self._live = {router}
        self._units: dict[str, int] = {}
        self._sums: dict[str, float] = {}

    @property
    def routers(self) -> int:
        """
        Return how many routers are live and stay, this one included.
        """
        return len(self._live)

    @property
    def sums(self) -> Mapping[str, float]:
        """
        Return the sum of the peers' demands by workspace, as it changes.
        """
        return MappingProxyType(self._sums)

    def apply(self, peers: Mapping[str, Peer], names: Iterable[str]) -> None:
        """
        Take over the peers that changed.
        """
        for name in names:
            if name != self._router:
                self._take(name, peers.get(name))

    def _take(self, name: str, peer: Peer | None) -> None:
        known = self._demands.pop(name, {})
        demand = peer.demand if peer else {}
        if demand:
            self._demands[name] = demand
        if peer is None or peer.leaving:
            self._live.discard(name)
        else:
            self._live.add(name)
        if known != demand:
            self._add(known, -1)
            self._add(demand, 1)

    def _add(self, demand: Mapping[str, float], sign: int) -> None:
        for workspace, part in demand.items():
            units = self._units.get(workspace, 0) + sign * round(part * UNITS)
            if units:
                self._units[workspace] = units
                self._sums[workspace] = units / UNITS
            else:
                self._units.pop(workspace, None)
                self._sums.pop(workspace, None)
