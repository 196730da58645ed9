"""
Each router's share of a workspace's limits.

Every router gets a small share without a report, so that few routers need to
report demand. The rest is divided among the routers that do, in proportion.
All routers divide the same numbers: a router counts its own demand as
published by the agents, and only once its peers have had time to receive it;
until then it may use an even share. A share is valid only while the agents
are reachable. Without them, each router falls back to an even share among
the highest recent count of routers.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from heapq import nsmallest
from math import frexp

from mallowcrank.view import MAX_DEMANDS

UNREPORTED_SHARE = 0.1  # of a limit, divided evenly among all routers
PROPAGATION_S = 2  # until all peers have received what an agent publishes
GRANT_TTL_S = 5  # after the last report to the agent
ROUTER_COUNT_TTL_S = 600  # how long missing routers are counted
DEMAND_DIGITS = 5  # after the decimal point of a reported demand
HOME_SHARE = 0.5  # of a limit that a home router uses without a report
REPORT_FLOOR_FACTOR = 0.5  # of a router's part of the unreported share


@dataclass(frozen=True, slots=True)
class PeerCount:
    """
    The number of routers, and whether this router's peers are reachable.

    :param routers: number of routers, this one included; the highest recent
        count if the peers are unreachable.
    :param reachable: whether the peers are reachable.
    """

    routers: int
    reachable: bool


@dataclass(frozen=True, slots=True)
class DemandSnapshot:
    """
    The demands that the agents publish, as shares of workspaces' limits.

    :param peers: number of routers, and whether the peers are reachable.
    :param others: sums of the peers' demands, by workspace.
    :param own: this router's demands as published to its peers, by
        workspace.
    :param is_home: returns whether this router is the home of a workspace.
    """

    peers: PeerCount
    others: Mapping[str, float] = field(default_factory=dict)
    own: Mapping[str, float] = field(default_factory=dict)
    is_home: Callable[[str], bool] = field(default=lambda _: False)


class RouterCounter:
    """
    Tracks the highest recent count of routers, to detect a partition.
    """

    def __init__(self) -> None:
        self._highest = 1
        self._highest_at_s: float = 0

    def count(self, routers: int, now: float) -> PeerCount:
        """
        Record the number of reachable routers, this one included.

        If at most half of the highest recent count is left, this router
        counts as cut off from its peers.

        :param now: steady time, in seconds.
        """
        if (
            routers >= self._highest
            or now - self._highest_at_s > ROUTER_COUNT_TTL_S
        ):
            self._highest = routers
            self._highest_at_s = now
        if self._highest > 1 and routers * 2 <= self._highest:
            return PeerCount(self._highest, reachable=False)
        return PeerCount(routers, reachable=True)


@dataclass(frozen=True, slots=True)
class WorkspaceDemand:
    """
    The demand on a workspace, as shares of its limits (1 is all).

    :param settled: demand on this router that its peers have received.
    :param others: sum of the peers' demands.
    :param is_new: whether this router's demand may not have reached its
        peers yet.
    :param is_home: whether this router is the workspace's home.
    """

    settled: float = 0
    others: float = 0
    is_new: bool = False
    is_home: bool = False


def granted_share(demand: WorkspaceDemand, peers: PeerCount) -> float:
    """
    Return the share of a limit that this router may use.

    :returns: 0 to 1.
    """
    even_share = 1 / max(1, peers.routers)
    if not peers.reachable or peers.routers <= 1:
        return even_share
    floor = report_floor(peers.routers)
    settled = demand.settled if demand.settled > floor else 0
    total = settled + demand.others
    unreported_share = even_share
    if demand.is_home:
        unreported_share = max(
            even_share, min(HOME_SHARE, 1 - UNREPORTED_SHARE - demand.others)
        )
    if not total:
        return unreported_share
    share = (
        UNREPORTED_SHARE * even_share + (1 - UNREPORTED_SHARE) * settled / total
    )
    if demand.is_new or total < 1 - UNREPORTED_SHARE:
        return max(share, unreported_share)
    return share


def report_floor(routers: int) -> float:
    """
    Return the demand up to which a router does not report it.

    :returns: a share of the limits.
    """
    return REPORT_FLOOR_FACTOR * UNREPORTED_SHARE / max(1, routers)


def demands_to_report(
    demands: Mapping[str, float], routers: int
) -> dict[str, float]:
    """
    Return the highest demands above the floor, at most `MAX_DEMANDS`.

    Demands within the same power of two are ordered by name, so that routers
    with many of them report the same workspaces.
    """
    floor = report_floor(routers)
    reportable = [
        (-frexp(demand)[1], name)
        for name, demand in demands.items()
        if demand > floor
    ]
    return {
        name: round(demands[name], DEMAND_DIGITS)
        for _, name in nsmallest(MAX_DEMANDS, reportable)
    }
