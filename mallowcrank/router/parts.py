"""
The state and services that the router's request handlers share.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from pykka import ActorRef

from mallowcrank.clock import Clock
from mallowcrank.metrics import Metrics
from mallowcrank.requests.key_ownership import RouterId
from mallowcrank.router.pause_detector import PauseDetector
from mallowcrank.router.ports import AdmissionPort, RoutePort
from mallowcrank.router.pushing import Pusher
from mallowcrank.router.view_store import ViewStore
from mallowcrank.settings import RouterSettings
from mallowcrank.timeline import Timeline


class InFlight:
    """
    Counts requests in flight, and holds whether the router is leaving.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._count = 0
        self._leaving_since: float | None = None
        self._is_aborted = False

    @property
    def count(self) -> int:
        """
        Return the number of requests in flight.
        """
        return self._count

    @property
    def leaving_since(self) -> float | None:
        """
        Return the steady time in seconds at which the stop began, or `None`.
        """
        return self._leaving_since

    @property
    def is_aborted(self) -> bool:
        """
        Return whether requests in flight must end at once.
        """
        return self._is_aborted

    def add(self) -> None:
        """
        Count a request that arrived.
        """
        with self._changed:
            self._count += 1

    def remove(self) -> None:
        """
        Count off a request that ended.
        """
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def start_leaving(self, now: float) -> None:
        """
        Begin the stop.

        :param now: steady time in seconds.
        """
        with self._changed:
            if self._leaving_since is None:
                self._leaving_since = now
            self._changed.notify_all()

    def abort(self) -> None:
        """
        End all requests in flight at once.
        """
        with self._changed:
            self._is_aborted = True
            self._changed.notify_all()

    def wait_aborted(self, limit_s: float) -> None:
        """
        Wait until the requests are aborted.

        :param limit_s: the longest wait in seconds.
        """
        with self._changed:
            self._changed.wait_for(lambda: self._is_aborted, max(0, limit_s))

    def wait_idle(self, limit_s: float) -> bool:
        """
        Wait until no request is in flight or the requests are aborted.

        :param limit_s: the longest wait in seconds.
        :returns: whether no request is in flight and none was aborted.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self._is_aborted or not self._count, max(0, limit_s)
            )
            return not (self._is_aborted or self._count)

    def wait_ended(self, limit_s: float) -> None:
        """
        Wait until the aborted requests have ended.

        :param limit_s: the longest wait in seconds.
        """
        with self._changed:
            self._changed.wait_for(lambda: not self._count, limit_s)


class RequestIds:
    """
    Generates request ids that are unique across routers and their restarts.
    """

    def __init__(self, me: RouterId) -> None:
        self._prefix = f'{me.name}-{me.incarnation[-8:]}'
        self._numbers = count(1)

    def next_id(self) -> str:
        """
        Return a new id.
        """
        return f'{self._prefix}-{next(self._numbers)}'


@dataclass(frozen=True)
class RouterParts:
    """
    The state and services that the router's request handlers share.

    :param epoch_now: returns the seconds since the epoch. This clock never
        goes back within a process, so that a key that was dropped after it
        expired can't be accepted again.
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
