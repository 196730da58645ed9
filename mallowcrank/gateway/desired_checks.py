"""
Checks of whether the desired state is still the store's newest.

A read that waits for a newer version is no evidence of its own: its channel may
be dead. So knowledge has an age, and a gateway asks the store anew before the
age reaches the bound on late changes. Gateways tell each other the ages of
their own reads, and one's check spares the others theirs.
"""

import asyncio
from random import Random

from mallowcrank.gateway.check_schedule import CheckAges, CheckSchedule
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.followers import DesiredFollower
from mallowcrank.gateway.latest_desired import LatestDesired
from mallowcrank.gateway.peers import Peers
from mallowcrank.gateway.store_client import StoreClient

# Shares of the bound on late changes. What remains is for the read itself.
MIN_AGE_SHARE = 0.3  # no check is due before this age
SPREAD_SHARE = 0.4  # of the ages at which the gateways' checks are due
RETRY_SHARE = 0.2  # pause after a check that failed


class DesiredChecks:
    """
    Asks the store when a check is due, or when there is a sign of a change.
    """

    def __init__(
        self,
        bound_s: float,
        known: LatestDesired,
        follower: DesiredFollower,
        link: StoreClient,
        peers: Peers,
    ) -> None:
        self._known = known
        self._follower = follower
        self._link = link
        self._peers = peers
        self._random = Random()
        self._schedule = CheckSchedule(
            CheckAges(MIN_AGE_SHARE * bound_s, SPREAD_SHARE * bound_s),
            self._random,
        )
        self._retry_s = RETRY_SHARE * bound_s
        self._requested = asyncio.Event()

    @property
    def is_store_available(self) -> bool:
        """
        Return whether the store answers this gateway, as far as it knows.
        """
        return self._link.unavailable_since is None

    def request(self) -> None:
        """
        Check at once.
        """
        self._requested.set()

    async def run(self) -> None:
        """
        Check whenever it is due, until cancelled.
        """
        while True:
            await self._wait_until_due()
            has_succeeded = await self._follower.check()
            if has_succeeded:
                # Word of a check spares the others theirs.
                self._peers.broadcast()
            else:
                await self._wait(self._retry_s * (0.5 + self._random.random()))

    async def _wait_until_due(self) -> None:
        while not self._requested.is_set():
            remaining_s = self._due_at() - monotonic_s()
            if not self.is_store_available:
                # The followers try until the store answers again.
                remaining_s = self._retry_s
            elif remaining_s <= 0:
                return
            await self._wait(remaining_s)
        self._requested.clear()

    async def _wait(self, seconds: float) -> None:
        """
        Wait for a time, or until a check is requested.
        """
        try:
            async with asyncio.timeout(seconds):
                await self._requested.wait()
        except TimeoutError:
            return

    def _due_at(self) -> float:
        return self._schedule.due_at(
            self._known.confirmed_at, 1 + len(self._peers.live())
        )
