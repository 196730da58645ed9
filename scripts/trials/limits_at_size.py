"""
Limits at the full size: 380 routers, 6,100 workspaces, some of them hot.
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
RATE = 2700  # requests a second of all workspaces, without the hot ones
SKEW = 10  # of the popularity 1 / (SKEW + rank)
ROOM = 2  # times its usual rate that a workspace's limit is
LEAST_LIMIT = 5
HOT = 3  # times its limit that a hot workspace asks for
HOT_EACH = 100  # one in so many workspaces is hot
ZONES = 28
MOST_ZONES = 3  # that one workspace's callers are in
STRAY = 0.05  # of requests that go to another router of the zone
WARM_S = 10
RUN_S = 40


@dataclass(frozen=True)
class SizeFigures:
    """
    What became of the limits.

    :param callers: use `any` router, any of their availability `zone`, or
        their `home` router, apart from a few.
    :param hot_mean: admitted over the limit, mean of the hot workspaces.
    :param hot_worst: the same, of the worst one.
    :param refused_below: part of the requests refused that workspaces below
        their limits made.
    :param bytes_per_s: of demand that all agents together pass on.
    """

    callers: str
    cut_off: bool
    hot_mean: float
    hot_worst: float
    refused_below: float
    bytes_per_s: float


class LimitsAtSize:
    """
    Draws requests by popularity and lets routers admit them.
    """

    def __init__(self, callers: str, seed: int, *, cut_off: bool) -> None:
        self._callers = callers
        self._cut_off = cut_off
        self._random = Random(seed)
        self._ledgers = [LimitLedger() for _ in range(ROUTERS)]
        self._exchange = DemandExchange(self._ledgers, self._is_home)
        popular = [1 / (SKEW + rank) for rank in range(WORKSPACES)]
        self._usual = [RATE * each / sum(popular) for each in popular]
        self._workspaces = [
            WorkspaceSettings(
                f'b{rank % 60}/w{rank}',
                f'b{rank % 60}',
                request_rate=max(LEAST_LIMIT, ROOM * usual),
                token_rate=1e9,
                streams=10**6,
            )
            for rank, usual in enumerate(self._usual)
        ]
        self._homes = {
            each.name: self._home_of(each.name) for each in self._workspaces
        }

    def run(self) -> SizeFigures:
        """
        Run the trial.
        """
        asked = [self._asked(rank) for rank in range(WORKSPACES)]
        borders = list(accumulate(asked))
        admitted: Counter[int] = Counter()
        refused: Counter[int] = Counter()
        now: float = 0
        second = 0
        while now < RUN_S:
            now += self._random.expovariate(borders[-1])
            if now >= second:
                cut = self._cut_off and second > WARM_S
                self._exchange.run(second, cut_off=cut)
                second += 1
            rank = bisect(borders, self._random.random() * borders[-1])
            passed = self._take(min(rank, WORKSPACES - 1), now)
            if now > WARM_S:
                counted = admitted if passed else refused
                counted[rank] += 1
        return self._figures(admitted, refused)

    def _asked(self, rank: int) -> float:
        if self._is_hot(rank):
            return HOT * self._workspaces[rank].request_rate
        return self._usual[rank]

    def _is_hot(self, rank: int) -> bool:
        return rank % HOT_EACH == 0

    def _home_of(self, workspace: str) -> list[int]:
        zones = [range(zone, ROUTERS, ZONES) for zone in range(ZONES)]
        names = [home_router(workspace, map(str, zone)) for zone in zones]
        return [int(name) for name in names if name]

    def _is_home(self, router: int, workspace: str) -> bool:
        if self._callers != 'home':
            return False
        return self._homes[workspace][router % ZONES] == router

    def _router(self, rank: int, name: str) -> int:
        zone = (rank + self._random.randrange(1 + rank % MOST_ZONES)) % ZONES
        if self._callers == 'any':
            return self._random.randrange(ROUTERS)
        if self._callers == 'zone' or self._random.random() < STRAY:
            return self._random.choice(range(zone, ROUTERS, ZONES))
        return self._homes[name][zone]

    def _take(self, rank: int, now: float) -> bool:
        workspace = self._workspaces[rank]
        ledger = self._ledgers[self._router(rank, workspace.name)]
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
            for rank in range(0, WORKSPACES, HOT_EACH)
        ]
        below = [rank for rank in range(WORKSPACES) if not self._is_hot(rank)]
        lost = sum(refused[rank] for rank in below)
        served = sum(admitted[rank] for rank in below)
        return SizeFigures(
            callers=self._callers,
            cut_off=self._cut_off,
            hot_mean=mean(hot),
            hot_worst=max(hot),
            refused_below=lost / (lost + served),
            bytes_per_s=self._exchange.bytes_per_s,
        )
