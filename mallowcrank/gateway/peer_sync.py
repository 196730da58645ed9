"""
Desired state and target entries from other gateways.

They serve a gateway that can't read them while the store answers others.
"""

import asyncio
from http import HTTPStatus

from mallowcrank.gateway.body_coding import encode_body
from mallowcrank.gateway.caller_channel import CallerRequest, ResponseWriter
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.datagrams import DECODE_ERRORS, GatewayStatus
from mallowcrank.gateway.desired_checks import DesiredChecks
from mallowcrank.gateway.entries_status import (
    EntriesSnapshot,
    pack_snapshot,
    read_snapshot,
)
from mallowcrank.gateway.fleet import Fleet
from mallowcrank.gateway.latest_desired import LatestDesired
from mallowcrank.gateway.peer_fetch import PeerFetcher
from mallowcrank.gateway.peer_table import Peer
from mallowcrank.gateway.ports import LogPosition
from mallowcrank.gateway.targets_follower import TargetsFollower

DESIRED_PATH = '/desired'
ENTRIES_PATH = '/entries'
CHECK_INTERVAL_S = 0.2
ENTRIES_DELAY_S = 0.4  # the store is read first
SPREAD_S = 0.3  # of fetches after a change that all hear of
# Shares of the bound on late changes.
OWN_READ_SHARE = 0.05  # for the read that waits for a newer version
CHECK_SHARE = 0.1  # for a check, before others are asked
HEDGE_SHARE = 0.15  # for one gateway, before the next one is asked, too


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
        bound_s = core.settings.bounds.config_s
        self._own_read_s = OWN_READ_SHARE * bound_s
        self._check_s = CHECK_SHARE * bound_s
        self._fetcher = PeerFetcher(core, HEDGE_SHARE * bound_s)
        self._heard_newer = asyncio.Event()
        known.listen(self._heard_newer.set)
        self._heard_entries = asyncio.Event()
        targets.knowledge.listen(self._heard_entries.set)

    async def serve(
        self, request: CallerRequest, answer: ResponseWriter
    ) -> None:
        """
        Answer another gateway's request.
        """
        if request.path == DESIRED_PATH and self._known.raw:
            body = self._known.raw
        elif request.path == ENTRIES_PATH and self._targets.position:
            snapshot = _make_snapshot(self._core.fleet, self._targets.position)
            body = pack_snapshot(snapshot)
        else:
            answer.send(HTTPStatus.NOT_FOUND, (), b'')
            return
        headers, encoded = encode_body(request.headers, body)
        answer.send(HTTPStatus.OK, headers, encoded)

    async def run(self) -> None:
        """
        Fetch from gateways that know more, until cancelled.
        """
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow_desired())
            tasks.create_task(self._follow_entries())

    async def _follow_desired(self) -> None:
        while True:
            await self._heard_newer.wait()
            if self._checks.is_store_available:
                await asyncio.sleep(self._own_read_s)
                if self._find_ahead():
                    self._checks.request()
                    await asyncio.sleep(self._check_s)
            await self._fetch_desired()
            self._heard_newer.clear()
            if self._find_ahead():
                # What others have can't be fetched, or not be used.
                await asyncio.sleep(CHECK_INTERVAL_S)

    def _find_ahead(self) -> list[Peer]:
        """
        Return the gateways that have a newer version of the desired state.
        """
        return [
            peer
            for peer in self._shuffled_peers()
            if peer.last_status.desired_mark > self._known.mark
        ]

    async def _fetch_desired(self) -> None:
        fetched = await self._fetcher.fetch(self._find_ahead(), DESIRED_PATH)
        if fetched:
            status = fetched.peer.last_status
            self._known.update(
                fetched.body, status.host, status.desired_mark.era
            )

    async def _follow_entries(self) -> None:
        while True:
            has_heard = await self._wait_for_entries()
            if not self._find_sources():
                continue
            await asyncio.sleep(self._entries_delay_s(has_heard))
            sources = self._find_sources()
            if sources:
                await self._fetch_entries(sources)

    async def _wait_for_entries(self) -> bool:
        """
        Wait for another gateway that knows later entries, at most until the
        next check.

        :returns: whether there is one.
        """
        self._heard_entries.clear()
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self._heard_entries.wait()
        except TimeoutError:
            return False
        return True

    def _entries_delay_s(self, has_heard: bool) -> float:
        """
        Return how many seconds to wait before entries are fetched.

        :param has_heard: whether another gateway said that it knows others.
        """
        if not has_heard:
            return ENTRIES_DELAY_S
        if not self._targets.is_reading:
            return 0
        # All hear of a change at the same moment.
        return SPREAD_S * self._core.random.random()

    def _find_sources(self) -> list[Peer]:
        """
        Return gateways that know later entries; those of its own zone first.
        """
        zone = self._core.settings.zone
        return sorted(
            (
                peer
                for peer in self._shuffled_peers()
                if self._is_source(peer.last_status)
            ),
            key=lambda peer: peer.last_status.zone != zone,
        )

    def _is_source(self, status: GatewayStatus) -> bool:
        if self._targets.position is None and not len(self._core.fleet):
            return True
        if self._targets.is_reading and not status.view:
            return False
        return self._targets.knowledge.is_behind(status)

    def _shuffled_peers(self) -> list[Peer]:
        """
        Return the live gateways in random order, so that not all ask one.
        """
        live = self._core.peers.live()
        return self._core.random.sample(live, len(live))

    async def _fetch_entries(self, sources: list[Peer]) -> None:
        fetched = await self._fetcher.fetch(sources, ENTRIES_PATH)
        if fetched is None:
            return
        try:
            snapshot = read_snapshot(fetched.body)
        except DECODE_ERRORS as error:
            self._core.journal.say(
                'peers: unreadable entries',
                peer=fetched.peer.last_status.host,
                why=repr(error),
            )
        else:
            self._targets.adopt(snapshot)
            self._check_adopted(fetched.peer.last_status)

    def _check_adopted(self, source: GatewayStatus) -> None:
        """
        Check that entries that were fetched lead to the view of their source.
        """
        if source.view and self._targets.knowledge.is_behind(source):
            self._targets.knowledge.ignore(source.view)
            self._targets.wake()


def _make_snapshot(fleet: Fleet, position: LogPosition) -> EntriesSnapshot:
    now = monotonic_s()
    return EntriesSnapshot(
        position,
        dict(fleet.raw_entries),
        {identity: now - since for identity, since in fleet.lapsed.items()},
    )
