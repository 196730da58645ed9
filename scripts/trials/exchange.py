"""
Simulates how demands reach other routers: reports to the agents, which limit
the bytes that they publish, and gossip between the agents.
"""

from collections import ChainMap, Counter
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from statistics import mean

from mallowcrank.limits.ledger import LimitLedger
from mallowcrank.limits.shares import DemandSnapshot, PeerCount
from mallowcrank.membership.facts import Demand
from mallowcrank.membership.routers import should_publish_demand
from mallowcrank.view import DEMAND_ENTRY_BYTES

LAG_S = 1  # from publication by an agent to all peers
STARTUP_S = 10

IsHome = Callable[[int, str], bool]


class DemandExchange:
    """
    Distributes the demands of each router to all others.

    :param is_home: whether the router of an index is a workspace's home
        router; by default, none is.
    """

    def __init__(
        self, ledgers: Sequence[LimitLedger], is_home: IsHome | None = None
    ) -> None:
        self._ledgers = ledgers
        self._is_home = is_home or (lambda index, workspace: False)
        self._published: dict[int, Demand] = {}
        self._history: list[dict[int, Demand]] = []
        self._bytes_sent: list[int] = []

    @property
    def bytes_per_s(self) -> float:
        """
        Return the mean bytes of demand a second.

        The first seconds are left out, as all routers start in them at once.
        """
        return mean(self._bytes_sent[STARTUP_S:])

    def run(self, second: int, *, cut_off: bool) -> None:
        """
        Publish, exchange and apply the demands of one second.

        :param second: number of the second, from 0.
        :param cut_off: whether the first router is partitioned from the
            others.
        """
        sent = sum(
            self._publish_demand(index, second)
            for index in range(len(self._ledgers))
        )
        self._bytes_sent.append(sent)
        self._history.append(dict(self._published))
        received = self._history[max(0, len(self._history) - 1 - LAG_S)]
        if cut_off:
            received = {
                index: each for index, each in received.items() if index
            }
        totals = _totals(received)
        routers = len(self._ledgers)
        for index, ledger in enumerate(self._ledgers):
            own = _parts(self._published.get(index))
            if cut_off and not index:
                isolated = DemandSnapshot(
                    PeerCount(routers, reachable=False), {}, own
                )
                ledger.update_peers(isolated, second)
                continue
            own_received = _parts(received.get(index))
            others = {
                name: totals[name] - part for name, part in own_received.items()
            }
            peer_count = PeerCount(routers - cut_off, reachable=True)
            snapshot = DemandSnapshot(
                peer_count,
                ChainMap(others, totals),
                own,
                partial(self._is_home, index),
            )
            ledger.update_peers(snapshot, second)

    def _publish_demand(self, index: int, second: int) -> int:
        parts = tuple(self._ledgers[index].report(second).items())
        demand = Demand(f'r{index}', second, parts)
        known = self._published.get(index)
        if not should_publish_demand(known, demand, len(self._ledgers)):
            return 0
        self._published[index] = demand
        return (len(parts) + 1) * DEMAND_ENTRY_BYTES


def _totals(received: Mapping[int, Demand]) -> dict[str, float]:
    totals: Counter[str] = Counter()
    for demand in received.values():
        totals.update(_parts(demand))
    return totals


def _parts(demand: Demand | None) -> dict[str, float]:
    return dict(demand.parts) if demand else {}


def max_window_sum(admitted: Sequence[int], window: int) -> int:
    """
    Return the maximum sum over a sliding window.

    :param window: number of entries in the window.
    """
    current = sum(admitted[:window])
    greatest = current
    for entering, leaving in zip(admitted[window:], admitted, strict=False):
        current += entering - leaving
        greatest = max(greatest, current)
    return greatest
