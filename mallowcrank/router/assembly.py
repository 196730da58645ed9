"""
Puts the router's parts together.
"""

from collections.abc import Callable
from dataclasses import dataclass

from mallowcrank.clock import Clock, HybridClock
from mallowcrank.metrics import open_metrics
from mallowcrank.requests.idempotency_store import IdempotencyStore
from mallowcrank.requests.key_ownership import RouterId
from mallowcrank.router.known import KnownView
from mallowcrank.router.parts import InFlight, Names, RouterParts
from mallowcrank.router.ports import AdmissionPort, FollowerPort, RoutePort
from mallowcrank.router.pulse import Pulse
from mallowcrank.router.pushing import Pusher
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
    The policies that the router runs with.

    :param follower: follows what engines publish, where the policies use it.
    """

    admission: AdmissionPort
    routes: RoutePort
    follower: FollowerPort | None = None


def assemble(
    settings: RouterSettings, me: RouterId, policies: Policies, alarm: Timer
) -> RouterParts:
    """
    Start the actors and return all parts.

    :param alarm: its clock is the clock of all parts.
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
        known=KnownView(me, clock),
        in_flight=InFlight(),
        names=Names(me),
        pulse=Pulse(clock),
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
    Return a clock of seconds since the epoch that never goes back.
    """
    start = clock.now() - clock.steady()
    return lambda: start + clock.steady()
