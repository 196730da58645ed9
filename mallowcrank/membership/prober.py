"""
Probes over HTTP.
"""

import json
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from mallowcrank.calls import HttpCaller, Reply
from mallowcrank.membership.events import StartProbe
from mallowcrank.membership.probing import PROBE_TIMEOUT_S
from mallowcrank.membership.reports import (
    MAX_REASON,
    ProbeResult,
    read_status,
)
from mallowcrank.ports import Failure

PROBE_THREADS = 8
MAX_CALLERS = 1024  # kept connections; fewer targets than that are a share
OK = 200
MALFORMED = (KeyError, TypeError, ValueError, AttributeError)


class HttpProber:
    """
    Asks targets for their status, in threads of its own.

    :param tell: called with each outcome.
    """

    def __init__(self, tell: Callable[[ProbeResult], None]) -> None:
        self._tell = tell
        self._callers: dict[str, HttpCaller] = {}
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
        caller = self._callers.get(probe.address)
        if caller is None:
            if len(self._callers) >= MAX_CALLERS:
                self._callers.clear()
            caller = HttpCaller(probe.address, connections=1)
            self._callers[probe.address] = caller
        reply = caller.call('GET', '/status', timeout_s=PROBE_TIMEOUT_S)
        self._tell(read_reply(probe, reply))


def read_reply(probe: StartProbe, reply: Reply | Failure) -> ProbeResult:
    """
    Return what a reply says of a target.
    """
    if isinstance(reply, Failure):
        return ProbeResult(probe.name, reason=reply.reason[:MAX_REASON])
    if reply.status != OK:
        return ProbeResult(probe.name, reason=f'status {reply.status}')
    try:
        return read_status(probe.name, probe.address, json.loads(reply.body))
    except MALFORMED as error:
        return ProbeResult(probe.name, reason=f'malformed status: {error!r}')
