"""
What gateways believe of targets and of the desired state when the store turns
some of them away, or comes back from an older copy.
"""

import asyncio

from tests.utils.store_view import (
    CONFIG_S,
    DESIRED,
    ROUTES,
    TARGETS,
    StoreViewTest,
    version_with,
)

DRAIN_S = 2  # after which a target that leaves gets nothing more
RETURN_S = 2  # after which entries that lapsed in an outage are back
AWAY_S = 0.5


class TestStoreTurnsGatewaysAway(StoreViewTest):
    async def turn_away(self, mode='reset'):
        self.entrance.faults.mode = mode
        self.entrance.server.abort_channels()
        await asyncio.sleep(0.5)

    async def test_gateway_that_is_turned_away_stops_using_a_removed_target(
        self,
    ):
        await self.turn_away()
        self.world.store.put(TARGETS, 'stock-0', None)
        await asyncio.sleep(DRAIN_S)
        arrivals = await self.request([self.separated])
        self.assertEqual(arrivals['stock-0'], 0)

    async def test_gateway_that_is_turned_away_stops_using_a_leaving_target(
        self,
    ):
        await self.turn_away('busy')
        self.put_leaving('stock-0')
        await asyncio.sleep(DRAIN_S)
        arrivals = await self.request([self.separated])
        self.assertEqual(arrivals['stock-0'], 0)

    async def test_gateway_that_is_turned_away_uses_a_new_target(self):
        await self.turn_away()
        await self.world.start_replica('stock-3', 'stock')
        await asyncio.sleep(DRAIN_S)
        arrivals = await self.request([self.separated])
        self.assertGreater(arrivals['stock-3'], 0)

    async def test_target_stays_while_no_gateway_reaches_the_store(self):
        self.world.store.faults.mode = 'reset'
        self.world.store.server.abort_channels()
        await self.turn_away()
        self.world.store.put(TARGETS, 'stock-0', None)
        await asyncio.sleep(DRAIN_S)
        for gateway in self.world.gateways:
            self.assertIsNotNone(gateway.core.fleet.find('stock-0'))


