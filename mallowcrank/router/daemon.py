"""
The router's life: start all parts, serve, and stop gracefully.
"""

import math
import secrets
import threading

from mallowcrank.changes import ViewChanges
from mallowcrank.codec import to_plain
from mallowcrank.context import Environment
from mallowcrank.logs import PartLog
from mallowcrank.requests.intake import MILLISECONDS
from mallowcrank.requests.keepers import RouterId
from mallowcrank.router.admin import admin_routes
from mallowcrank.router.api import CallersApi
from mallowcrank.router.assembly import Policies, assemble
from mallowcrank.router.feed import FeedClient, FeedPorts
from mallowcrank.router.parts import RouterParts
from mallowcrank.router.suspects import ReportingRoutes
from mallowcrank.settings import RouterSettings
from mallowcrank.status import ExitStatus
from mallowcrank.streams.alarm import Alarm
from mallowcrank.streams.orders import TakeView
from mallowcrank.view import View
from mallowcrank.web import WebServer

INCARNATION_BYTES = 8
ADMIN_THREADS = 4
ABORT_GRACE_S = 3  # for error events to reach callers after a hard stop
ADDRESS_KEEP_MARGIN_S = 1


class Router:
    """
    One router process.
    """

    def __init__(
        self,
        settings: RouterSettings,
        policies: Policies,
        environment: Environment,
    ) -> None:
        self._settings = settings
        self._log = PartLog('router')
        self._clock = environment.clock
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._me = RouterId(settings.on.host, incarnation)
        self._alarm = Alarm(self._clock)
        self._routes = ReportingRoutes(policies.routes, self._report_now)
        self._parts = assemble(
            settings,
            self._me,
            Policies(policies.admission, self._routes),
            self._alarm,
        )
        self._feed = FeedClient(
            settings,
            self._me,
            FeedPorts(
                self._parts.view_store, self._take_view, self._make_report
            ),
        )
        self._follower = policies.follower
        self._stop_asked = threading.Event()
        self._callers = WebServer(
            settings.listen, CallersApi(self._parts).routes(), settings.threads
        )
        self._operators = WebServer(
            settings.admin,
            admin_routes(self._parts, self.request_stop),
            ADMIN_THREADS,
        )

    @property
    def parts(self) -> RouterParts:
        """
        Return the router's parts.
        """
        return self._parts

    @property
    def waiting_connections(self) -> int:
        """
        Return the callers' connections that wait for a thread.
        """
        return self._callers.waiting

    def start(self) -> None:
        """
        Start to serve.

        :raises OSError: when an address can't be bound.
        """
        self._alarm.start()
        self._parts.pause_detector.start()
        self._feed.start()
        if self._follower is not None:
            self._follower.start()
        # Who is told that the router is up may send callers to it.
        self._callers.start()
        self._operators.start()
        self._log.say(
            'Serving',
            address=self._callers.address,
            admin=self._operators.address,
        )

    def request_stop(self) -> None:
        """
        Start a graceful stop; asked again, cut what is in flight.
        """
        if self._stop_asked.is_set():
            self._parts.in_flight.abort()
        self._stop_asked.set()

    def run(self) -> ExitStatus:
        """
        Serve until a stop is asked for, then stop.
        """
        self._stop_asked.wait()
        in_flight = self._parts.in_flight
        started = self._clock.steady()
        in_flight.start_leaving(started)
        self._parts.timeline.record('router', 'leaving')
        self._log.say('Leaving', in_flight=in_flight.count)
        self._feed.report_now()
        self._wait_kept(started)
        left = started + self._settings.drain_limit_s - self._clock.steady()
        is_whole = in_flight.wait_idle(left)
        if not is_whole:
            in_flight.abort()
            in_flight.wait_ended(ABORT_GRACE_S)
        self._close()
        self._log.say('Stopped', whole=is_whole)
        return ExitStatus.SUCCESS if is_whole else ExitStatus.HARD_STOP

    def _wait_kept(self, started: float) -> None:
        """
        Serve until no caller keeps this router's address any more.
        """
        end = started + self._settings.keep_s + ADDRESS_KEEP_MARGIN_S
        end = min(end, started + self._settings.drain_limit_s)
        self._parts.in_flight.wait_aborted(end - self._clock.steady())

    def _close(self) -> None:
        self._callers.stop()
        self._operators.stop()
        self._feed.stop()
        if self._follower is not None:
            self._follower.stop()
        self._alarm.stop()
        self._parts.pause_detector.stop()
        self._parts.driver.stop(block=False)
        self._parts.keeper.stop(block=False)

    def _report_now(self) -> None:
        self._feed.report_now()

    def _take_view(self, view: View, changes: ViewChanges) -> None:
        parts = self._parts
        is_new_version = view.version != parts.view_store.view.version
        parts.view_store.apply(view, changes)
        parts.routes.apply_view(view, changes)
        parts.admission.apply_view(view, changes)
        parts.driver.tell(TakeView(view, changes))
        if is_new_version:
            self._feed.report_now()

    def _make_report(self) -> dict[str, object]:
        in_flight = self._parts.in_flight
        known = self._parts.view_store
        self._measure()
        return {
            'version': known.view.version,
            'load': in_flight.count,
            'in_flight': in_flight.count,
            'leaving': in_flight.leaving_since is not None,
            'suspects': to_plain(list(self._routes.pop_suspects())),
            'demand': dict(self._parts.admission.demands()),
        }

    def _measure(self) -> None:
        known = self._parts.view_store
        metrics = self._parts.metrics
        metrics.gauge('in_flight', self._parts.in_flight.count)
        metrics.gauge('version', known.view.version)
        metrics.gauge('targets', len(known.view.targets))
        if math.isfinite(known.age_s):
            metrics.gauge('view_age', known.age_s * MILLISECONDS)
