"""
Probes over HTTP.
"""

import json
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException

from mallowcrank.calls import Reply
from mallowcrank.membership.events import StartProbe
from mallowcrank.membership.probing import PROBE_TIMEOUT_S
from mallowcrank.membership.reports import (
    MAX_REASON_CHARS,
    ProbeResult,
    parse_status,
)
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran

PROBE_THREADS = 8
MAX_IDLE_CONNECTIONS = 1024  # connections; fewer targets than that are a share
MAX_IDLE_S = 5  # an idle connection may have gone silent
OK = 200
PARSE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


class PersistentConnection:
    """
    Asks one target over a connection that is kept.

    It is for small answers that come often: it costs a fraction of what
    `HttpCaller` does.
    """

    def __init__(
        self, address: str, steady: Callable[[], float] = time.monotonic
    ) -> None:
        host, _, port = address.rpartition(':')
        self._connection = HTTPConnection(
            host, int(port), timeout=PROBE_TIMEOUT_S
        )
        self._steady = steady
        self._last_success = steady()

    def get(self, path: str) -> Reply | Failure:
        """
        Make one call; never a second one.
        """
        if self._steady() - self._last_success > MAX_IDLE_S:
            self._connection.close()
        try:
            self._connection.request('GET', path)
            response = self._connection.getresponse()
            body = response.read()
        except (HTTPException, OSError) as error:
            self._connection.close()
            return Failure(f'no answer: {error!r}', Ran.UNKNOWN)
        self._last_success = self._steady()
        return Reply(response.status, body)

    def close(self) -> None:
        """
        Close the connection; the next call opens another one.
        """
        self._connection.close()


class HttpProber:
    """
    Asks targets for their status, in threads of its own.

    :param tell: called with each outcome.
    """

    def __init__(self, on_result: Callable[[ProbeResult], None]) -> None:
        self._on_result = on_result
        self._idle_connections: dict[str, PersistentConnection] = {}
        self._pool = ThreadPoolExecutor(PROBE_THREADS, 'probe')

    def start(self, probe: StartProbe) -> None:
        """
        Probe a target.
        """
        self._pool.submit(self._probe, probe)

    def stop(self) -> None:
        """
        Begin no more probes.
        """
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _probe(self, probe: StartProbe) -> None:
        # One that is in use meanwhile is put back by its own probe.
        connection = self._idle_connections.pop(probe.address, None)
        if connection is None:
            connection = PersistentConnection(probe.address)
        reply = connection.get('/status')
        if len(self._idle_connections) < MAX_IDLE_CONNECTIONS:
            self._idle_connections[probe.address] = connection
        self._on_result(parse_reply(probe, reply))


def parse_reply(probe: StartProbe, reply: Reply | Failure) -> ProbeResult:
    """
    Return what a reply says of a target.
    """
    if isinstance(reply, Failure):
        return ProbeResult(probe.name, reason=reply.reason[:MAX_REASON_CHARS])
    if reply.status != OK:
        return ProbeResult(probe.name, reason=f'status {reply.status}')
    try:
        return parse_status(probe.name, probe.address, json.loads(reply.body))
    except PARSE_ERRORS as error:
        return ProbeResult(probe.name, reason=f'malformed status: {error!r}')
