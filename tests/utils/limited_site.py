"""
A site of many gateways before targets that name limits, on loopback channels.
"""

import asyncio
from collections import Counter
from contextlib import ExitStack
from random import Random
from types import MappingProxyType
from unittest.mock import patch

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.platform.standins.in_process import InProcessPlatform

WINDOW_S = 4
RATE_FACTOR = 1.5
SLACK = 5
SETTLED_S = 3  # after a limit is named, until it has to be kept
CALLS_PER_S = 60
# One process can't carry the usual gossip of more gateways.
MAX_FAST_GOSSIP = 40
SLOW_GOSSIP_S = 3
# Timeouts follow the interval at which statuses are sent.
PACED_MODULES = (
    'mallowcrank.gateway.peers',
    'mallowcrank.gateway.status_rounds',
)
START_POLL_S = 0.2
START_TIMEOUT_S = 120  # beside other work
TOKENS = MappingProxyType(
    {'Mallowcrank_Token_Count': '700,200', 'Mallowcrank_Model': 'm'}
)


def allowed_arrivals(rate):
    """
    Return how many requests a target may get in any window.

    :param rate: the limit that it names, in requests per second.
    """
    return RATE_FACTOR * rate * WINDOW_S + SLACK


def most_arrivals(arrivals, since, until):
    """
    Return the most arrivals in any window between two moments.
    """
    counted = [moment for moment in arrivals if since <= moment <= until]
    return max(
        (
            sum(1 for other in counted if 0 <= other - first <= WINDOW_S)
            for first in counted
        ),
        default=0,
    )


class LimitedSite:
    """
    Gateways, targets, and callers that use some or all of the gateways.
    """

    def __init__(self, gateways, random_seed=1):
        self.world = InProcessPlatform()
        self.gateways = []
        self.statuses = Counter()
        self.responses = []
        self._size = gateways
        self._random = Random(random_seed)
        self._calls = set()
        self._gossip = ExitStack()

    async def start(self):
        """
        Start the gateways, and wait until each hears that all others accept
        callers.
        """
        if self._size > MAX_FAST_GOSSIP:
            for name in PACED_MODULES:
                self._gossip.enter_context(
                    patch(f'{name}.BROADCAST_INTERVAL_S', SLOW_GOSSIP_S)
                )
        # The debug mode of tests slows so many connections down.
        asyncio.get_running_loop().set_debug(enabled=False)
        first = await self.world.start_gateway()
        seeds = (str(first.settings.listening.peers),)
        others = await asyncio.gather(
            *(
                self._start_gateway(seeds, number / self._size)
                for number in range(1, self._size)
            )
        )
        self.gateways = [first, *others]
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all(map(self._hears_all, self.gateways)):
                await asyncio.sleep(START_POLL_S)

    async def close(self):
        await self.world.close()
        self._gossip.close()

    async def load(self, seconds, path='/lookup/x', gateways=None, **fields):
        """
        Send calls at a steady rate for some seconds.

        :param gateways: those that callers use; all by default.
        """
        started_at = monotonic_s()
        for number in range(int(seconds * CALLS_PER_S)):
            due_at = started_at + number / CALLS_PER_S
            await asyncio.sleep(max(0, due_at - monotonic_s()))
            gateway = self._random.choice(gateways or self.gateways)
            call = asyncio.create_task(self._call(gateway, path, fields))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def finish(self):
        """
        Wait for the answers of all calls.
        """
        await asyncio.gather(*self._calls)

    @property
    def served_share(self):
        """
        Return the share of the calls that were served.
        """
        return self.statuses[200] / self.statuses.total()

    async def _start_gateway(self, seeds, delay_s):
        # Gateways that send their statuses at once would stall this process.
        await asyncio.sleep(delay_s * SLOW_GOSSIP_S)
        return await self.world.start_gateway(seeds=seeds)

    def _hears_all(self, gateway):
        accepting = [
            peer
            for peer in gateway.core.peers.live()
            if peer.last_status.accepts_callers
        ]
        return len(accepting) == self._size - 1

    async def _call(self, gateway, path, fields):
        response = await self.world.fetch(gateway, path, **fields)
        is_whole = response.is_complete
        self.statuses[response.status if is_whole else 'broken'] += 1
        self.responses.append((monotonic_s(), response))
