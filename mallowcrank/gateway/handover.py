"""
What gateways give each other while the store gives it to one of them only.
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
    KnownDesired,
    TargetsFollower,
)
from mallowcrank.gateway.peers import Peer
from mallowcrank.gateway.ports import HttpCall
from mallowcrank.gateway.target_channel import Response

DESIRED_PATH = '/desired'
TARGETS_PATH = '/targets'
TICK_S = 0.2
BEHIND_S = 0.4  # behind another gateway, before it is asked
ANSWER_S = 1.0


class Handover:
    """
    Asks other gateways for what this one could not read, and answers them.
    """

    def __init__(
        self,
        core: Core,
        known: KnownDesired,
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
        Answer another gateway.
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
        Look for good whether others know more.
        """
        while True:
            await asyncio.sleep(TICK_S)
            ahead = self._ahead()
            if ahead is None:
                self._behind_since = None
                continue
            now = monotonic_s()
            if self._behind_since is None:
                self._behind_since = now
                self._desired.hurry()
            elif now - self._behind_since > BEHIND_S:
                await self._fetch(ahead)
                self._behind_since = None

    def _ahead(self) -> Peer | None:
        """
        Return a gateway that knows more.
        """
        live = self._core.peers.live()
        if not live:
            return None
        newest = max(live, key=_version)
        if newest.word.desired_version > self._known.version:
            return newest
        if not self._targets.is_informed and not len(self._core.fleet):
            return newest
        return None

    async def _fetch(self, peer: Peer) -> None:
        raw = await self._get(peer, DESIRED_PATH)
        if raw:
            self._known.take(raw, peer.word.host)
        if self._targets.is_informed:
            return
        packed = await self._get(peer, TARGETS_PATH)
        if packed:
            for identity, entry in msgpack.unpackb(packed).items():
                self._targets.take_raw(identity, entry)

    async def _get(self, peer: Peer, path: str) -> bytes:
        call = HttpCall('GET', path)
        answer = await self._core.pool.fetch(peer.word.peers, call, ANSWER_S)
        if isinstance(answer, Response) and answer.head.status == HTTPStatus.OK:
            return answer.body
        return b''


def _version(peer: Peer) -> int:
    return peer.word.desired_version
