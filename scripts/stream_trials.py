"""
Streams on stand-in engines, run by a stream driver in this process without a
router.
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
STREAM_TIMEOUT_S = 60
TOKEN_VALUES = 256
_numbers = count(1)


class FixedRoutes:
    """
    Chooses the first route without targets that have to be avoided.
    """

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._routes = routes

    def choose_path(self, demand: RouteDemand) -> Route | Refused:
        """
        Return the first route that avoids the demand's excluded targets.
        """
        for route in self._routes:
            if not any(each.target in demand.avoid for each in route.stages):
                return route
        return Refused(Reason.NO_ROUTE, Ran.NO, 'no route')

    def release_path(self, stream: str) -> None:
        """
        Do nothing.
        """

    def record_success(self, target: str, seconds: float) -> None:
        """
        Do nothing.
        """

    def record_failure(
        self, target: str, incarnation: int, reason: str
    ) -> None:
        """
        Do nothing.
        """


@dataclass(frozen=True)
class Trial:
    """
    Settings of a stream driver and the engines that it uses.
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

        :param routes: chooses routes; by default, the first that fits.
        """
        clock = SystemClock()
        timer = Timer(clock)
        timer.start()
        pool = PoolSettings(
            lambda target: HttpEngine(target.address),
            timer,
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
    Start a stream.

    :param prompt: length of the prompt in tokens.
    :param tokens: length of the answer in tokens.
    """
    number = next(_numbers)
    name = f's{number}'
    # Prompts of successive streams share no prefix that an engine could cache.
    task = Task(name, (number % TOKEN_VALUES,) * prompt, tokens)
    token_queue = TokenQueue()
    demand = RouteDemand(name, 'klang/quotes', 'm')
    deadline = time.monotonic() + STREAM_TIMEOUT_S
    driver.tell(OpenStream(task, name, demand, deadline, token_queue))
    return token_queue


def collect_token_times(
    token_queue: TokenQueue,
    fault_after: int = 0,
    fault: Callable[[], None] = lambda: None,
) -> list[float]:
    """
    Return the times in seconds at which a stream's tokens arrived.

    :param fault_after: number of tokens after which the fault is injected.
    :param fault: injects the fault.
    :raises RuntimeError: if the stream is refused.
    """
    times: list[float] = []
    while True:
        for received in token_queue.get_available(STREAM_TIMEOUT_S):
            if isinstance(received, StreamEnd):
                if received.refused is not None:
                    raise RuntimeError(received.refused.message)
                return times
            times.append(time.perf_counter())
            if len(times) == fault_after:
                fault()


def start_engines(
    fleet: Fleet, step_ms: float, slots: int, *layers: tuple[int, int]
) -> tuple[Target, ...]:
    """
    Start an engine for each range of layers.

    :param step_ms: step time in milliseconds.
    :param layers: first and last layer of each engine.
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
    Return the route over targets; each runs the layers that the earlier ones
    don't hold.
    """
    stages, first = [], 0
    for target in targets:
        stages.append(Stage(target.name, 1, first, target.last_layer))
        first = target.last_layer + 1
    return Route(tuple(stages))
