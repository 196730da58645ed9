"""
Gateways that are cut off from all targets, and that others still reach.
"""

import asyncio
from unittest import IsolatedAsyncioTestCase

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.platform.standins.replica import EVENT_COUNT
from tests.utils.cut_site import Cut, CutSite

SETTLED_S = 3  # after the cut
CUT_S = 7
# Where gateways are cut off, first tries are served at least so often compared
# with the others.
SERVED_RATIO = 2 / 3
SLACK = 10
MAX_ATTEMPTS = 2  # of the route
STREAMS = 5


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

    async def test_other_gateways_go_on_to_use_all_targets(self):
        site = await self.start(6)
        await self.load_while_cut(site, 4, Cut.RESET, 'draft')
        for gateway in site.gateways[4:]:
            core = gateway.core
            self.assertFalse(core.fleet.health.unresponsive())
            self.assertEqual(core.suspects.known(), [])
            self.assertFalse(core.proxies.reachability.is_cut_off)

    async def check_stream_cut_in_its_middle(self, site, gateway):
        """
        Check that a stream is complete though its engine stalls, and its
        gateway is then cut off.
        """
        for engine in site.engines:
            engine.faults.stalls = 1
        answer = asyncio.create_task(site.send(gateway, 'draft'))
        await site.world.wait_for(
            lambda: any(engine.stalled_streams for engine in site.engines)
        )
        for engine in site.engines:
            engine.faults.stalls = 0
        site.cut([gateway], Cut.HANG)
        response = await answer
        self.assertEqual(response.events, tuple(range(1, EVENT_COUNT + 1)))
        self.assertTrue(response.is_complete)

    async def test_stream_goes_on_after_a_cut_in_its_middle(self):
        site = await self.start(6)
        gateway = site.gateways[0]
        await self.check_stream_cut_in_its_middle(site, gateway)

    async def test_stream_goes_on_though_a_kept_channel_leads_into_the_cut(
        self,
    ):
        """
        Both sends that the route allows are lost: one to the engine that
        stalls, the other over a kept channel to an engine behind the cut.
        """
        site = await self.start(6)
        gateway = site.gateways[0]
        await asyncio.gather(*(site.send(gateway, 'draft') for _ in range(24)))
        await self.check_stream_cut_in_its_middle(site, gateway)

    async def test_lost_proxy_is_replaced(self):
        site = await self.start(6)
        started_at = monotonic_s()
        site.cut(site.gateways[:2], Cut.HANG)
        load = asyncio.create_task(site.load(CUT_S))
        await asyncio.sleep(4)
        lost = site.gateways.pop()
        lost.stop_now()
        await load
        served = site.statuses(started_at + 3, is_cut_off=True)
        self.assertGreater(served[200], 0.95 * served.total(), served)

    async def test_stream_that_is_passed_on_keeps_to_the_attempts_of_its_route(
        self,
    ):
        site = await self.start(6)
        gateway = site.gateways[0]
        site.cut([gateway], Cut.HANG)
        await site.load(SETTLED_S)
        self.assertTrue(gateway.core.proxies.reachability.is_cut_off)
        for engine in site.engines:
            engine.faults.stalls = EVENT_COUNT
        await asyncio.gather(
            *(site.send(gateway, 'draft') for _ in range(STREAMS))
        )
        runs = sum(len(engine.stalled_streams) for engine in site.engines)
        self.assertLessEqual(runs, MAX_ATTEMPTS * STREAMS)

    async def test_request_is_passed_on_once_at_most(self):
        site = await self.start(6)
        site.cut(site.gateways, Cut.RESET)
        await site.load(4)
        await asyncio.sleep(2)
        before = len(site.answers)
        await site.load(1)
        self.assertEqual({each[2] for each in site.answers[before:]}, {503})
        site.heal()
        await asyncio.sleep(2)
        since = monotonic_s()
        await site.load(1)
        answers = site.statuses(since, is_cut_off=True)
        self.assertEqual(answers[200], answers.total())

    async def test_lost_answer_behind_a_proxy_is_not_run_again(self):
        site = await self.start_cut_off()
        for replica in site.world.replicas.values():
            replica.faults.losses = 1
        response = await site.send(site.gateways[0], 'claim')
        self.assertEqual(response.status, 502)
        self.assertEqual(sum(site.runs_since_mark().values()), 1)

    async def test_refusal_behind_a_proxy_has_not_run(self):
        site = await self.start_cut_off()
        for replica in site.world.replicas.values():
            replica.faults.refusals = 100
        response = await site.send(site.gateways[0], 'claim')
        self.assertEqual(response.status, 503)
        self.assertIn(b'retry-after', response.headers)
        self.assertFalse(site.runs_since_mark())

    async def test_work_behind_a_proxy_ends_when_the_caller_leaves(self):
        site = await self.start_cut_off()
        for engine in site.engines:
            engine.faults.stalls = 1
        gateway = site.gateways[0]
        channel = await site.world.connect(gateway.settings.listening.front)
        site.world.send(channel, '/draft/x', 'POST', b'order')
        await site.world.wait_for(
            lambda: any(engine.stalled_streams for engine in site.engines)
        )
        channel.close()
        left_at = monotonic_s()
        await site.world.wait_for(
            lambda: any(engine.cancelled_requests for engine in site.engines)
        )
        self.assertLess(monotonic_s() - left_at, 0.5)

    async def test_target_gets_what_the_caller_sent_through_a_proxy(self):
        site = await self.start_cut_off()
        response = await site.world.fetch(
            site.gateways[0],
            '/lookup/x?y=1',
            'POST',
            b'order',
            Mallowcrank_Deadline_Ms='1000',
            Gateway_Service='other',
            X_Own='kept',
        )
        self.assertEqual(response.status, 200)
        run = site.last_run()
        headers = dict(run.headers)
        self.assertEqual(run.body, b'order')
        self.assertEqual(headers[b'x-own'], b'kept')
        self.assertLess(int(headers[b'mallowcrank-deadline-ms']), 1000)
        self.assertNotIn(b'gateway-service', headers)
        self.assertIn(b'mallowcrank-expect-instance', headers)

    async def start_cut_off(self):
        """
        Start a site whose first gateway knows that it is cut off.
        """
        site = await self.start(6)
        site.cut(site.gateways[:1], Cut.RESET)
        await site.load(2)
        await site.load(1, route='draft')
        reachability = site.gateways[0].core.proxies.reachability
        await site.world.wait_for(lambda: reachability.is_cut_off)
        site.mark_runs()
        return site

    async def test_gateways_serve_calls_that_may_run_once(self):
        site = await self.start(6)
        since = await self.load_while_cut(site, 4, Cut.RESET, 'claim')
        self.assert_served(site, since)
        self.assertEqual(max(site.runs_by_request().values()), 1)
