"""
The pools of all models and services, sized by their targets.
"""

from mallowcrank.changes import ViewChanges
from mallowcrank.fairness.pool import Pool
from mallowcrank.limits.peers import PeerDemands
from mallowcrank.limits.shares import DemandSnapshot, RouterCounter
from mallowcrank.overload.concurrency import PoolLimit, initial_limit, resize
from mallowcrank.routing.bound import (
    BoundEngine,
    ThroughputBound,
    throughput_bound,
)
from mallowcrank.routing.engines import EngineIndex
from mallowcrank.view import Target, View, WorkspaceSettings

ASSUMED_LINK_MS = 1  # round trip between router and engine
CALL_OVERHEAD_MS = 2  # processing time of a call in the router and engine
MIN_SERVICE_LIMIT = 4


class Pools:
    """
    Holds a pool for each model and service.

    :param router: this router's name among its peers.
    """

    def __init__(self, router: str) -> None:
        self._pools: dict[str, Pool] = {}
        self._bounds: dict[str, ThroughputBound] = {}
        self._index = EngineIndex()
        self._view = View()
        self._peers = PeerDemands(router)
        self._census = RouterCounter()
        self._shares_total: float = 1

    # Queries

    def bound(self, model: str) -> ThroughputBound | None:
        """
        Return the throughput bound of a model, or `None` if it is unknown.
        """
        return self._bounds.get(model)

    def is_adaptive(self, serves: str) -> bool:
        """
        Return whether a pool's limit follows the slowdown of its targets.
        """
        return serves in self._view.models

    def share_of(self, workspace: WorkspaceSettings) -> float:
        """
        Return the fraction of all shares that a workspace's branch has.
        """
        return workspace.branch_share / max(self._shares_total, 0.001)

    # Commands

    def get(self, serves: str) -> Pool:
        """
        Return the pool of a model or service, created on first use.
        """
        pool = self._pools.get(serves)
        if pool is None:
            pool = Pool(self._limit(serves))
            self._pools[serves] = pool
        return pool

    def apply_view(self, view: View, changes: ViewChanges) -> None:
        """
        Apply a changed view and resize the pools that it affects.
        """
        self._view = view
        resized = set(self._index.apply(view.targets, changes.targets))
        resized |= changes.models
        for serves in resized:
            self._update_bound(serves)
        routers = self._peers.routers
        self._peers.update_peers(view.peers, changes.peers)
        if routers != self._peers.routers:
            resized.update(self._pools)
        if changes.workspaces:
            self._shares_total = _total_share(view)
        for serves in resized & self._pools.keys():
            pool = self._pools[serves]
            pool.limit = resize(pool.limit, self._limit(serves))

    def read_peer_demands(self, now: float) -> DemandSnapshot:
        """
        Return the demands that the peers report.

        :param now: steady time in seconds.
        """
        return DemandSnapshot(
            self._census.count(self._peers.routers, now),
            self._peers.sums,
            self._peers.own,
            self._peers.is_home,
        )

    def forget_idle(self) -> None:
        """
        Drop branches with no waiting or running requests.
        """
        for pool in self._pools.values():
            pool.forget_idle()

    def _update_bound(self, serves: str) -> None:
        model = self._view.models.get(serves)
        if model is None:
            self._bounds.pop(serves, None)
            return
        engines = [
            _bound_engine(target) for target in self._index.engines_of(serves)
        ]
        self._bounds[serves] = throughput_bound(model.layers, engines)

    def _limit(self, serves: str) -> PoolLimit:
        bound = self._bounds.get(serves)
        if bound is not None:
            return initial_limit(bound.full_streams, self._peers.routers)
        names = self._index.replicas(serves)
        slots = sum(self._index.targets[name].slots for name in names)
        limit = max(MIN_SERVICE_LIMIT, slots)
        return PoolLimit(limit=limit, lowest=limit, highest=limit)


def _bound_engine(target: Target) -> BoundEngine:
    return BoundEngine(
        name=target.name,
        first_layer=target.first_layer,
        last_layer=target.last_layer,
        step_ms=target.step_ms,
        slots=target.slots,
        link_ms=ASSUMED_LINK_MS + CALL_OVERHEAD_MS,
    )


def _total_share(view: View) -> float:
    shares = {
        each.branch: each.branch_share for each in view.workspaces.values()
    }
    return sum(shares.values())
