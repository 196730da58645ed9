"""
Orders to engines that load for seconds, while the gateway that gave them goes.
"""

import asyncio
from functools import partial
from unittest import IsolatedAsyncioTestCase, TestCase

from mallowcrank.chains.placement import PlacementOrder
from mallowcrank.gateway.pending_orders import PENDING_TIMEOUT_S, PendingOrders
from mallowcrank.gateway.status_parts import (
    OrderReport,
    decode_orders,
    encode_orders,
)
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.platform.standins.in_process import InProcessPlatform

ENGINE = Lifetime('e-0', 1)
LAYERS = 80
LOAD_S = 12


def held_layers(engines):
    return {layer for each in engines for layer in range(*each.held)}


class LoadingCase(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = InProcessPlatform()
        self.addAsyncCleanup(self.world.close)
        await self.world.start_store()
        for number in range(4):
            replica = await self.world.start_replica(
                f'e-{number}', 'model', kind='a100', held=None
            )
            replica.loader.load_s = LOAD_S
        self.engines = tuple(self.world.replicas.values())

    async def wait_until_covered(self):
        await self.world.wait_for(
            lambda: all(each.held for each in self.engines)
        )
        self.assertEqual(held_layers(self.engines), set(range(LAYERS)))


class TestTakeover(LoadingCase):
    async def test_loading_engines_are_not_ordered_by_the_next_leader(self):
        first = await self.world.start_gateway()
        seeds = (str(first.settings.listening.peers),)
        others = [await self.world.start_gateway(seeds=seeds) for _ in range(2)]
        await self.world.wait_for(
            lambda: all(len(each.core.peers.live()) == 2 for each in others)
        )
        await self.world.wait_for(
            lambda: all(each.orders for each in self.engines)
        )
        await asyncio.sleep(1)
        first.stop_now()
        await self.wait_until_covered()
        for engine in self.engines:
            self.assertEqual((engine.orders, engine.refused_orders), (1, 0))

    async def test_loading_engine_that_nobody_tells_of_refuses_one_order(self):
        for number, engine in enumerate(self.engines):
            layers = (20 * number, 20 * number + 20)
            engine.orders = 1
            engine.loader.load(layers, partial(setattr, engine, 'held'))
        await self.world.start_gateway()
        await self.wait_until_covered()
        for engine in self.engines:
            self.assertLessEqual(engine.refused_orders, 1)


class TestCountOfOrders(IsolatedAsyncioTestCase):
    async def test_count_of_orders_is_read_before_an_engine_is_moved(self):
        world = InProcessPlatform()
        self.addAsyncCleanup(world.close)
        await world.start_store()
        for number in range(4):
            replica = await world.start_replica(
                f'e-{number}', 'model', kind='a100', held=(0, 1)
            )
            replica.orders = 5
        engines = tuple(world.replicas.values())
        await world.start_gateway()
        await world.wait_for(lambda: held_layers(engines) == set(range(LAYERS)))
        for engine in engines:
            self.assertEqual(engine.refused_orders, 0)


class TestPendingOrders(TestCase):
    def setUp(self):
        self.orders = PendingOrders()

    def test_later_order_replaces_an_earlier_one(self):
        self.orders.record(PlacementOrder(ENGINE, 0, 20), 10)
        self.orders.apply([OrderReport(ENGINE, 20, 40, age_s=1)], 12)
        placing = self.orders.pending[ENGINE].placing
        self.assertEqual((placing.first, placing.end), (20, 40))
        self.orders.apply([OrderReport(ENGINE, 0, 20, age_s=2)], 12)
        placing = self.orders.pending[ENGINE].placing
        self.assertEqual((placing.first, placing.end), (20, 40))

    def test_order_that_was_told_expires_like_an_own_one(self):
        self.orders.apply([OrderReport(ENGINE, 0, 20, age_s=4)], 10)
        self.orders.drop_expired(6 + PENDING_TIMEOUT_S)
        self.assertIn(ENGINE, self.orders.pending)
        self.orders.drop_expired(6.1 + PENDING_TIMEOUT_S)
        self.assertEqual(self.orders.pending, {})

    def test_engine_counts_as_busy_for_a_while(self):
        self.orders.record_busy(ENGINE, 10)
        self.assertTrue(self.orders.is_busy(ENGINE, 10.9))
        self.assertFalse(self.orders.is_busy(ENGINE, 11))

    def test_reports_are_read_as_they_were_written(self):
        self.orders.record(PlacementOrder(ENGINE, 0, 20), 10)
        reports = self.orders.reports(12.5)
        self.assertEqual(decode_orders(encode_orders(reports)), reports)

    def test_report_of_no_layers_is_malformed(self):
        with self.assertRaises(ValueError):
            decode_orders([['e-0', 1, 20, 20, 0]])
