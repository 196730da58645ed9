"""
Desired state and target entries from other gateways.

They serve a gateway that can't read them while the store answers others.
"""

import asyncio
from http import HTTPStatus

import msgpack

from mallowcrank.gateway.caller_channel import CallerRequest, ResponseWriter
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.fleet import Fleet
from mallowcrank.gateway.followers import (
    DesiredFollower,
    LatestDesired,
    TargetsFollower,
)
from mallowcrank.gateway.peer_table import Peer
from mallowcrank.gateway.ports import HttpCall
from mallowcrank.gateway.target_channel import Response

DESIRED_PATH = '/desired'
TARGETS_PATH = '/targets'
CHECK_INTERVAL_S = 0.2
FETCH_DELAY_S = 0.4  # the store is read first
FETCH_TIMEOUT_S = 1.0


class PeerSync:
    """
    Fetches what this gateway couldn't read from others, and serves them.
    """

    def __init__(
        self,
        core: Core,
        known: LatestDesired,
        desired: DesiredFollower,
        targets: TargetsFollower,
    ) -> None:
        self._core = core
        self._known = known
        self._desired = desired
        self._targets = targets
        self._behind_since: float | None = None

    async def serve(
        self, request: CallerRequest, answer: ResponseWriter
    ) -> None:
        """
        Answer another gateway's request.
        """
        if request.path == DESIRED_PATH and self._known.raw:
            answer.send(HTTPStatus.OK, (), self._known.raw)
        elif request.path == TARGETS_PATH:
            fleet: Fleet = self._core.fleet
            answer.send(
                HTTPStatus.OK, (), msgpack.packb(dict(fleet.raw_entries))
            )
        else:
            answer.send(HTTPStatus.NOT_FOUND, (), b'')

    async def run(self) -> None:
        """
        Fetch from gateways that know more, until cancelled.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            source = self._find_ahead()
            if source is None:
                self._behind_since = None
                continue
            now = monotonic_s()
            if self._behind_since is None:
                self._behind_since = now
                self._desired.refresh()
            elif now - self._behind_since > FETCH_DELAY_S:
                await self._fetch(source)
                self._behind_since = None

    def _find_ahead(self) -> Peer | None:
        """
        Return a gateway that knows more than this one, if there is one.
        """
        live = self._core.peers.live()
        if not live:
            return None
        newest = max(live, key=_version)
        if newest.last_status.desired_version > self._known.version:
            return newest
        if not self._targets.has_read and not len(self._core.fleet):
            return newest
        return None

    async def _fetch(self, peer: Peer) -> None:
        raw = await self._get(peer, DESIRED_PATH)
        if raw:
            self._known.update(raw, peer.last_status.host)
        if self._targets.has_read:
            return
        packed = await self._get(peer, TARGETS_PATH)
        if packed:
            for identity, entry in msgpack.unpackb(packed).items():
                self._targets.apply_raw(identity, entry)

    async def _get(self, peer: Peer, path: str) -> bytes:
        call = HttpCall('GET', path)
        answer = await self._core.pool.fetch(
            peer.last_status.peers, call, FETCH_TIMEOUT_S
        )
        if isinstance(answer, Response) and answer.head.status == HTTPStatus.OK:
            return answer.body
        return b''


def _version(peer: Peer) -> int:
    return peer.last_status.desired_version
