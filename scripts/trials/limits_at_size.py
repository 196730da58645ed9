"""
Limits at full size: 380 routers and 6,100 workspaces, some of them hot.
"""

from bisect import bisect
from collections import Counter
from dataclasses import dataclass
from itertools import accumulate
from random import Random
from statistics import mean

from mallowcrank.limits.homes import home_router
from mallowcrank.limits.ledger import LimitLedger
from mallowcrank.view import WorkspaceSettings
from scripts.trials.exchange import DemandExchange

ROUTERS = 380
WORKSPACES = 6100
TOTAL_RATE = 2700  # requests a second if no workspace is hot
SKEW = 10  # popularity is 1 / (SKEW + rank)
LIMIT_HEADROOM = 2  # ratio of a workspace's limit to its usual rate
MIN_LIMIT = 5
HOT_LOAD = 3  # ratio of a hot workspace's requests to its limit
HOT_EVERY = 100  # one in this many workspaces is hot
ZONES = 28
MAX_CALLER_ZONES = 3  # of one workspace's callers
OTHER_ROUTER_SHARE = 0.05  # of requests, within the zone
WARM_S = 10
RUN_S = 40


@dataclass(frozen=True)
class SizeFigures:
    """
    Results of one trial.

    :param callers: callers use `any` router, any of their availability `zone`,
        or their `home` router but for a few requests.
    :param cut_off: whether one router is partitioned from the others.
    :param hot_mean: admitted requests as a ratio to the limit, mean of the hot
        workspaces.
    :param hot_worst: the same ratio of the workspace where it is greatest.
    :param refused_below: refused share of the requests of workspaces that are
        below their limits.
    :param bytes_per_s: bytes of demand that all agents together publish.
    """

    callers: str
    cut_off: bool
    hot_mean: float
    hot_worst: float
    refused_below: float
    bytes_per_s: float


class LimitsAtSize:
    """
    Draws requests by the workspaces' popularity and submits them to the
    routers' ledgers.
    """

    def __init__(self, callers: str, seed: int, *, cut_off: bool) -> None:
        self._callers = callers
        self._cut_off = cut_off
        self._random = Random(seed)
        self._ledgers = [LimitLedger() for _ in range(ROUTERS)]
        self._exchange = DemandExchange(self._ledgers, self._is_home)
        popular = [1 / (SKEW + rank) for rank in range(WORKSPACES)]
        self._usual_rates = [
            TOTAL_RATE * each / sum(popular) for each in popular
        ]
        self._workspaces = [
            WorkspaceSettings(
                f'b{rank % 60}/w{rank}',
                f'b{rank % 60}',
                request_rate=max(MIN_LIMIT, LIMIT_HEADROOM * usual),
                token_rate=1e9,
                streams=10**6,
            )
            for rank, usual in enumerate(self._usual_rates)
        ]
        self._homes = {
            each.name: self._home_of(each.name) for each in self._workspaces
        }

    def run(self) -> SizeFigures:
        """
        Run the trial.
        """
        rates = [self._request_rate(rank) for rank in range(WORKSPACES)]
        cumulative = list(accumulate(rates))
        admitted: Counter[int] = Counter()
        refused: Counter[int] = Counter()
        now: float = 0
        second = 0
        while now < RUN_S:
            now += self._random.expovariate(cumulative[-1])
            if now >= second:
                is_cut_off = self._cut_off and second > WARM_S
                self._exchange.run(second, cut_off=is_cut_off)
                second += 1
            rank = bisect(cumulative, self._random.random() * cumulative[-1])
            is_admitted = self._admit(min(rank, WORKSPACES - 1), now)
            if now > WARM_S:
                counted = admitted if is_admitted else refused
                counted[rank] += 1
        return self._figures(admitted, refused)

    def _request_rate(self, rank: int) -> float:
        if self._is_hot(rank):
            return HOT_LOAD * self._workspaces[rank].request_rate
        return self._usual_rates[rank]

    def _is_hot(self, rank: int) -> bool:
        return rank % HOT_EVERY == 0

    def _home_of(self, workspace: str) -> list[int]:
        zones = [range(zone, ROUTERS, ZONES) for zone in range(ZONES)]
        names = [home_router(workspace, map(str, zone)) for zone in zones]
        return [int(name) for name in names if name]

    def _is_home(self, router: int, workspace: str) -> bool:
        if self._callers != 'home':
            return False
        return self._homes[workspace][router % ZONES] == router

    def _choose_router(self, rank: int, name: str) -> int:
        zone = (
            rank + self._random.randrange(1 + rank % MAX_CALLER_ZONES)
        ) % ZONES
        if self._callers == 'any':
            return self._random.randrange(ROUTERS)
        if (
            self._callers == 'zone'
            or self._random.random() < OTHER_ROUTER_SHARE
        ):
            return self._random.choice(range(zone, ROUTERS, ZONES))
        return self._homes[name][zone]

    def _admit(self, rank: int, now: float) -> bool:
        workspace = self._workspaces[rank]
        ledger = self._ledgers[self._choose_router(rank, workspace.name)]
        if ledger.admit(workspace, 1, now) is not None:
            return False
        ledger.release(workspace.name, 0)
        return True

    def _figures(
        self, admitted: Counter[int], refused: Counter[int]
    ) -> SizeFigures:
        hot = [
            admitted[rank]
            / (self._workspaces[rank].request_rate * (RUN_S - WARM_S))
            for rank in range(0, WORKSPACES, HOT_EVERY)
        ]
        below = [rank for rank in range(WORKSPACES) if not self._is_hot(rank)]
        below_refused = sum(refused[rank] for rank in below)
        below_admitted = sum(admitted[rank] for rank in below)
        return SizeFigures(
            callers=self._callers,
            cut_off=self._cut_off,
            hot_mean=mean(hot),
            hot_worst=max(hot),
            refused_below=below_refused / (below_refused + below_admitted),
            bytes_per_s=self._exchange.bytes_per_s,
        )
