"""
What the router's request handlers work with.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from pykka import ActorRef

from mallowcrank.clock import Clock
from mallowcrank.metrics import Metrics
from mallowcrank.requests.keepers import RouterId
from mallowcrank.router.pause_detector import PauseDetector
from mallowcrank.router.ports import AdmissionPort, RoutePort
from mallowcrank.router.pushing import Pusher
from mallowcrank.router.view_store import ViewStore
from mallowcrank.settings import RouterSettings
from mallowcrank.timeline import Timeline


class InFlight:
    """
    Counts requests in flight, and tells whether the router is leaving.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._count = 0
        self._leaving_since: float | None = None
        self._cut = False

    @property
    def count(self) -> int:
        """
        Return the requests in flight.
        """
        return self._count

    @property
    def leaving_since(self) -> float | None:
        """
        Return the steady time at which the stop began, or `None`.
        """
        return self._leaving_since

    @property
    def is_aborted(self) -> bool:
        """
        Tell whether requests in flight have to end at once.
        """
        return self._cut

    def add(self) -> None:
        """
        A request arrived.
        """
        with self._changed:
            self._count += 1

    def remove(self) -> None:
        """
        A request ended.
        """
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def start_leaving(self, now: float) -> None:
        """
        Begin the stop.
        """
        with self._changed:
            if self._leaving_since is None:
                self._leaving_since = now
            self._changed.notify_all()

    def abort(self) -> None:
        """
        End all requests at once.
        """
        with self._changed:
            self._cut = True
            self._changed.notify_all()

    def wait_aborted(self, limit_s: float) -> None:
        """
        Wait for a while, or until the requests are cut.
        """
        with self._changed:
            self._changed.wait_for(lambda: self._cut, max(0, limit_s))

    def wait_idle(self, limit_s: float) -> bool:
        """
        Wait until nothing is in flight or the requests are cut.

        :returns: whether nothing is in flight and nothing was cut.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self._cut or not self._count, max(0, limit_s)
            )
            return not (self._cut or self._count)

    def wait_ended(self, limit_s: float) -> None:
        """
        Wait until what was cut has ended.
        """
        with self._changed:
            self._changed.wait_for(lambda: not self._count, limit_s)


class RequestIds:
    """
    Makes the ids of requests; unique over all routers and their restarts.
    """

    def __init__(self, me: RouterId) -> None:
        self._start = f'{me.name}-{me.incarnation[-8:]}'
        self._numbers = count(1)

    def next_id(self) -> str:
        """
        Return a new id.
        """
        return f'{self._start}-{next(self._numbers)}'


@dataclass(frozen=True)
class RouterParts:
    """
    The router's parts.

    :param epoch_now: seconds since the epoch on a clock that never goes back
        in this process, so that a forgotten key never comes to life again.
    """

    settings: RouterSettings
    me: RouterId
    clock: Clock
    epoch_now: Callable[[], float]
    timeline: Timeline
    metrics: Metrics
    view_store: ViewStore
    in_flight: InFlight
    request_ids: RequestIds
    pause_detector: PauseDetector
    admission: AdmissionPort
    routes: RoutePort
    pusher: Pusher
    driver: ActorRef
    keeper: ActorRef
