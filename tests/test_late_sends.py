"""
Calls whose sends are late, as the loop of their gateway is.
"""

import asyncio
import time
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

import uvloop

from mallowcrank.gateway.core import Core
from tests.utils.cut_site import Cut, CutSite

CUT_S = 3
LATE_S = 0.4  # longer than a target may be silent
CALLS = 4
MAX_ATTEMPTS = 2  # of the route


class TestLateSends(IsolatedAsyncioTestCase):
    """
    The loop stands still between the choice of the last target that a call may
    go to and its send there, and all answers are lost.
    """

    async def start(self):
        self.late = 0
        self.site = CutSite(4)
        self.addAsyncCleanup(self.site.close)
        await self.site.start()
        await self.site.load(1)

    async def check_runs(self):
        gateway = self.site.gateways[0]
        self.site.mark_runs()
        with patch.object(Core, 'acquire_channel', self.acquire_late()):
            for _ in range(CALLS):
                for replica in self.site.world.replicas.values():
                    replica.faults.losses = 1
                await self.site.send(gateway)
        runs = self.site.runs_since_mark()
        self.assertGreaterEqual(self.late, CALLS)
        self.assertEqual(len(runs), CALLS)
        self.assertGreater(runs.total(), CALLS)
        self.assertLessEqual(max(runs.values()), MAX_ATTEMPTS, runs)

    def acquire_late(self):
        acquire = Core.acquire_channel

        async def acquire_late(core, target, call, may_reuse):
            if len(call.avoided) == call.max_sends:
                self.late += 1
                time.sleep(LATE_S)  # noqa: ASYNC251 - the loop is to be late
            return await acquire(core, target, call, may_reuse=False)

        return acquire_late

    async def test_late_retry_does_not_run_on_more_targets_than_allowed(self):
        await self.start()
        await self.check_runs()

    async def test_late_send_at_a_proxy_does_not_run_on_two_targets(self):
        await self.start()
        gateway = self.site.gateways[0]
        self.site.cut([gateway], Cut.RESET)
        await self.site.load(CUT_S)
        reachability = gateway.core.proxies.reachability
        await self.site.world.wait_for(lambda: reachability.is_cut_off)
        await self.check_runs()


class TestLateSendsWithUvloop(TestLateSends):
    """
    The same on the event loop that gateways use.
    """

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, None)
