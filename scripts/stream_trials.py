"""
Streams on stand-in engines, driven in this process without a router.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import Any

from mallowcrank.clock import HybridClock, SystemClock
from mallowcrank.metrics import Metrics, NoMetrics
from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.router.ports import Route, RouteDemand, RoutePort, Stage
from mallowcrank.streams.costs import TransferSpeed
from mallowcrank.streams.driver import StreamDriver
from mallowcrank.streams.driver_messages import OpenStream, UpdateView
from mallowcrank.streams.engine import CallLimits
from mallowcrank.streams.engine_http import HttpEngine
from mallowcrank.streams.engine_pool import PoolSettings
from mallowcrank.streams.state import Task
from mallowcrank.streams.table import DriverPorts
from mallowcrank.streams.timer import Timer
from mallowcrank.streams.token_queue import StreamEnd, TokenQueue
from mallowcrank.timeline import Timeline
from mallowcrank.view import Target, TargetKind, View
from scripts.fleet import Fleet, get_json

LAYERS = 24
LIMIT_S = 60
LETTERS = 256
_numbers = count(1)


class FixedRoutes:
    """
    Gives the first of some routes that avoids what has to be avoided.
    """

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._routes = routes

    def choose_path(self, demand: RouteDemand) -> Route | Refused:
        """
        Return the first route that fits.
        """
        for route in self._routes:
            if not any(each.target in demand.avoid for each in route.stages):
                return route
        return Refused(Reason.NO_ROUTE, Ran.NO, 'no route')

    def release_path(self, stream: str) -> None:
        """
        Do nothing.
        """

    def succeeded(self, target: str, seconds: float) -> None:
        """
        Do nothing.
        """

    def failed(self, target: str, incarnation: int, reason: str) -> None:
        """
        Do nothing.
        """


@dataclass(frozen=True)
class Trial:
    """
    A driver and the engines that it drives.
    """

    targets: tuple[Target, ...]
    routes: tuple[Route, ...]
    limits: CallLimits = CallLimits()
    speed: TransferSpeed = TransferSpeed()

    def start(
        self,
        routes: RoutePort | None = None,
        metrics: Metrics | None = None,
    ) -> Any:
        """
        Start a driver.

        :param routes: by default, the first of the routes that fits.
        """
        clock = SystemClock()
        alarm = Timer(clock)
        alarm.start()
        pool = PoolSettings(
            lambda target: HttpEngine(target.address),
            alarm,
            clock,
            self.limits,
        )
        timeline = Timeline('bench', HybridClock(clock))
        ports = DriverPorts(
            pool,
            routes or FixedRoutes(self.routes),
            timeline,
            metrics or NoMetrics(),
            self.speed,
        )
        driver = StreamDriver.start(ports)
        targets = {target.name: target for target in self.targets}
        driver.tell(UpdateView(View(targets=targets)))
        return driver


def open_stream(driver: Any, prompt: int, tokens: int) -> TokenQueue:
    """
    Start a stream with a prompt of so many tokens.
    """
    number = next(_numbers)
    name = f's{number}'
    # No two prompts share a prefix that an engine's cache could hold.
    task = Task(name, (number % LETTERS,) * prompt, tokens)
    outlet = TokenQueue()
    demand = RouteDemand(name, 'klang/quotes', 'm')
    deadline = time.monotonic() + LIMIT_S
    driver.tell(OpenStream(task, name, demand, deadline, outlet))
    return outlet


def collect_token_times(
    outlet: TokenQueue,
    break_at: int = 0,
    fault: Callable[[], None] = lambda: None,
) -> list[float]:
    """
    Return the times at which a stream's tokens came.

    :param break_at: tokens after which the fault is ordered.
    """
    times: list[float] = []
    while True:
        for given in outlet.get_available(LIMIT_S):
            if isinstance(given, StreamEnd):
                if given.refused is not None:
                    raise RuntimeError(given.refused.message)
                return times
            times.append(time.perf_counter())
            if len(times) == break_at:
                fault()


def start_engines(
    fleet: Fleet, step_ms: float, slots: int, *layers: tuple[int, int]
) -> tuple[Target, ...]:
    """
    Start an engine for each range of layers.
    """
    targets = []
    for number, (first, last) in enumerate(layers):
        name = f'e{len(fleet.folder.name)}-{step_ms:g}-{number}'
        address = f'{fleet.ip(100 + number)}:{9100 + int(step_ms)}'
        fleet.start(
            name, 'standin', 'engine', '--name', name, '--listen', address,
            '--availability-zone', 'a', '--serves', 'm',
            '--layers', f'{first}-{last}', '--total-layers', str(LAYERS),
            '--step-ms', str(step_ms), '--slots', str(slots),
        )  # fmt: skip
        targets.append(
            Target(
                name,
                TargetKind.ENGINE,
                address,
                'a',
                'm',
                1,
                first_layer=first,
                last_layer=last,
                step_ms=step_ms,
            )  # fmt: skip
        )
    for target in targets:
        get_json(target.address, '/status')
    return tuple(targets)


def make_route(*targets: Target) -> Route:
    """
    Return the route over targets, each for its layers not yet covered.
    """
    stages, first = [], 0
    for target in targets:
        stages.append(Stage(target.name, 1, first, target.last_layer))
        first = target.last_layer + 1
    return Route(tuple(stages))
