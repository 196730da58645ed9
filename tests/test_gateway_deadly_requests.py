"""
Requests that crash each target that begins to run them, and come again.
"""

import asyncio
import json
from types import MappingProxyType
from unittest import IsolatedAsyncioTestCase

from mallowcrank.gateway.ports import HttpCall
from tests.utils.poisoned_site import DeadlyRequestSite

SETTLED_S = 3  # after the third crash
MAX_LATE_RUNS = 3
SERVED_SHARE = 0.9  # of sound requests, beside crashes
SIZES = (6, 24)
LOAD = MappingProxyType({'rate': 27.5, 'poisoned_share': 0.09})
LOAD_S = 9


class TestDeadlyRequest(IsolatedAsyncioTestCase):
    async def start(self, size, route='lookup'):
        site = DeadlyRequestSite(size, route)
        self.addAsyncCleanup(site.close)
        await site.start()
        await site.load(2, poisoned_share=0)
        return site

    def assert_contained(self, site):
        for body in site.deadly:
            late = site.late_runs(body, SETTLED_S)
            self.assertLessEqual(len(late), MAX_LATE_RUNS)
        sound = site.statuses
        self.assertGreater(sound[200], SERVED_SHARE * sound.total(), sound)

    async def test_deadly_call_is_not_sent_on(self):
        for size in SIZES:
            with self.subTest(size=size):
                site = await self.start(size)
                site.poison()
                await site.load(LOAD_S, **LOAD)
                self.assert_contained(site)

    async def test_two_deadly_calls_are_not_sent_on(self):
        site = await self.start(6)
        site.poison(b'first', b'second')
        await site.load(LOAD_S, rate=30, poisoned_share=0.16)
        self.assert_contained(site)

    async def test_deadly_call_is_found_beside_other_crashes(self):
        site = await self.start(6)
        site.poison()
        load = asyncio.create_task(site.load(LOAD_S, **LOAD))
        for number in range(2):
            await asyncio.sleep(4)
            if not site.engines[number].crashed_at:
                site.engines[number].crash()
        await load
        self.assert_contained(site)

    async def test_deadly_call_that_may_run_once_is_not_sent_on(self):
        site = await self.start(6, 'claim')
        site.poison()
        await site.load(LOAD_S, **LOAD)
        self.assert_contained(site)

    async def test_deadly_stream_is_not_sent_on(self):
        site = await self.start(6, 'draft')
        site.poison()
        await site.load(LOAD_S, **LOAD)
        self.assert_contained(site)

    async def test_deadly_stream_with_a_begun_answer_is_not_sent_on(self):
        for size in SIZES:
            with self.subTest(size=size):
                site = await self.start(size, 'draft')
                site.events_before_crash = 1
                site.poison()
                await site.load(LOAD_S, **LOAD)
                self.assert_contained(site)

    async def test_restarted_gateway_refuses_a_deadly_call_at_once(self):
        site = await self.start(6)
        site.poison()
        await site.load(5, **LOAD)
        before = len(site.deadly_runs)
        seeds = (str(site.gateways[0].settings.listening.peers),)
        started = await site.world.start_gateway(seeds=seeds)
        await site.world.wait_for(lambda: started.core.peers.live())
        response = await site.send(is_poisoned=True, gateway=started)
        self.assertEqual(response.status, 422)
        self.assertNotIn(b'retry-after', response.headers)
        self.assertEqual(len(site.deadly_runs), before)

    async def test_reset_channel_of_a_live_target_is_no_crash(self):
        site = await self.start(2)
        for target in site.engines:
            target.faults.losses = 4
        for _ in range(8):
            response = await site.send(is_poisoned=True)
        self.assertNotEqual(response.status, 422)
        for gateway in site.gateways:
            self.assertEqual(gateway.core.suspects.known(), [])

    async def test_operator_sees_and_clears_a_deadly_call(self):
        site = await self.start(2)
        site.poison()
        await site.load(4, **LOAD)
        for target in site.engines:
            target.deadly_bodies = set()
        gateway = site.gateways[0]
        metrics = gateway.settings.metrics
        pool = gateway.core.pool
        listed = await pool.fetch(metrics, HttpCall('GET', '/suspects'), 1)
        rows = [row for row in json.loads(listed.body) if 'digest' in row]
        self.assertEqual(rows[0]['suspicion'], 'confirmed')
        query = f'service=stock&digest={rows[0]["digest"]}'
        await pool.fetch(metrics, HttpCall('DELETE', f'/suspects?{query}'), 1)
        await site.world.wait_for(
            lambda: (
                not any(each.core.suspects.known() for each in site.gateways)
            )
        )
        response = await site.send(is_poisoned=True)
        self.assertEqual(response.status, 200)

    async def test_sound_calls_are_served_after_crashes_of_their_targets(self):
        site = await self.start(6)
        for number in range(4):
            site.engines[number].crash()
            await site.load(1.5, rate=40, poisoned_share=0)
        statuses = site.statuses
        self.assertEqual(statuses[200], statuses.total(), statuses)
