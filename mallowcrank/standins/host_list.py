"""
The host-list stand-in: a lagging list of live and leaving hosts.
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

FORGET_S = 10  # without a registration until a host is taken off the list
PERIOD_S = 0.5


class HostList:
    """
    Serves the list as it was a while ago.
    """

    def __init__(self, settings: HostListSettings, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._hosts: dict[str, ListedHost] = {}
        self._heard: dict[str, float] = {}
        self._shown = LaggedValue(settings.lag_s, ())
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
            shown = self._shown.read(self._clock.steady())
        return json_response({'hosts': to_plain(shown)})

    def register(self, request: Request) -> Response:
        """
        Answer `POST /register`.
        """
        return self._take(request, leaving=False)

    def register_leaving(self, request: Request) -> Response:
        """
        Answer `POST /leave`.
        """
        return self._take(request, leaving=True)

    def start(self, _faults: Faults) -> None:
        """
        Start to take silent hosts off the list.
        """
        run_periodically(self._expire, PERIOD_S, self._clock)

    def apply_fault(self, order: FaultOrder) -> None:
        """
        Do nothing: the list has no faults of its own.
        """

    def leave(self) -> None:
        """
        Do nothing: the list is no target.
        """

    def finish(self) -> None:
        """
        Do nothing: a registration is done at once.
        """

    def _take(self, request: Request, *, leaving: bool) -> Response:
        try:
            host = from_plain(request.json(), ListedHost)
        except (ValueError, BaseValidationError) as error:
            return json_response({'error': str(error)}, 400)
        with self._lock:
            self._hosts[host.name] = replace(host, leaving=leaving)
            self._heard[host.name] = self._clock.steady()
            self._publish()
        return json_response({})

    def _expire(self) -> None:
        oldest = self._clock.steady() - FORGET_S
        with self._lock:
            silent = [
                name for name, heard in self._heard.items() if heard < oldest
            ]
            for name in silent:
                self._hosts.pop(name)
                self._heard.pop(name)
            self._publish()

    def _publish(self) -> None:
        self._shown.set(tuple(self._hosts.values()), self._clock.steady())
