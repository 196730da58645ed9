"""
Demands of a router's peers, updated incrementally.

The sums are kept in integer units, so they equal sums that are computed from
scratch.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from mallowcrank.limits.homes import home_router
from mallowcrank.view import Peer

UNITS_PER_LIMIT = 1_000_000  # of a workspace's limits


class PeerDemands:
    """
    The live routers and the sums of their demands.

    :param router: name of this router, which is left out of the sums.
    """

    def __init__(self, router: str) -> None:
        self._router = router
        self._demands: dict[str, Mapping[str, float]] = {}
        self._own: Mapping[str, float] = {}
        self._live = {router}
        self._zones: dict[str, str] = {}
        self._homes: dict[str, bool] = {}
        self._units: dict[str, int] = {}
        self._sums: dict[str, float] = {}

    @property
    def routers(self) -> int:
        """
        Return the number of live routers that are not leaving.

        This router is included.
        """
        return len(self._live)

    @property
    def sums(self) -> Mapping[str, float]:
        """
        Return a live view of the sums of the peers' demands, by workspace.
        """
        return MappingProxyType(self._sums)

    @property
    def own(self) -> Mapping[str, float]:
        """
        Return this router's demands as published to its peers.
        """
        return self._own

    def is_home(self, workspace: str) -> bool:
        """
        Return whether this router is the home of a workspace in its
        availability zone.
        """
        known = self._homes.get(workspace)
        if known is None:
            home = home_router(workspace, self._routers_in_zone())
            known = home == self._router
            self._homes[workspace] = known
        return known

    def update_peers(
        self, peers: Mapping[str, Peer], names: Iterable[str]
    ) -> None:
        """
        Apply the changes of peers.

        :param peers: all peers, by name.
        :param names: names of the changed peers.
        """
        for name in names:
            peer = peers.get(name)
            self._update_zone(name, peer)
            if name != self._router:
                self._update_demand(name, peer)
            else:
                self._own = peer.demand if peer else {}

    def _update_zone(self, name: str, peer: Peer | None) -> None:
        zone = peer.availability_zone if peer and not peer.leaving else None
        if zone == self._zones.get(name):
            return
        if zone is None:
            self._zones.pop(name)
        else:
            self._zones[name] = zone
        self._homes.clear()

    def _update_demand(self, name: str, peer: Peer | None) -> None:
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
        for workspace, share in demand.items():
            units = self._units.get(workspace, 0) + sign * round(
                share * UNITS_PER_LIMIT
            )
            if units:
                self._units[workspace] = units
                self._sums[workspace] = units / UNITS_PER_LIMIT
            else:
                self._units.pop(workspace, None)
                self._sums.pop(workspace, None)

    def _routers_in_zone(self) -> list[str]:
        own = self._zones.get(self._router)
        return [name for name, zone in self._zones.items() if zone == own]
