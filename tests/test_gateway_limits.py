"""
Limits that targets name, kept by all gateways of a site together.
"""

import asyncio
from unittest import IsolatedAsyncioTestCase

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.platform.standins.replica import LAYERS
from tests.utils.limited_site import (
    SETTLED_S,
    TOKENS,
    WINDOW_S,
    LimitedSite,
    allowed_arrivals,
    most_arrivals,
)

RATE = 3.0
USED_SHARE = 0.6  # of a limit that most of the load would go beyond
MEASURED_S = 6


class LimitCase(IsolatedAsyncioTestCase):
    async def start(self, gateways, plain=2, engines=()):
        self.site = LimitedSite(gateways)
        self.world = self.site.world
        self.addAsyncCleanup(self.site.close)
        await self.world.start_store()
        await self.world.start_engines(*engines)
        for number in range(plain):
            await self.world.start_replica(f'p-{number}', 'stock')
        await self.site.start()

    def name_limit(self, identity, rate=RATE):
        replica = self.world.replicas[identity]
        replica.named_limits = (str(rate),) if rate is not None else ()

    async def load(self, seconds=SETTLED_S + MEASURED_S, **options):
        """
        Load the site, and note the time in which limits have to be kept.
        """
        self.kept_since = monotonic_s() + SETTLED_S
        await self.site.load(seconds, **options)
        self.kept_until = monotonic_s()

    def counted(self, identity):
        arrivals = self.world.replicas[identity].arrivals
        return [
            moment
            for moment in arrivals
            if self.kept_since <= moment <= self.kept_until
        ]

    def check_kept(self, identity, rate=RATE):
        arrivals = self.world.replicas[identity].arrivals
        most = most_arrivals(arrivals, self.kept_since, self.kept_until)
        self.assertLessEqual(most, allowed_arrivals(rate))

    def check_used(self, identity, rate=RATE):
        seconds = self.kept_until - self.kept_since
        self.assertGreaterEqual(
            len(self.counted(identity)), USED_SHARE * rate * seconds
        )


