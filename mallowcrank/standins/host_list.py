"""
The stand-in for the host list: a lagging list of live and leaving hosts.
"""

import threading
from dataclasses import replace

from cattrs import BaseValidationError

from mallowcrank.clock import Clock
from mallowcrank.codec import from_plain, to_plain
from mallowcrank.ports import ListedHost
from mallowcrank.standins.faults import FaultOrder, Faults
from mallowcrank.standins.lagged_value import LaggedValue
from mallowcrank.standins.program import run_periodically
from mallowcrank.standins.settings import HostListSettings
from mallowcrank.web import Request, Response, Routes, json_response

REGISTRATION_TTL_S = 10
EXPIRY_PERIOD_S = 0.5


class HostList:
    """
    Serves the list of registered hosts as it was some time ago.
    """

    def __init__(self, settings: HostListSettings, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._hosts: dict[str, ListedHost] = {}
        self._registered_at: dict[str, float] = {}
        self._visible_hosts = LaggedValue(settings.lag_s, ())
        routes = Routes()
        routes.add('GET', '/hosts', self.hosts)
        routes.add('POST', '/register', self.register)
        routes.add('POST', '/leave', self.register_leaving)
        self.answer = routes

    def hosts(self, _request: Request) -> Response:
        """
        Answer `GET /hosts`.
        """
        with self._lock:
            listed = self._visible_hosts.read(self._clock.steady())
        return json_response({'hosts': to_plain(listed)})

    def register(self, request: Request) -> Response:
        """
        Answer `POST /register`.
        """
        return self._register(request, leaving=False)

    def register_leaving(self, request: Request) -> Response:
        """
        Answer `POST /leave`.
        """
        return self._register(request, leaving=True)

    def start(self, _faults: Faults) -> None:
        """
        Start to remove hosts whose registration has expired.
        """
        run_periodically(self._expire, EXPIRY_PERIOD_S, self._clock)

    def apply_fault(self, order: FaultOrder) -> None:
        """
        Do nothing: the list implements no faults itself.
        """

    def leave(self) -> None:
        """
        Do nothing: the list is not a target.
        """

    def finish(self) -> None:
        """
        Do nothing: registrations complete at once.
        """

    def _register(self, request: Request, *, leaving: bool) -> Response:
        try:
            host = from_plain(request.json(), ListedHost)
        except (ValueError, BaseValidationError) as error:
            return json_response({'error': str(error)}, 400)
        with self._lock:
            self._hosts[host.name] = replace(host, leaving=leaving)
            self._registered_at[host.name] = self._clock.steady()
            self._publish()
        return json_response({})

    def _expire(self) -> None:
        cutoff_s = self._clock.steady() - REGISTRATION_TTL_S
        with self._lock:
            expired = [
                name
                for name, registered_at in self._registered_at.items()
                if registered_at < cutoff_s
            ]
            for name in expired:
                self._hosts.pop(name)
                self._registered_at.pop(name)
            self._publish()

    def _publish(self) -> None:
        self._visible_hosts.set(
            tuple(self._hosts.values()), self._clock.steady()
        )
