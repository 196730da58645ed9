"""
Gateways that are cut off from all targets, and that others still reach.
"""

from unittest import IsolatedAsyncioTestCase

from mallowcrank.gateway.clock import monotonic_s
from tests.utils.cut_site import Cut, CutSite

SETTLED_S = 3  # after the cut
CUT_S = 7
# Where gateways are cut off, first tries are served at least so often compared
# with the others.
SERVED_RATIO = 2 / 3
SLACK = 10


class TestCutOffGateways(IsolatedAsyncioTestCase):
    async def start(self, size):
        site = CutSite(size)
        self.addAsyncCleanup(site.close)
        await site.start()
        await site.load(1)
        await site.load(1, route='draft')
        return site

    async def load_while_cut(self, site, count, how, route='lookup'):
        started_at = monotonic_s()
        site.cut(site.gateways[:count], how)
        await site.load(CUT_S, route=route)
        return started_at + SETTLED_S

    def assert_served(self, site, since):
        cut_off = site.statuses(since, is_cut_off=True)
        others = site.statuses(since, is_cut_off=False)
        share = others[200] / others.total() if others else 1
        self.assertGreaterEqual(
            cut_off[200], SERVED_RATIO * share * cut_off.total(), cut_off
        )
        failed = cut_off.total() - cut_off[200] + others.total() - others[200]
        sent = cut_off.total() + others.total()
        self.assertLessEqual(failed, SLACK + sent / 50)

    async def test_gateways_with_hanging_channels_serve_their_callers(self):
        for size, count in ((6, 4), (24, 16), (8, 7)):
            with self.subTest(size=size):
                site = await self.start(size)
                since = await self.load_while_cut(site, count, Cut.HANG)
                self.assert_served(site, since)

    async def test_gateways_with_reset_channels_serve_their_callers(self):
        site = await self.start(6)
        since = await self.load_while_cut(site, 4, Cut.RESET)
        self.assert_served(site, since)

    async def test_gateways_with_open_channels_serve_their_callers(self):
        site = await self.start(6)
        since = await self.load_while_cut(site, 4, Cut.KEPT)
        self.assert_served(site, since)

    async def test_zone_of_gateways_serves_its_callers(self):
        site = await self.start(8)
        started_at = monotonic_s()
        site.cut(site.gateways[::2], Cut.HANG)
        await site.load(CUT_S)
        self.assert_served(site, started_at + SETTLED_S)

    async def test_gateways_serve_streams_without_targets(self):
        site = await self.start(6)
        since = await self.load_while_cut(site, 4, Cut.HANG, 'draft')
        self.assert_served(site, since)

    async def test_gateways_serve_calls_that_may_run_once(self):
        site = await self.start(6)
        since = await self.load_while_cut(site, 4, Cut.RESET, 'claim')
        self.assert_served(site, since)
        self.assertEqual(max(site.runs_by_request().values()), 1)