class TestPlainTargets(LimitCase):
    async def keep_limit(self, gateways):
        await self.start(gateways)
        self.name_limit('p-0')
        await self.load()
        await self.site.finish()
        self.check_kept('p-0')
        self.check_used('p-0')
        self.assertEqual(self.site.served_share, 1)

    async def test_limit_is_kept_by_6_gateways_together(self):
        await self.keep_limit(6)

    async def test_limit_is_kept_by_24_gateways_together(self):
        await self.keep_limit(24)

    async def test_limit_is_kept_by_84_gateways_together(self):
        await self.keep_limit(84)

    async def keep_only_limit(self, gateways, users=None):
        await self.start(gateways, plain=1)
        self.name_limit('p-0')
        await self.load(gateways=users and self.site.gateways[:users])
        await self.site.finish()
        self.check_kept('p-0')
        self.check_used('p-0')
        self.assertEqual(set(self.site.statuses), {200, 503})
        for _, response in self.site.responses:
            if response.status == 503:
                self.assertIn(b'retry-after', response.headers)

    async def test_limit_of_the_only_target_is_kept_and_used(self):
        await self.keep_only_limit(6)

    async def test_limit_of_the_only_target_is_kept_and_used_by_84_gateways(
        self,
    ):
        await self.keep_only_limit(84)

    async def test_one_gateway_with_all_load_uses_most_of_the_limit(self):
        await self.keep_only_limit(24, users=1)

    async def test_limit_is_kept_while_the_load_moves_to_one_gateway(self):
        await self.start(6)
        self.name_limit('p-0')
        await self.site.load(SETTLED_S)
        await self.load(gateways=self.site.gateways[:1])
        await self.site.finish()
        self.check_kept('p-0')
        self.check_used('p-0')
        self.assertEqual(self.site.served_share, 1)

    async def test_limit_that_falls_is_kept(self):
        await self.start(6)
        self.name_limit('p-0', 3 * RATE)
        await self.site.load(SETTLED_S)
        self.name_limit('p-0', RATE)
        await self.load()
        await self.site.finish()
        self.check_kept('p-0')
        self.check_used('p-0')
        self.assertEqual(self.site.served_share, 1)

    async def test_limit_below_one_a_second_is_kept_and_used(self):
        await self.start(6, plain=1)
        self.name_limit('p-0', 0.5)
        await self.load()
        await self.site.finish()
        self.check_kept('p-0', 0.5)
        self.check_used('p-0', 0.5)

    async def test_target_that_names_no_limit_any_more_gets_its_part(self):
        await self.start(6)
        self.name_limit('p-0')
        await self.load()
        self.check_kept('p-0')
        self.name_limit('p-0', None)
        await self.site.load(SETTLED_S)
        resumed_at = monotonic_s()
        await self.site.load(2)
        await self.site.finish()
        arrivals = self.world.replicas['p-0'].arrivals
        since = [moment for moment in arrivals if moment > resumed_at]
        self.assertGreater(len(since), 20)

    async def test_target_that_takes_nothing_is_asked_again_and_returns(self):
        await self.start(6, plain=1)
        self.name_limit('p-0', 0)
        await self.load()
        await self.site.finish()
        self.check_kept('p-0', 0)
        refused = self.site.statuses[503]
        self.assertGreater(refused, 0)
        self.name_limit('p-0', None)
        replica = self.world.replicas['p-0']
        seen = len(replica.arrivals)
        load = asyncio.create_task(self.site.load(15))
        await self.world.wait_for(lambda: len(replica.arrivals) > seen + 50)
        load.cancel()

    async def test_limit_of_an_earlier_lifetime_does_not_bind_a_later_one(self):
        await self.start(6, plain=1)
        self.name_limit('p-0', 0.5)
        await self.site.load(WINDOW_S)
        await self.site.finish()
        self.name_limit('p-0', None)
        self.world.replicas['p-0'].born = 2
        self.world.register('p-0')
        await asyncio.sleep(2)
        self.site.statuses.clear()
        await self.site.load(2)
        await self.site.finish()
        self.assertEqual(self.site.served_share, 1)


class TestEngines(LimitCase):
    async def stream(self, engines, limited, in_reports=False, **options):
        await self.start(6, plain=0, engines=engines)
        self.limited = list(self.world.replicas)[limited]
        self.name_limit(self.limited)
        replica = self.world.replicas[self.limited]
        replica.names_limit_in_reports = in_reports
        await self.load(
            path='/draft/x', method='POST', body=b'hat', **TOKENS, **options
        )
        await self.site.finish()
        self.check_kept(self.limited)

    async def test_first_engine_keeps_its_limit_and_callers_notice_nothing(
        self,
    ):
        await self.stream([(0, LAYERS), (0, LAYERS), (0, LAYERS)], limited=0)
        self.assertEqual(self.site.served_share, 1)

    async def test_engine_farther_down_keeps_its_limit_where_others_are_free(
        self,
    ):
        await self.stream(
            [(0, 40), (0, 40), (40, LAYERS), (40, LAYERS)],
            limited=2,
            in_reports=True,
        )
        self.assertEqual(self.site.served_share, 1)
        relayed = self.world.replicas[self.limited].relayed_arrivals
        most = most_arrivals(relayed, self.kept_since, self.kept_until)
        self.assertLessEqual(most, allowed_arrivals(RATE))
        self.assertGreater(most, 0)

    async def test_streams_pass_a_limited_engine_that_is_not_the_first(self):
        await self.stream([(0, LAYERS), (0, 40)], limited=0)
        self.assertEqual(self.site.served_share, 1)

    async def test_limit_of_the_only_first_engine_is_kept_and_used(self):
        await self.stream([(0, 40), (40, LAYERS)], limited=0)
        self.check_used(self.limited)
        self.assertEqual(set(self.site.statuses), {200, 503})
