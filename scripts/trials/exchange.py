"""
How demands reach peers: reports, agents that keep to their bytes, gossip.
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

LAG_S = 1  # from what an agent passes on to all peers
STARTING_S = 10

IsHome = Callable[[int, str], bool]


class DemandExchange:
    """
    Carries the demands of all routers to all others.
    """

    def __init__(
        self, ledgers: Sequence[LimitLedger], is_home: IsHome | None = None
    ) -> None:
        self._ledgers = ledgers
        self._is_home = is_home or (lambda index, workspace: False)
        self._told: dict[int, Demand] = {}
        self._passed: list[dict[int, Demand]] = []
        self._bytes: list[int] = []

    @property
    def bytes_per_s(self) -> float:
        """
        Return the mean bytes of demand a second, but for the first ones, in
        which all routers start at once.
        """
        return mean(self._bytes[STARTING_S:])

    def run(self, second: int, *, cut_off: bool) -> None:
        """
        Report, pass on and hear, once a second.

        :param cut_off: whether the first router and the others can't hear
            each other.
        """
        sent = sum(
            self._report(index, second) for index in range(len(self._ledgers))
        )
        self._bytes.append(sent)
        self._passed.append(dict(self._told))
        heard = self._passed[max(0, len(self._passed) - 1 - LAG_S)]
        if cut_off:
            heard = {index: each for index, each in heard.items() if index}
        totals = _totals(heard)
        routers = len(self._ledgers)
        for index, ledger in enumerate(self._ledgers):
            own = _parts(self._told.get(index))
            if cut_off and not index:
                lost = DemandSnapshot(
                    PeerCount(routers, reachable=False), {}, own
                )
                ledger.update_peers(lost, second)
                continue
            told = _parts(heard.get(index))
            others = {name: totals[name] - part for name, part in told.items()}
            hearing = PeerCount(routers - cut_off, reachable=True)
            known = DemandSnapshot(
                hearing,
                ChainMap(others, totals),
                own,
                partial(self._is_home, index),
            )
            ledger.update_peers(known, second)

    def _report(self, index: int, second: int) -> int:
        parts = tuple(self._ledgers[index].report(second).items())
        demand = Demand(f'r{index}', second, parts)
        known = self._told.get(index)
        if not should_publish_demand(known, demand, len(self._ledgers)):
            return 0
        self._told[index] = demand
        return (len(parts) + 1) * DEMAND_ENTRY_BYTES


def _totals(heard: Mapping[int, Demand]) -> dict[str, float]:
    totals: Counter[str] = Counter()
    for demand in heard.values():
        totals.update(_parts(demand))
    return totals


def _parts(demand: Demand | None) -> dict[str, float]:
    return dict(demand.parts) if demand else {}


def max_window_sum(admitted: Sequence[int], window: int) -> int:
    """
    Return the greatest sum over a window.
    """
    current = sum(admitted[:window])
    greatest = current
    for entering, leaving in zip(admitted[window:], admitted, strict=False):
        current += entering - leaving
        greatest = max(greatest, current)
    return greatest
