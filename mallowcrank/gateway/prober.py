"""
Asking targets for their report: are they there, and how fast are they?

A target is asked when its streams fall silent, when another gateway says so,
and now and then for its pace; then the gateways share the targets among them.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from http import HTTPStatus

import xxhash

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.fleet import Fleet
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.ports import DecodeFailure, Vocabulary
from mallowcrank.gateway.target_channel import (
    ChannelPool,
    ConnectFailure,
    Response,
    fetch_over,
)
from mallowcrank.gateway.targets import Lifetime, Report, Target

ANSWER_S = 0.06  # for a report; it takes some ms, and a slow target's more
LATE_S = 0.01  # for answers that came while this process stood still
AGAIN_S = 0.025  # without an answer, until the target is asked once more
APART_S = 0.25  # between two questions to one suspected target
RECHECK_S = 0.5  # between questions to a silent target
PACE_PERIOD_S = 2.5  # between questions for a pace
TICK_S = 0.25


class Prober:
    """
    Asks targets.
    """

    def __init__(
        self,
        fleet: Fleet,
        pool: ChannelPool,
        vocabulary: Vocabulary,
        meters: Meters,
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self._vocabulary = vocabulary
        self._meters = meters
        self._asked: dict[Lifetime, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def suspect(self, lifetimes: Iterable[Lifetime]) -> None:
        """
        Ask targets, unless they were asked just now.
        """
        for lifetime in lifetimes:
            target = self._fleet.find(lifetime.identity)
            if target and self._is_current(lifetime):
                self._ask_soon(target, APART_S)

    def unreached(self, lifetime: Lifetime, failure: ConnectFailure) -> None:
        """
        Take in that a target could not be reached.
        """
        if failure.is_refused and self._is_current(lifetime):
            self._fleet.seen.see_dead(lifetime, failure.reason, monotonic_s())
        else:
            self.suspect((lifetime,))

    async def report(
        self, target: Target, may_be_kept: bool = True
    ) -> Report | str:
        """
        Ask one target for its report.

        :param may_be_kept: whether a kept channel will do; it may be silent.
        :returns: the report, or why there is none.
        """
        kept = self._pool.take_idle(target.address) if may_be_kept else None
        opened = kept or await self._pool.connect(target.address)
        if isinstance(opened, ConnectFailure):
            return opened.reason
        call = self._vocabulary.report_call(target.identity)
        try:
            answer = await fetch_over(opened, call, ANSWER_S)
        finally:
            self._pool.release(opened)
        if not isinstance(answer, Response) or (
            answer.head.status != HTTPStatus.OK
        ):
            return f'no report in {ANSWER_S} s'
        report = self._vocabulary.read_report(target.identity, answer.body)
        return report.reason if isinstance(report, DecodeFailure) else report

    async def run(
        self,
        service_names: Callable[[], Iterable[str]],
        routers: Callable[[], tuple[str, Sequence[str]]],
    ) -> None:
        """
        Ask for good: silent targets often, others for their pace.
        """
        while True:
            await asyncio.sleep(TICK_S)
            self._recheck_silent()
            mine, hosts = routers()
            for service in service_names():
                for target in self._fleet.known(service):
                    if _is_mine(target, mine, hosts):
                        self._ask_soon(target, PACE_PERIOD_S)

    def _recheck_silent(self) -> None:
        for lifetime in list(self._fleet.seen.dead()):
            target = self._fleet.find(lifetime.identity)
            if target and self._is_current(lifetime):
                self._ask_soon(target, RECHECK_S)

    def _ask_soon(self, target: Target, apart_s: float) -> None:
        now = monotonic_s()
        if now - self._asked.get(target.lifetime, 0) < apart_s:
            return
        self._asked[target.lifetime] = now
        if len(self._asked) > 2 * len(self._fleet) + 100:
            self._asked.clear()
        task = asyncio.get_running_loop().create_task(self._ask(target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, target: Target) -> None:
        if target.is_engine:
            answer = await self._first_report(target)
        else:
            answer = await self._reach(target)
        if self._is_current(target.lifetime):
            self._take(target, answer, monotonic_s())

    async def _first_report(self, target: Target) -> Report | str:
        """
        Ask for a report, and again if none comes at once: a packet may be
        lost, and a kept channel may be silent. Streams that wait for it may
        pause for a quarter of a second, so both end in that time.
        """
        first = asyncio.create_task(self.report(target))
        done, _ = await asyncio.wait((first,), timeout=AGAIN_S)
        if done:
            return first.result()
        second = asyncio.create_task(self.report(target, may_be_kept=False))
        return await _first_report_of({first, second}, ANSWER_S - AGAIN_S)

    async def _reach(self, target: Target) -> str:
        """
        Open a channel to a target that gives no reports.

        :returns: why it can't be reached, or nothing.
        """
        opened = await self._pool.connect(target.address)
        if isinstance(opened, ConnectFailure):
            return opened.reason
        opened.close()
        return ''

    def _is_current(self, lifetime: Lifetime) -> bool:
        target = self._fleet.find(lifetime.identity)
        return target is not None and target.lifetime == lifetime

    def _take(self, target: Target, answer: Report | str, now: float) -> None:
        if isinstance(answer, Report):
            self._meters.probes.labels('answered').inc()
            self._fleet.seen.see_alive(target.lifetime, answer.pace, now)
            self._fleet.learn_layers(target.identity, answer.layers, now)
        elif not answer:
            self._fleet.seen.see_alive(target.lifetime, 1, now)
        else:
            self._meters.probes.labels('unanswered').inc()
            self._fleet.seen.see_dead(target.lifetime, answer, now)


async def _first_report_of(
    asking: set[asyncio.Task[Report | str]], within_s: float
) -> Report | str:
    """
    Return the first report, or why there is none.
    """
    until = monotonic_s() + within_s
    why = f'no report in {ANSWER_S} s'
    while asking:
        left_s = max(LATE_S, until - monotonic_s())
        done, asking = await asyncio.wait(
            asking, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            break
        answers = [task.result() for task in done]
        for answered in answers:
            if isinstance(answered, Report):
                return answered
            why = answered
    for task in asking:
        task.cancel()
    return why


def _is_mine(target: Target, mine: str, hosts: Sequence[str]) -> bool:
    """
    Return whether this gateway is the one that asks a target.
    """
    if not hosts:
        return True
    return mine == max(
        hosts,
        key=lambda host: xxhash.xxh64_intdigest(
            f'{host}{target.identity}'.encode()
        ),
    )
