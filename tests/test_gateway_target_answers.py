"""
What targets say in their answers: that they leave, or want no requests.
"""

import asyncio
from collections import Counter
from random import Random
from types import MappingProxyType
from unittest import IsolatedAsyncioTestCase

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.platform.standins.in_process import InProcessPlatform

GATEWAYS = 6
LEAVING_S = 2  # after an answer says so
REST_GRACE_S = 0.5  # after a refusal that names a time
MAX_AT_REST = 2  # requests of one gateway
REST_S = 4
TOKENS = MappingProxyType(
    {'Mallowcrank_Token_Count': '700,200', 'Mallowcrank_Model': 'm'}
)


class AnsweringSite:
    """
    Gateways before three targets of a service.
    """

    def __init__(self, route):
        self.world = InProcessPlatform()
        self.route = route
        self.answers = []
        self.gateways = []
        self.targets = []
        self._random = Random(1)

    async def start(self):
        asyncio.get_running_loop().set_debug(enabled=False)
        await self.world.start_store()
        for number in range(3):
            if self.route == 'draft':
                await self.world.start_engines((0, 80))
            else:
                await self.world.start_replica(f's{number}', 'stock')
        self.targets = list(self.world.replicas.values())
        seeds = ()
        for _ in range(GATEWAYS):
            gateway = await self.world.start_gateway(seeds=seeds)
            seeds = seeds or (str(gateway.settings.listening.peers),)
            self.gateways.append(gateway)
        await self.world.wait_for(
            lambda: all(
                len(gateway.core.peers.live()) == GATEWAYS - 1
                for gateway in self.gateways
            )
        )

    async def load(self, seconds, rate=60):
        started_at = monotonic_s()
        sent = []
        for number in range(int(seconds * rate)):
            due_at = started_at + number / rate
            await asyncio.sleep(max(0, due_at - monotonic_s()))
            sent.append(asyncio.create_task(self.send()))
        await asyncio.gather(*sent)

    async def send(self):
        response = await self.world.fetch(
            self._random.choice(self.gateways), f'/{self.route}/x', **TOKENS
        )
        self.answers.append(response)
        return response

    @property
    def statuses(self):
        return Counter(response.status for response in self.answers)


class TestLeavingTargets(IsolatedAsyncioTestCase):
    async def start(self, route):
        site = AnsweringSite(route)
        self.addAsyncCleanup(site.world.close)
        await site.start()
        await site.load(1)
        return site

    async def test_target_that_says_it_leaves_gets_no_more_requests(self):
        for route in ('lookup', 'draft'):
            with self.subTest(route=route):
                site = await self.start(route)
                leaving = site.targets[0]
                leaving.said_leaving = '1'
                said_at = monotonic_s()
                await site.load(4)
                late = [
                    at for at in leaving.arrivals if at > said_at + LEAVING_S
                ]
                self.assertEqual(late, [])
                self.assertEqual(set(site.statuses), {200})

    async def test_leaving_ends_with_the_lifetime(self):
        site = await self.start('lookup')
        target = site.targets[0]
        target.said_leaving = '1'
        await site.load(1)
        self.assertEqual(self.accepting_counts(site), {2})
        site.world.register(target.identity)
        await asyncio.sleep(1.5)
        self.assertEqual(self.accepting_counts(site), {2})
        target.said_leaving = ''
        target.born += 1
        site.world.register(target.identity)
        await site.world.wait_for(lambda: self.accepting_counts(site) == {3})

    async def test_invalid_statement_is_ignored(self):
        site = await self.start('lookup')
        site.targets[0].said_leaving = 'yes'
        await site.load(1)
        self.assertEqual(self.accepting_counts(site), {3})
        self.assertEqual(set(site.statuses), {200})

    def accepting_counts(self, site):
        return {
            len(gateway.core.fleet.accepting_targets('stock'))
            for gateway in site.gateways
        }


class TestRestingTargets(IsolatedAsyncioTestCase):
    async def start(self, route, resting, wanted_rest=str(REST_S)):
        site = AnsweringSite(route)
        self.addAsyncCleanup(site.world.close)
        await site.start()
        await site.load(1)
        for target in site.targets[:resting]:
            target.faults.refusals = 10_000
            target.wanted_rest = wanted_rest
        return site

    def assert_at_rest(self, site, resting, since):
        """
        Check that resting targets get few requests of all gateways, until the
        earliest end of a time that they named.
        """
        for target in site.targets[:resting]:
            early = [
                at for at in target.arrivals if since + 1 < at < since + REST_S
            ]
            self.assertLessEqual(len(early), GATEWAYS * MAX_AT_REST)

    async def test_target_that_names_a_time_gets_few_requests_in_it(self):
        for route in ('lookup', 'draft'):
            with self.subTest(route=route):
                site = await self.start(route, 1)
                since = monotonic_s()
                await site.load(REST_S)
                self.assert_at_rest(site, 1, since)
                self.assertEqual(set(site.statuses), {200})

    async def test_callers_are_refused_at_once_if_all_targets_rest(self):
        for route in ('lookup', 'draft'):
            with self.subTest(route=route):
                site = await self.start(route, 3)
                since = monotonic_s()
                await site.load(REST_S)
                self.assert_at_rest(site, 3, since)
                started_at = monotonic_s()
                response = await site.send()
                self.assertEqual(response.status, 503)
                self.assertGreater(float(response.headers[b'retry-after']), 0)
                self.assertLess(monotonic_s() - started_at, 0.3)

    async def test_target_is_used_again_after_its_time(self):
        site = await self.start('lookup', 1, wanted_rest='1')
        await site.load(1)
        resting = site.targets[0].identity
        self.assertEqual(self.denied_names(site), {resting})
        await site.world.wait_for(lambda: not self.denied_names(site))

    async def test_invalid_time_is_ignored(self):
        for wanted in ('-3', 'soon', 'Fri, 04 Dec 2026 14:00:00 GMT', 'inf'):
            with self.subTest(wanted=wanted):
                site = await self.start('lookup', 1, wanted_rest=wanted)
                await site.load(1)
                self.assertEqual(self.denied_names(site), set())
                self.assertEqual(set(site.statuses), {200})

    def denied_names(self, site):
        return {
            lifetime.identity
            for gateway in site.gateways
            for lifetime in gateway.core.permits.denied()
        }
