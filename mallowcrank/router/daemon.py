"""
The router's process: starts all parts, serves and stops gracefully.
"""

import math
import secrets
import threading

from mallowcrank.changes import ViewChanges
from mallowcrank.codec import to_plain
from mallowcrank.context import Environment
from mallowcrank.logs import PartLog
from mallowcrank.requests.key_ownership import RouterId
from mallowcrank.requests.parsing import MS_PER_S
from mallowcrank.router.admin import admin_routes
from mallowcrank.router.api import CallersApi
from mallowcrank.router.assembly import Policies, assemble
from mallowcrank.router.feed import FeedClient, FeedPorts
from mallowcrank.router.parts import RouterParts
from mallowcrank.router.suspects import ReportingRoutes
from mallowcrank.settings import RouterSettings
from mallowcrank.status import ExitStatus
from mallowcrank.streams.driver_messages import UpdateView
from mallowcrank.streams.timer import Timer
from mallowcrank.view import View
from mallowcrank.web import WebServer

INCARNATION_BYTES = 8
ADMIN_THREADS = 4
ABORT_GRACE_S = 3  # for error events to reach callers
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
        self._me = RouterId(settings.host_settings.host, incarnation)
        self._alarm = Timer(self._clock)
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
                self._parts.view_store, self._apply_view, self._make_report
            ),
        )
        self._follower = policies.follower
        self._stop_requested = threading.Event()
        self._caller_server = WebServer(
            settings.listen, CallersApi(self._parts).routes(), settings.threads
        )
        self._admin_server = WebServer(
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
        Return the number of callers' connections that wait for a thread.
        """
        return self._caller_server.waiting

    def start(self) -> None:
        """
        Start all parts and serve.

        :raises OSError: when an address can't be bound.
        """
        self._alarm.start()
        self._parts.pause_detector.start()
        self._feed.start()
        if self._follower is not None:
            self._follower.start()
        # The admin server starts last: a program that finds it ready may send
        # callers to the router.
        self._caller_server.start()
        self._admin_server.start()
        self._log.say(
            'Serving',
            address=self._caller_server.address,
            admin=self._admin_server.address,
        )

    def request_stop(self) -> None:
        """
        Start a graceful stop. A second call aborts the requests in flight.
        """
        if self._stop_requested.is_set():
            self._parts.in_flight.abort()
        self._stop_requested.set()

    def run(self) -> ExitStatus:
        """
        Serve until a stop is requested, then stop.
        """
        self._stop_requested.wait()
        in_flight = self._parts.in_flight
        started = self._clock.steady()
        in_flight.start_leaving(started)
        self._parts.timeline.record('router', 'leaving')
        self._log.say('Leaving', in_flight=in_flight.count)
        self._feed.report_now()
        self._wait_for_kept_addresses(started)
        left_s = started + self._settings.drain_limit_s - self._clock.steady()
        is_clean = in_flight.wait_idle(left_s)
        if not is_clean:
            in_flight.abort()
            in_flight.wait_ended(ABORT_GRACE_S)
        self._close()
        self._log.say('Stopped', whole=is_clean)
        return ExitStatus.SUCCESS if is_clean else ExitStatus.HARD_STOP

    def _wait_for_kept_addresses(self, started: float) -> None:
        """
        Wait until no caller keeps this router's address any more.

        :param started: steady time in seconds at which the stop began.
        """
        end = started + self._settings.keep_s + ADDRESS_KEEP_MARGIN_S
        end = min(end, started + self._settings.drain_limit_s)
        self._parts.in_flight.wait_aborted(end - self._clock.steady())

    def _close(self) -> None:
        self._caller_server.stop()
        self._admin_server.stop()
        self._feed.stop()
        if self._follower is not None:
            self._follower.stop()
        self._alarm.stop()
        self._parts.pause_detector.stop()
        self._parts.driver.stop(block=False)
        self._parts.keeper.stop(block=False)

    def _report_now(self) -> None:
        self._feed.report_now()

    def _apply_view(self, view: View, changes: ViewChanges) -> None:
        parts = self._parts
        is_new_version = view.version != parts.view_store.view.version
        parts.view_store.apply(view, changes)
        parts.routes.apply_view(view, changes)
        parts.admission.apply_view(view, changes)
        parts.driver.tell(UpdateView(view, changes))
        if is_new_version:
            self._feed.report_now()

    def _make_report(self) -> dict[str, object]:
        in_flight = self._parts.in_flight
        store = self._parts.view_store
        self._record_gauges()
        return {
            'version': store.view.version,
            'load': in_flight.count,
            'in_flight': in_flight.count,
            'leaving': in_flight.leaving_since is not None,
            'suspects': to_plain(list(self._routes.pop_suspects())),
            'demand': dict(self._parts.admission.demands()),
        }

    def _record_gauges(self) -> None:
        store = self._parts.view_store
        metrics = self._parts.metrics
        metrics.gauge('in_flight', self._parts.in_flight.count)
        metrics.gauge('version', store.view.version)
        metrics.gauge('targets', len(store.view.targets))
        if math.isfinite(store.age_s):
            metrics.gauge('view_age', store.age_s * MS_PER_S)
