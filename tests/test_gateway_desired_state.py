"""
How soon a confirmed change of the desired state is in force at all gateways.
"""

import asyncio
import json

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.peer_sync import CHECK_INTERVAL_S, DESIRED_PATH
from mallowcrank.platform.standins.bodies import desired_body, route_row
from mallowcrank.platform.standins.store_entrance import FOREVER_S, send_slowly
from tests.utils.store_view import (
    CONFIG_S,
    DESIRED,
    ROUTES,
    TARGETS,
    StoreViewTest,
    version_with,
)

DRAIN_S = 2  # after which a target that left gets nothing more
POLL_S = 0.02
LARGE_ROUTES = 1600
SLOW_BYTES_PER_S = 300_000  # what a busy link leaves


def large_version(number):
    """
    Return a version of half a megabyte.
    """
    rows = [route_row(name) for name in ROUTES]
    rows.extend(
        route_row(f'route-{index}', hostname=f'h{index % 40}.example')
        for index in range(LARGE_ROUTES)
    )
    return json.dumps(desired_body(version=number, routes=rows)).encode()


class DesiredStateTest(StoreViewTest):
    gateway_count = 6

    async def start_gateway(self, number):
        # A third of the gateways have an entrance of their own.
        entrance = self.entrance if number % 3 == 1 else None
        await self.world.start_gateway(seeds=self.seeds, entrance=entrance)

    @property
    def readers(self):
        """
        Return the gateways at the first entrance.
        """
        return [
            gateway
            for number, gateway in enumerate(self.world.gateways)
            if number % 3 != 1
        ]

    def confirm(self, raw):
        """
        Write a version, which the store confirms at once.
        """
        self.world.store.put(DESIRED, 'config', raw)

    def stop_gateways(self):
        for gateway in self.world.gateways:
            gateway.stop_now()
        self.world.gateways.clear()

    async def silence(self, seconds):
        """
        Let the store be silent; what it had received is never answered.
        """
        for entrance in (self.world.store, self.entrance):
            entrance.faults.mode = 'silent'
        await asyncio.sleep(seconds)
        for entrance in (self.world.store, self.entrance):
            entrance.faults.mode = ''

    def silence_for_a_third(self):
        self.entrance.faults.mode = 'silent'

    async def assert_in_force(self, version, within_s=CONFIG_S):
        """
        Check that a version that was just confirmed is soon in force.
        """
        late = self.world.gateways
        deadline_at = monotonic_s() + within_s
        while late and monotonic_s() < deadline_at:
            await asyncio.sleep(POLL_S)
            late = [
                gateway.settings.host
                for gateway in self.world.gateways
                if gateway.parts.known.version < version
            ]
        self.assertEqual(late, [])


class TestSilentStore(DesiredStateTest):
    async def test_change_after_a_silence_that_swallowed_reads_is_in_force(
        self,
    ):
        await self.silence(4)
        await asyncio.sleep(0.3)
        self.confirm(version_with(8, *ROUTES))
        await self.assert_in_force(8)

    async def test_change_long_after_a_silence_is_in_force(self):
        await self.silence(8)
        await asyncio.sleep(3.2)
        self.confirm(version_with(8, *ROUTES))
        await self.assert_in_force(8)

    async def test_change_is_in_force_if_only_waiting_reads_were_swallowed(
        self,
    ):
        await asyncio.sleep(1)
        for entrance in (self.world.store, self.entrance):
            entrance.faults.lose_pending()
        self.confirm(version_with(8, *ROUTES))
        await self.assert_in_force(8)

    async def test_removed_route_and_key_are_refused_after_a_silence(self):
        def version(number, keys, *routes):
            return json.dumps(
                desired_body(
                    version=number,
                    routes=[route_row(name) for name in routes],
                    tenants=[{'name': 'shop', 'api_keys': keys}],
                )
            ).encode()

        self.confirm(version(8, ['first', 'second'], 'lookup', 'removed'))
        await self.assert_in_force(8)
        await self.silence(4)
        self.confirm(version(9, ['first'], 'lookup'))
        await asyncio.sleep(CONFIG_S)
        for path, key, status in (
            ('/lookup/x', 'first', 200),
            ('/lookup/x', 'second', 401),
            ('/removed/x', 'first', 404),
        ):
            for gateway in self.world.gateways:
                response = await self.world.fetch(gateway, path, X_Api_Key=key)
                self.assertEqual(response.status, status, (path, key))


class TestSilentStoreBeforeManyGateways(TestSilentStore):
    gateway_count = 24


