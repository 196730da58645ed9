"""
By how much all routers together exceed a workspace's limit.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import repeat
from random import Random

from mallowcrank.limits.ledger import LimitLedger
from mallowcrank.view import WorkspaceSettings
from scripts.trials.exchange import DemandExchange, max_window_sum

LIMIT_PER_S = 100  # requests, of each workspace
TICK_S = 0.01
RUN_S = 40
CUT_OFF_START_S = 15
HOT_LOAD = 3  # ratio of the requests to the limit


@dataclass(frozen=True)
class LimitCase:
    """
    One case.

    :param pattern: `even` load on all routers, load on `one` router, `moving`
        from one router to the next every 8 s, or a `burst` on all routers
        after an idle time.
    :param cut_off: whether one router is partitioned from the others after
        15 s, and the others no longer count it.
    :param workspaces: number of workspaces that are hot at the same time.
    """

    pattern: str
    routers: int
    cut_off: bool = False
    workspaces: int = 1
    seed: int = 1


@dataclass(frozen=True)
class LimitFigures:
    """
    Admitted requests of the first workspace as a ratio to its limit.

    :param mean: over the run, from 5 s on.
    :param worst_10s: in the worst ten seconds.
    :param worst_1s: in the worst second.
    :param bytes_per_s: bytes of demand that all agents together publish.
    """

    pattern: str
    routers: int
    cut_off: bool
    workspaces: int
    mean: float
    worst_10s: float
    worst_1s: float
    bytes_per_s: float


class LimitsTrial:
    """
    Runs the limit ledgers of routers, which exchange their demands with a
    delay.
    """

    def __init__(self, case: LimitCase) -> None:
        self._case = case
        self._random = Random(case.seed)
        self._ledgers = [LimitLedger() for _ in range(case.routers)]
        self._exchange = DemandExchange(self._ledgers)
        self._workspaces = [
            WorkspaceSettings(
                f'b/w{number}',
                'b',
                request_rate=LIMIT_PER_S,
                token_rate=1e9,
                streams=10**6,
            )
            for number in range(case.workspaces)
        ]

    def run(self) -> LimitFigures:
        """
        Run the case.
        """
        admitted = [
            self._tick(number * TICK_S) for number in range(int(RUN_S / TICK_S))
        ]
        per_s = round(1 / TICK_S)
        warm = admitted[5 * per_s :]
        return LimitFigures(
            pattern=self._case.pattern,
            routers=self._case.routers,
            cut_off=self._case.cut_off,
            workspaces=self._case.workspaces,
            mean=sum(warm) / (RUN_S - 5) / LIMIT_PER_S,
            worst_10s=max_window_sum(admitted, 10 * per_s) / 10 / LIMIT_PER_S,
            worst_1s=max_window_sum(admitted, per_s) / LIMIT_PER_S,
            bytes_per_s=self._exchange.bytes_per_s,
        )

    def _tick(self, now: float) -> int:
        if abs(now - round(now)) < TICK_S / 2:
            is_cut_off = self._case.cut_off and now > CUT_OFF_START_S
            self._exchange.run(round(now), cut_off=is_cut_off)
        admitted = 0
        for index, workspace in enumerate(self._workspaces):
            for router in self._routers_at(now):
                ledger = self._ledgers[router]
                if ledger.admit(workspace, 1, now) is None:
                    ledger.release(workspace.name, 0)
                    admitted += index == 0
        return admitted

    def _routers_at(self, now: float) -> Sequence[int]:
        count = round(HOT_LOAD * LIMIT_PER_S * TICK_S)
        case = self._case
        if case.pattern == 'burst' and int(now) % 10 < 6:
            return ()
        if case.pattern == 'one':
            return tuple(repeat(0, count))
        if case.pattern == 'moving':
            return tuple(repeat(int(now / 8) % case.routers, count))
        return [self._random.randrange(case.routers) for _ in range(count)]
