"""
HTTP probes of targets.
"""

import json
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException, HTTPResponse

from mallowcrank.bounded_reading import BoundedAnswers, Bounds, read_body
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
MAX_IDLE_CONNECTIONS = 1024  # more than the targets that one agent probes
MAX_STATUS_BYTES = 1024 * 1024  # of an answer
MAX_IDLE_S = 5  # an older connection may be dead and is reopened
OK = 200
PARSE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


class ProbeConnection(BoundedAnswers, HTTPConnection):
    """
    A connection whose answers are bounded.
    """

    max_answer_bytes = MAX_STATUS_BYTES


class PersistentConnection:
    """
    A persistent HTTP connection to one target.

    It is meant for small, frequent responses, which it reads at a fraction of
    the cost of `HttpCaller`.

    :param address: `HOST:PORT` of the target.
    :param steady: returns the seconds of a monotonic clock.
    """

    def __init__(
        self, address: str, steady: Callable[[], float] = time.monotonic
    ) -> None:
        host, _, port = address.rpartition(':')
        self._connection = ProbeConnection(
            host, int(port), timeout=PROBE_TIMEOUT_S
        )
        self._steady = steady
        self._last_success = steady()

    def get(self, path: str) -> Reply | Failure:
        """
        Send one request, without retries.

        It fails after `PROBE_TIMEOUT_S`, or at an answer that is too long.
        """
        deadline = time.monotonic() + PROBE_TIMEOUT_S
        if self._steady() - self._last_success > MAX_IDLE_S:
            self._connection.close()
        try:
            response = self._request(path, deadline)
            body = read_body(response, MAX_STATUS_BYTES)
        except (HTTPException, OSError) as error:
            self._connection.close()
            return Failure(f'no answer: {error!r}', Ran.UNKNOWN)
        self._last_success = self._steady()
        return Reply(response.status, body)

    def close(self) -> None:
        """
        Close the connection; the next request opens a new one.
        """
        self._connection.close()

    def _request(self, path: str, deadline: float) -> HTTPResponse:
        """
        Send a request and read the head of its answer.

        :raises HTTPException: if the answer is malformed or too long.
        :raises OSError: if the connection breaks or times out.
        """
        if self._connection.sock is not None:
            self._connection.sock.settimeout(PROBE_TIMEOUT_S)
        self._connection.request('GET', path)
        response = self._connection.getresponse()
        self._connection.reader.bounds = Bounds(MAX_STATUS_BYTES, deadline)
        return response


class HttpProber:
    """
    Requests the status of targets in a thread pool.

    :param on_result: called with each result, from the pool's threads.
    """

    def __init__(self, on_result: Callable[[ProbeResult], None]) -> None:
        self._on_result = on_result
        self._idle_connections: dict[str, PersistentConnection] = {}
        self._pool = ThreadPoolExecutor(PROBE_THREADS, 'probe')

    def start(self, probe: StartProbe) -> None:
        """
        Queue a probe of a target.
        """
        self._pool.submit(self._probe, probe)

    def stop(self) -> None:
        """
        Start no more probes.
        """
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _probe(self, probe: StartProbe) -> None:
        # A connection in use is absent here; its own probe puts it back.
        connection = self._idle_connections.pop(probe.address, None)
        if connection is None:
            connection = PersistentConnection(probe.address)
        reply = connection.get('/status')
        if len(self._idle_connections) < MAX_IDLE_CONNECTIONS:
            self._idle_connections[probe.address] = connection
        self._on_result(parse_reply(probe, reply))


def parse_reply(probe: StartProbe, reply: Reply | Failure) -> ProbeResult:
    """
    Convert a target's reply to a probe result.
    """
    if isinstance(reply, Failure):
        return ProbeResult(probe.name, reason=reply.reason[:MAX_REASON_CHARS])
    if reply.status != OK:
        return ProbeResult(probe.name, reason=f'status {reply.status}')
    try:
        return parse_status(probe.name, probe.address, json.loads(reply.body))
    except PARSE_ERRORS as error:
        return ProbeResult(probe.name, reason=f'malformed status: {error!r}')
