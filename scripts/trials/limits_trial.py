"""
By how much routers pass a workspace's limit together.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import repeat
from random import Random

from mallowcrank.limits.ledger import Ledger
from mallowcrank.limits.shares import Hearing
from mallowcrank.view import WorkspaceSettings

LIMIT = 100  # requests a second of each workspace
TICK_S = 0.01
LAG_S = 1.5  # from a router's report to its peers
RUN_S = 40
HOT = 3  # times the limit that callers ask for


@dataclass(frozen=True)
class LimitCase:
    """
    One case.

    :param pattern: `even` load, `one` router, `moving` from one to the next
        every 8 s, or `burst` on all routers after silence.
    :param cut_off: whether one router hears nobody after 15 s, and the
        others no longer count it.
    :param workspaces: hot workspaces at the same time.
    """

    pattern: str
    routers: int
    cut_off: bool = False
    workspaces: int = 1
    seed: int = 1


@dataclass(frozen=True)
class LimitFigures:
    """
    What was admitted, over the limit of the first workspace.

    :param mean: over the run, from 5 s on.
    :param worst_10s: in the worst ten seconds.
    :param worst_1s: in the worst second.
    :param reported: demands in the largest report.
    """

    pattern: str
    routers: int
    cut_off: bool
    workspaces: int
    mean: float
    worst_10s: float
    worst_1s: float
    reported: int


class LimitsTrial:
    """
    Routers' ledgers with a lagging exchange of demands.
    """

    def __init__(self, case: LimitCase) -> None:
        self._case = case
        self._random = Random(case.seed)
        self._ledgers = [Ledger() for _ in range(case.routers)]
        self._reports: list[list[dict[str, float]]] = []
        self._reported = 0
        self._workspaces = [
            WorkspaceSettings(
                f'b/w{number}',
                'b',
                request_rate=LIMIT,
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
            mean=sum(warm) / (RUN_S - 5) / LIMIT,
            worst_10s=worst(admitted, 10 * per_s) / 10 / LIMIT,
            worst_1s=worst(admitted, per_s) / LIMIT,
            reported=self._reported,
        )

    def _tick(self, now: float) -> int:
        if abs(now - round(now)) < TICK_S / 2:
            self._exchange(round(now))
        admitted = 0
        for index, workspace in enumerate(self._workspaces):
            for router in self._routers_at(now):
                ledger = self._ledgers[router]
                if ledger.take(workspace, 1, now) is None:
                    ledger.give_back(workspace.name, 0)
                    admitted += index == 0
        return admitted

    def _routers_at(self, now: float) -> Sequence[int]:
        count = round(HOT * LIMIT * TICK_S)
        case = self._case
        if case.pattern == 'burst' and int(now) % 10 < 6:
            return ()
        if case.pattern == 'one':
            return tuple(repeat(0, count))
        if case.pattern == 'moving':
            return tuple(repeat(int(now / 8) % case.routers, count))
        return [self._random.randrange(case.routers) for _ in range(count)]

    def _exchange(self, second: int) -> None:
        case = self._case
        self._reports.append([each.report(second) for each in self._ledgers])
        self._reported = max(
            self._reported, *(len(each) for each in self._reports[-1])
        )
        heard = self._reports[max(0, len(self._reports) - 1 - round(LAG_S))]
        cut = case.cut_off and second > 15
        for index, ledger in enumerate(self._ledgers):
            if cut and index == 0:
                ledger.hear(Hearing(case.routers, heard=False), {})
                continue
            others: dict[str, float] = {}
            for other, report in enumerate(heard):
                if other != index and not (cut and other == 0):
                    for name, asked in report.items():
                        others[name] = others.get(name, 0) + asked
            ledger.hear(Hearing(case.routers - cut, heard=True), others)


def worst(admitted: Sequence[int], window: int) -> int:
    """
    Return the greatest sum over a window.
    """
    current = sum(admitted[:window])
    greatest = current
    for entering, leaving in zip(admitted[window:], admitted, strict=False):
        current += entering - leaving
        greatest = max(greatest, current)
    return greatest
