"""
The stand-in for a plain service, such as stock lookups or alerts.
"""

import json
import threading
from http import HTTPStatus

from xxhash import xxh64_hexdigest

from mallowcrank.clock import Clock
from mallowcrank.standins.faults import FaultOrder, Faults
from mallowcrank.standins.registration import Registration
from mallowcrank.standins.settings import ServiceSettings
from mallowcrank.standins.trace import Trace
from mallowcrank.web import Request, Response, Routes, json_response

DRAIN_TIMEOUT_S = 30
QUIET_S = 2  # time without a call after which a leaving replica may stop
DRAIN_POLL_S = 0.05
MS_PER_S = 1000


class Service:
    """
    Serves one replica of a service and counts the calls that it ran.
    """

    def __init__(self, settings: ServiceSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._name = settings.target.standin.name
        self._incarnation = int(clock.now() * MS_PER_S)
        self._lock = threading.Lock()
        self._call_count = 0
        self._in_flight = 0
        self._last_call_at = clock.steady()
        self._leaving = False
        self._trace = Trace(settings.target, self._incarnation, clock)
        self._registration = Registration(settings.target, 'service')
        routes = Routes()
        routes.add('GET', '/status', self.status)
        routes.add('*', '/', self.handle_call)
        self.answer = routes

    def status(self, _request: Request) -> Response:
        """
        Answer `GET /status`.
        """
        return json_response(
            {
                'name': self._name,
                'kind': 'service',
                'availability_zone': self._settings.target.availability_zone,
                'incarnation': self._incarnation,
                'serves': self._settings.target.serves,
                'load': self._in_flight,
                'leaving': self._leaving,
                'ran': self._call_count,
            }
        )

    def start(self, _faults: Faults) -> None:
        """
        Start to register.
        """
        self._registration.start(self._clock)
        self._trace.record('start')

    def handle_call(self, request: Request) -> Response:
        """
        Run one call.
        """
        self._trace.record(
            'call',
            request=request.headers.get('x-mallowcrank-request', ''),
            key=request.headers.get('idempotency-key', ''),
            method=request.method,
            path=request.path,
            body=xxh64_hexdigest(request.body),
        )
        number = self._begin_call()
        self._clock.sleep(self._settings.work_ms / MS_PER_S)
        self._end_call()
        return json_response(
            {
                'name': self._name,
                'service': self._settings.target.serves,
                'number': number,
                'path': request.path,
                'body': _decode_body(request.body),
            },
            HTTPStatus.OK,
        )

    def apply_fault(self, order: FaultOrder) -> None:
        """
        Do nothing: a service implements no faults itself.
        """

    def leave(self) -> None:
        """
        Announce that the replica is leaving.
        """
        if not self._leaving:
            self._leaving = True
            self._trace.record('leaving')
            self._registration.leave()

    def finish(self) -> None:
        """
        Wait until no call is in flight and none has arrived for a while.

        The wait is bounded by a timeout.
        """
        deadline = self._clock.steady() + DRAIN_TIMEOUT_S
        while self._clock.steady() < deadline and not self._is_quiet():
            self._clock.sleep(DRAIN_POLL_S)
        self._trace.record('stop')

    def _begin_call(self) -> int:
        with self._lock:
            self._call_count += 1
            self._in_flight += 1
            self._last_call_at = self._clock.steady()
            return self._call_count

    def _end_call(self) -> None:
        with self._lock:
            self._in_flight -= 1

    def _is_quiet(self) -> bool:
        idle_s = self._clock.steady() - self._last_call_at
        return idle_s > QUIET_S and not self._in_flight


def _decode_body(body: bytes) -> object:
    try:
        return json.loads(body)
    except ValueError:
        return body.decode(errors='replace')
