"""
Membership and gossip of an agent that knows no other agent.
"""

import json
import threading
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from mallowcrank.agent.ports import Body, Handler, Listener
from mallowcrank.calls import HttpCaller
from mallowcrank.ports import Failure, ListedHost
from mallowcrank.view import Peer, Target, TargetKind, TargetState

PROBE_TIMEOUT_S = 1
PROBE_THREADS = 8
OK = 200


class NoGossip:
    """
    Gossip without peers.
    """

    def send(self, topic: str, body: Body) -> None:
        """
        Send to nobody.
        """

    def ask(
        self, peer: str, topic: str, body: Body, timeout_s: float
    ) -> Body | None:
        """
        Return no answer.
        """

    def addresses(self) -> tuple[str, ...]:
        """
        Return no addresses.
        """
        return ()

    def handle(self, topic: str, handler: Handler) -> None:
        """
        Ignore the handler.
        """


class LoneMembership:
    """
    Targets of the platform's list, each asked for its status.
    """

    def __init__(
        self, call: Callable[[str], Mapping[str, Any] | None] | None = None
    ) -> None:
        self._call = call or ask_status
        self._targets: dict[str, Target] = {}
        self._peers: dict[str, Peer] = {}
        self._listeners: list[Listener] = []
        self._lock = threading.Lock()
        self._pool = ThreadPoolExecutor(PROBE_THREADS)

    def targets(self) -> Mapping[str, Target]:
        """
        Return the targets that answered.
        """
        with self._lock:
            return dict(self._targets)

    def peers(self) -> Mapping[str, Peer]:
        """
        Return this host's router.
        """
        with self._lock:
            return dict(self._peers)

    def apply_report(self, report: Body) -> None:
        """
        Remember this host's router.
        """
        if report.get('type') != 'hello':
            return
        peer = Peer(
            name=str(report['router']),
            address=str(report['address']),
            availability_zone=str(report['availability_zone']),
            incarnation=str(report['incarnation']),
        )
        with self._lock:
            self._peers[peer.name] = peer
        self._tell()

    def apply_host_list(self, hosts: tuple[ListedHost, ...]) -> None:
        """
        Ask each listed target for its status.
        """
        answers = self._pool.map(self._call, [each.address for each in hosts])
        found = {
            host.name: _target(host, answer)
            for host, answer in zip(hosts, answers, strict=True)
            if answer
        }
        with self._lock:
            changed = found != self._targets
            self._targets = found
        if changed:
            self._tell()

    def announce_leaving(self) -> None:
        """
        Tell nobody.
        """

    def on_change(self, listener: Listener) -> None:
        """
        Call a listener after targets or peers have changed.
        """
        self._listeners.append(listener)

    def start(self) -> None:
        """
        Start nothing.
        """

    def stop(self) -> None:
        """
        Stop the probes.
        """
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()


def ask_status(address: str) -> Mapping[str, Any] | None:
    """
    Return a target's own status, or `None` where it gives none.
    """
    reply = HttpCaller(address, connections=1).call(
        'GET', '/status', timeout_s=PROBE_TIMEOUT_S
    )
    if isinstance(reply, Failure) or reply.status != OK:
        return None
    try:
        return json.loads(reply.body)
    except ValueError:
        return None


def _target(host: ListedHost, status: Mapping[str, Any]) -> Target:
    leaving = host.leaving or bool(status.get('leaving'))
    return Target(
        name=host.name,
        kind=TargetKind(host.kind),
        address=host.address,
        availability_zone=host.availability_zone,
        serves=str(status.get('serves', '')),
        incarnation=int(status.get('incarnation', 0)),
        state=TargetState.LEAVING if leaving else TargetState.LIVE,
        first_layer=int(status.get('first_layer') or 0),
        last_layer=int(status.get('last_layer') or 0),
        step_ms=float(status.get('step_ms') or 1),
        slots=int(status.get('slots') or 1),
        load=int(status.get('load') or 0),
        version=str(status.get('version') or ''),
    )
