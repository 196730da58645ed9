"""
Which part of a workspace's limits each router may give out.

Every router is silently granted a small part, so that few of them need to be
heard of. The rest goes to the routers that report demand, in proportion. All
divide by the same numbers: a router counts its own demand as the agents pass
it on, and only once its peers have had time to hear of it; until then it may
give out an even share. A grant lasts only as
long as the agents are heard; without them, each router falls back to an even
share among the most routers that it has known.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from heapq import nsmallest
from math import frexp

from mallowcrank.view import MAX_DEMANDS

UNREPORTED_SHARE = 0.1  # of a limit, split evenly between all routers
PROPAGATION_S = 2  # seconds until all peers have heard what an agent passes on
GRANT_TTL_S = 5  # seconds that grants last after the last report to the agent
ROUTER_COUNT_TTL_S = 600  # how long missing routers count
DEMAND_DIGITS = 5  # of a reported demand
HOME_SHARE = 0.5  # of a limit that a home router gives out unasked
REPORT_FLOOR_FACTOR = 0.5  # of the silent grant; less demand is not reported


@dataclass(frozen=True, slots=True)
class PeerCount:
    """
    What a router hears of its peers.

    :param routers: how many routers there are, itself included; where they
        can't be heard, the most that it has known.
    :param heard: whether its peers can be heard.
    """

    routers: int
    reachable: bool


@dataclass(frozen=True, slots=True)
class DemandSnapshot:
    """
    What the agents say of demands, in parts of the workspaces' limits.

    :param others: by workspace, the sum of the peers' demands.
    :param own: this router's demands, as its peers are told of them.
    :param is_home: tells whether callers of a workspace are sent here.
    """

    peers: PeerCount
    others: Mapping[str, float] = field(default_factory=dict)
    own: Mapping[str, float] = field(default_factory=dict)
    is_home: Callable[[str], bool] = field(default=lambda _: False)


class RouterCounter:
    """
    Remembers the most routers known lately, to notice when most are missing.
    """

    def __init__(self) -> None:
        self._most = 1
        self._seen: float = 0

    def count(self, routers: int, now: float) -> PeerCount:
        """
        Take in a count of the routers that are heard, this one included.

        Where no more than half are left, this side counts as cut off.
        """
        if routers >= self._most or now - self._seen > ROUTER_COUNT_TTL_S:
            self._most = routers
            self._seen = now
        if self._most > 1 and routers * 2 <= self._most:
            return PeerCount(self._most, reachable=False)
        return PeerCount(routers, reachable=True)


@dataclass(frozen=True, slots=True)
class WorkspaceDemand:
    """
    What callers ask for, in parts of a workspace's limits (1 is all).

    :param settled: of this router, as its peers have heard of it.
    :param others: the sum that the peers report.
    :param is_new: whether its peers have had no time yet to hear of it.
    :param is_home: whether callers are sent to this router.
    """

    settled: float = 0
    others: float = 0
    is_new: bool = False
    is_home: bool = False


def granted_share(asked: WorkspaceDemand, hearing: PeerCount) -> float:
    """
    Return the part of a limit that this router may give out.
    """
    even = 1 / max(1, hearing.routers)
    if not hearing.reachable or hearing.routers <= 1:
        return even
    floor = report_floor(hearing.routers)
    settled = asked.settled if asked.settled > floor else 0
    total = settled + asked.others
    unasked = even
    if asked.is_home:
        unasked = max(
            even, min(HOME_SHARE, 1 - UNREPORTED_SHARE - asked.others)
        )
    if not total:
        return unasked
    granted = UNREPORTED_SHARE * even + (1 - UNREPORTED_SHARE) * settled / total
    if asked.is_new or total < 1 - UNREPORTED_SHARE:
        return max(granted, unasked)
    return granted


def report_floor(routers: int) -> float:
    """
    Return the demand below which a router does not report.
    """
    return REPORT_FLOOR_FACTOR * UNREPORTED_SHARE / max(1, routers)


def demands_to_report(
    demands: Mapping[str, float], routers: int
) -> dict[str, float]:
    """
    Return the greatest demands that pass the floor.

    Demands of one magnitude are ordered by name, so that routers with many of
    them choose the same ones.
    """
    floor = report_floor(routers)
    above = [
        (-frexp(asked)[1], name)
        for name, asked in demands.items()
        if asked > floor
    ]
    return {
        name: round(demands[name], DEMAND_DIGITS)
        for _, name in nsmallest(MAX_DEMANDS, above)
    }