class TestStoreIsSilentForAThird(DesiredStateTest):
    def hang(self, gateway):
        """
        Let a gateway answer no other, while its datagrams go on.
        """

        async def serve(request, answer):
            await asyncio.sleep(FOREVER_S)

        gateway.parts.handover.serve = serve

    def slow_down(self, gateway):
        """
        Let a gateway send at the pace of a busy link.
        """
        serve = gateway.parts.handover.serve

        async def serve_slowly(request, answer):
            prompt = SentAnswer()
            await serve(request, prompt)
            await send_slowly(answer, *prompt.sent, SLOW_BYTES_PER_S)

        gateway.parts.handover.serve = serve_slowly

    async def change_with_hanging(self, count):
        self.silence_for_a_third()
        await asyncio.sleep(3)
        for gateway in self.readers[:count]:
            self.hang(gateway)
        for version in range(8, 14):
            self.confirm(version_with(version, *ROUTES))
            await self.assert_in_force(version)

    async def test_change_is_in_force_though_a_neighbour_hangs(self):
        await self.change_with_hanging(1)

    async def test_change_is_in_force_though_two_neighbours_hang(self):
        await self.change_with_hanging(2)

    async def test_removed_target_is_not_used_though_two_neighbours_hang(self):
        self.silence_for_a_third()
        await asyncio.sleep(3)
        for gateway in self.readers[:2]:
            self.hang(gateway)
        self.world.store.put(TARGETS, 'stock-0', None)
        await asyncio.sleep(DRAIN_S)
        turned_away = [
            gateway
            for gateway in self.world.gateways
            if gateway not in self.readers
        ]
        arrivals = await self.request(turned_away)
        self.assertEqual(arrivals['stock-0'], 0)

    async def test_state_that_cannot_be_used_is_not_fetched_in_a_hot_loop(
        self,
    ):
        self.silence_for_a_third()
        await asyncio.sleep(3)
        asked = []

        async def serve(request, answer):
            asked.append(request.path)
            answer.send(200, (), b'no state')

        for gateway in self.readers:
            gateway.parts.handover.serve = serve
        self.confirm(version_with(8, *ROUTES))
        await asyncio.sleep(2)
        turned_away = len(self.world.gateways) - len(self.readers)
        rounds = 2 / CHECK_INTERVAL_S
        self.assertLessEqual(asked.count(DESIRED_PATH), rounds * turned_away)

    async def test_large_change_is_in_force_over_slow_links(self):
        self.silence_for_a_third()
        await asyncio.sleep(3)
        for gateway in self.world.gateways:
            self.slow_down(gateway)
        self.confirm(large_version(8))
        await self.assert_in_force(8)

    async def test_last_of_many_changes_is_in_force(self):
        self.silence_for_a_third()
        await asyncio.sleep(3)
        for version in range(8, 20):
            self.confirm(version_with(version, *ROUTES))
            await asyncio.sleep(0.33)
        await self.assert_in_force(19, CONFIG_S - 0.33)

    async def test_gateway_that_starts_meanwhile_has_the_newest_version(self):
        self.silence_for_a_third()
        self.hang(self.readers[0])
        self.confirm(version_with(8, *ROUTES))
        await asyncio.sleep(CONFIG_S)
        await self.world.start_gateway(seeds=self.seeds, entrance=self.entrance)
        await self.assert_in_force(8)

    async def test_version_that_is_written_again_is_in_force(self):
        self.confirm(version_with(9, *ROUTES, 'first'))
        await asyncio.sleep(1)
        self.entrance.faults.mode = 'busy'
        await asyncio.sleep(1)
        self.world.store.restore(self.world.store.copy())
        self.confirm(version_with(9, *ROUTES, 'second'))
        await asyncio.sleep(CONFIG_S)
        await self.request(path='/second/x')
        self.assertEqual(set(self.statuses), {200})


class TestStoreIsSilentForAThirdOfMany(TestStoreIsSilentForAThird):
    gateway_count = 24


class TestLargeState(DesiredStateTest):
    gateway_count = 1

    async def test_gateway_starts_with_a_state_that_takes_a_second_to_read(
        self,
    ):
        self.stop_gateways()
        self.confirm(large_version(8))
        self.world.store.faults.bytes_per_s = SLOW_BYTES_PER_S
        await self.world.start_gateway()

    async def test_last_of_many_changes_in_an_outage_is_in_force(self):
        self.world.store.faults.mode = 'reset'
        self.world.store.server.abort_channels()
        for version in range(8, 38):
            self.confirm(large_version(version))
        await asyncio.sleep(1)
        self.world.store.faults.mode = ''
        await self.assert_in_force(37)


class TestUnreadableRecord(DesiredStateTest):
    async def test_version_before_an_unreadable_record_is_in_force(self):
        self.confirm(version_with(8, *ROUTES))
        self.confirm(b'{"version": 9')
        await self.assert_in_force(8)

    async def test_version_after_an_unreadable_record_is_in_force(self):
        self.confirm(b'\xff\x00')
        await asyncio.sleep(1)
        self.confirm(version_with(8, *ROUTES))
        await self.assert_in_force(8)

    async def test_gateway_that_starts_reads_the_version_before_it(self):
        self.stop_gateways()
        self.confirm(version_with(8, *ROUTES))
        for _ in range(3):
            self.confirm(b'\xff\x00')
        await self.world.start_gateway()
        await self.assert_in_force(8)


class SentAnswer:
    """
    Keeps an answer instead of sending it.
    """

    def __init__(self):
        self.sent = ()

    def send(self, status, headers, body):
        self.sent = (status, headers, body)