class TestStoreComesBackFromAnOlderCopy(StoreViewTest):
    gateway_count = 6

    async def lose(self, copy, *writes):
        """
        Let the store be away for a moment and come back from a copy.

        :param writes: functions that write before a gateway can read.
        """
        entrances = (self.world.store, self.entrance)
        for entrance in entrances:
            entrance.faults.mode = 'reset'
            entrance.server.abort_channels()
        await asyncio.sleep(AWAY_S)
        self.world.store.restore(copy)
        for write in writes:
            write()
        for entrance in entrances:
            entrance.faults.mode = ''

    async def copy_then(self, *writes):
        """
        Return a copy of the store from before some writes, which all gateways
        then read.
        """
        copy = self.world.store.copy()
        for write in writes:
            write()
        await asyncio.sleep(1.5)
        return copy

    async def test_leaving_target_at_a_reused_offset_gets_no_requests(self):
        copy = await self.copy_then(lambda: self.put_others(3))
        await self.lose(
            copy,
            lambda: self.put_leaving('stock-0'),
            lambda: self.put_others(4),
        )
        await asyncio.sleep(DRAIN_S)
        arrivals = await self.request()
        self.assertEqual(arrivals['stock-0'], 0)

    async def test_target_removed_at_a_reused_offset_gets_no_requests(self):
        copy = await self.copy_then(lambda: self.put_others(3))
        await self.lose(
            copy,
            lambda: self.world.store.put(TARGETS, 'stock-0', None),
            lambda: self.put_others(4),
        )
        await asyncio.sleep(DRAIN_S + RETURN_S)
        arrivals = await self.request()
        self.assertEqual(arrivals['stock-0'], 0)

    async def test_route_added_at_a_reused_offset_is_served(self):
        copy = await self.copy_then(
            lambda: self.world.store.put(DESIRED, 'config', version_with(8)),
        )
        old = version_with(8, *ROUTES)
        new = version_with(9, *ROUTES, 'added')
        await self.lose(
            copy,
            lambda: self.world.store.put(DESIRED, 'config', new),
            lambda: self.world.store.put(DESIRED, 'other', old),
        )
        await asyncio.sleep(CONFIG_S)
        await self.request(path='/added/x')
        self.assertEqual(set(self.statuses), {200})

    async def test_version_in_force_never_goes_back(self):
        new = version_with(9, *ROUTES, 'added')
        copy = await self.copy_then(
            lambda: self.world.store.put(DESIRED, 'config', new),
        )
        await self.lose(copy)
        await asyncio.sleep(CONFIG_S)
        await self.request(path='/added/x')
        self.assertEqual(set(self.statuses), {200})

    async def test_version_written_again_with_other_content_is_in_force(self):
        first = version_with(9, *ROUTES, 'first')
        copy = await self.copy_then(
            lambda: self.world.store.put(DESIRED, 'config', first),
        )
        second = version_with(9, *ROUTES, 'second')
        await self.lose(
            copy, lambda: self.world.store.put(DESIRED, 'config', second)
        )
        await asyncio.sleep(CONFIG_S)
        await self.request(path='/second/x')
        self.assertEqual(set(self.statuses), {200})

    async def test_leaving_target_that_is_ready_in_the_copy_gets_no_requests(
        self,
    ):
        copy = await self.copy_then(lambda: self.put_leaving('stock-0'))
        await self.lose(copy, lambda: self.put_others(2))
        await asyncio.sleep(DRAIN_S)
        arrivals = await self.request()
        self.assertEqual(arrivals['stock-0'], 0)

    async def test_removed_target_that_is_in_the_copy_gets_no_requests(self):
        copy = await self.copy_then(
            lambda: self.world.store.put(TARGETS, 'stock-0', None),
        )
        await self.lose(copy, lambda: self.put_others(2))
        await asyncio.sleep(DRAIN_S)
        arrivals = await self.request()
        self.assertEqual(arrivals['stock-0'], 0)

    async def test_target_that_is_missing_in_the_copy_stays_if_it_returns(
        self,
    ):
        copy = self.world.store.copy()
        await self.world.start_replica('stock-3', 'stock')
        await asyncio.sleep(1.5)
        await self.lose(copy)
        await asyncio.sleep(1)
        self.world.register('stock-3')
        await asyncio.sleep(RETURN_S)
        for gateway in self.world.gateways:
            self.assertIsNotNone(gateway.core.fleet.find('stock-3'))

    async def test_gateway_that_was_away_through_an_era_is_right(self):
        copy = await self.copy_then(lambda: self.put_others(3))
        self.entrance.faults.mode = 'busy'
        await asyncio.sleep(0.5)
        self.world.store.restore(copy)
        self.world.store.restore(copy)
        self.put_leaving('stock-0')
        self.put_others(4)
        await asyncio.sleep(DRAIN_S)
        self.entrance.faults.mode = ''
        arrivals = await self.request([self.separated])
        self.assertEqual(arrivals['stock-0'], 0)

    async def test_entry_that_lapses_elsewhere_is_not_taken_as_present(self):
        copy = await self.copy_then(lambda: self.put_others(3))
        await self.lose(
            copy,
            lambda: self.world.store.put(TARGETS, 'stock-0', None),
            lambda: self.put_others(4),
        )
        self.entrance.faults.mode = 'busy'
        await asyncio.sleep(DRAIN_S + RETURN_S + 1)
        arrivals = await self.request([self.separated])
        self.assertEqual(arrivals['stock-0'], 0)

    async def test_invalid_eras_lose_nothing(self):
        for values in ((), (b'x',), (b'3', b'4'), (b'0',), (b'9',)):
            with self.subTest(values=values):
                self.world.store.era_headers = tuple(
                    (b'Store-Era', value) for value in values
                )
                await asyncio.sleep(1.2)
                await self.request()
                self.assertEqual(set(self.statuses), {200})
        self.put_leaving('stock-0')
        await asyncio.sleep(DRAIN_S)
        arrivals = await self.request()
        self.assertEqual(arrivals['stock-0'], 0)

    async def test_one_gateway_leads_after_the_drill(self):
        copy = self.world.store.copy()
        self.world.store.reassign_partitions()
        await asyncio.sleep(2.5)
        await self.lose(copy)
        await asyncio.sleep(4)
        leaders = [
            gateway.settings.host
            for gateway in self.world.gateways
            if gateway.parts.duty.leader_generation
        ]
        self.assertEqual(len(leaders), 1)
