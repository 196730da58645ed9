"""
Desired state and target entries from other gateways.

They serve a gateway that can't read them while the store answers others.
"""

import asyncio
from http import HTTPStatus

from mallowcrank.gateway.caller_channel import CallerRequest, ResponseWriter
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.datagrams import DECODE_ERRORS
from mallowcrank.gateway.fleet import Fleet
from mallowcrank.gateway.desired_checks import DesiredChecks
from mallowcrank.gateway.followers import TargetsFollower
from mallowcrank.gateway.latest_desired import LatestDesired
from mallowcrank.gateway.peer_table import Peer
from mallowcrank.gateway.ports import HttpCall, LogPosition
from mallowcrank.gateway.status_parts import (
    EntriesSnapshot,
    pack_snapshot,
    read_snapshot,
)
from mallowcrank.gateway.target_channel import (
    ChannelBroken,
    ConnectFailure,
    ReadTimeout,
    Response,
)

DESIRED_PATH = '/desired'
ENTRIES_PATH = '/entries'
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
        checks: DesiredChecks,
        targets: TargetsFollower,
    ) -> None:
        self._core = core
        self._known = known
        self._checks = checks
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
        elif request.path == ENTRIES_PATH and self._targets.position:
            snapshot = _make_snapshot(self._core.fleet, self._targets.position)
            answer.send(HTTPStatus.OK, (), pack_snapshot(snapshot))
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
                self._checks.request()
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
        if not self._targets.position and not len(self._core.fleet):
            return newest
        return self._find_reader(live)

    def _find_reader(self, live: list[Peer]) -> Peer | None:
        """
        Return a gateway that has read later entries of targets, if this one
        can't read them; one of its own zone if possible.
        """
        if self._targets.read_for_s():
            return None
        readers = [peer for peer in live if self._has_later_entries(peer)]
        zone = self._core.settings.zone
        near = [peer for peer in readers if peer.last_status.zone == zone]
        if near or readers:
            return self._core.random.choice(near or readers)
        return None

    def _has_later_entries(self, peer: Peer) -> bool:
        entries = peer.last_status.entries
        if entries is None or not entries.read_for_s:
            return False
        mine = self._targets.position
        return mine is None or entries.position > mine

    async def _fetch(self, peer: Peer) -> None:
        if peer.last_status.desired_version > self._known.version:
            desired = await self._get(peer, DESIRED_PATH)
            if desired:
                self._known.update(desired.body, peer.last_status.host)
        if not self._targets.read_for_s():
            await self._fetch_entries(peer)

    async def _fetch_entries(self, peer: Peer) -> None:
        response = await self._get(peer, ENTRIES_PATH)
        if response is None:
            return
        try:
            snapshot = read_snapshot(response.body)
        except DECODE_ERRORS as error:
            self._core.journal.say(
                'peers: unreadable entries',
                peer=peer.last_status.host,
                why=repr(error),
            )
        else:
            self._targets.adopt(snapshot)

    async def _get(self, peer: Peer, path: str) -> Response | None:
        call = HttpCall('GET', path)
        answer = await self._core.pool.fetch(
            peer.last_status.peers, call, FETCH_TIMEOUT_S
        )
        if isinstance(answer, Response) and answer.head.status == HTTPStatus.OK:
            return answer
        self._core.journal.say(
            'peers: nothing fetched',
            peer=peer.last_status.host,
            path=path,
            why=_reason_of(answer),
        )
        return None


def _reason_of(
    answer: Response | ChannelBroken | ReadTimeout | ConnectFailure,
) -> str:
    """
    Return why an answer can't be used.
    """
    match answer:
        case Response(head):
            return str(head.status)
        case ReadTimeout():
            return 'silent'
    return answer.reason


def _version(peer: Peer) -> int:
    return peer.last_status.desired_version


def _make_snapshot(fleet: Fleet, position: LogPosition) -> EntriesSnapshot:
    now = monotonic_s()
    return EntriesSnapshot(
        position,
        dict(fleet.raw_entries),
        {identity: now - since for identity, since in fleet.lapsed.items()},
    )
