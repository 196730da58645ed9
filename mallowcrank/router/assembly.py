"""
Builds the router's parts.
"""

from collections.abc import Callable
from dataclasses import dataclass

from mallowcrank.clock import Clock, HybridClock
from mallowcrank.metrics import open_metrics
from mallowcrank.requests.idempotency_store import IdempotencyStore
from mallowcrank.requests.key_ownership import RouterId
from mallowcrank.router.parts import InFlight, RequestIds, RouterParts
from mallowcrank.router.pause_detector import PauseDetector
from mallowcrank.router.ports import AdmissionPort, FollowerPort, RoutePort
from mallowcrank.router.pushing import Pusher
from mallowcrank.router.view_store import ViewStore
from mallowcrank.settings import RouterSettings
from mallowcrank.streams.driver import StreamDriver
from mallowcrank.streams.engine_http import HttpEngine
from mallowcrank.streams.engine_pool import PoolSettings
from mallowcrank.streams.table import DriverPorts
from mallowcrank.streams.timer import Timer
from mallowcrank.timeline import Timeline
from mallowcrank.view import Target


@dataclass(frozen=True)
class Policies:
    """
    The policies that the router uses.

    :param follower: reads the events that engines publish; `None` if the
        policies don't use them.
    """

    admission: AdmissionPort
    routes: RoutePort
    follower: FollowerPort | None = None


def assemble(
    settings: RouterSettings, me: RouterId, policies: Policies, alarm: Timer
) -> RouterParts:
    """
    Start the actors and return all parts.

    :param alarm: all parts use its clock.
    """
    clock = alarm.clock
    timeline = Timeline(settings.host_settings.host, HybridClock(clock))
    metrics = open_metrics(settings.host_settings.statsd, 'router')
    pool = PoolSettings(_open_engine, alarm, clock)
    ports = DriverPorts(pool, policies.routes, timeline, metrics)
    return RouterParts(
        settings=settings,
        me=me,
        clock=clock,
        epoch_now=_anchored_epoch(clock),
        timeline=timeline,
        metrics=metrics,
        view_store=ViewStore(me, clock),
        in_flight=InFlight(),
        request_ids=RequestIds(me),
        pause_detector=PauseDetector(clock),
        admission=policies.admission,
        routes=policies.routes,
        pusher=Pusher(),
        driver=StreamDriver.start(ports),
        keeper=IdempotencyStore.start(),
    )


def _open_engine(target: Target) -> HttpEngine:
    return HttpEngine(target.address)


def _anchored_epoch(clock: Clock) -> Callable[[], float]:
    """
    Return a clock that gives seconds since the epoch and never goes back.
    """
    start = clock.now() - clock.steady()
    return lambda: start + clock.steady()
