"""
Entries that another writer left among those of the replicas.

They name no replica to use. The others stay in use, and no caller notices.
"""

import asyncio
import json
from types import MappingProxyType
from unittest import IsolatedAsyncioTestCase, TestCase

from mallowcrank.gateway.addresses import parse_address
from mallowcrank.gateway.ports import DecodeFailure
from mallowcrank.gateway.settings import Address
from mallowcrank.platform.desired_state import read_desired
from mallowcrank.platform.entries import read_entry
from mallowcrank.platform.standins.bodies import desired_body, entry_body
from mallowcrank.platform.standins.in_process import InProcessPlatform

GATEWAYS = 3
REQUESTS = 120
REQUEST_INTERVAL_S = 0.01
LONG_LABEL = 'a' * 64
NESTING = 100_000
TOKENS = MappingProxyType(
    {'Mallowcrank_Token_Count': '700,200', 'Mallowcrank_Model': 'm'}
)
ODD_ADDRESSES = (
    '10.0.0.1:99999999',
    '10.0.0.1:65536',
    '10.0.0.1:0',
    '10.0.0.1:-3',
    '10.0.0.1:+80',
    '10.0.0.1: 80',
    '10.0.0.1:8_0',
    '10.0.0.1:٨٠',
    '10.0.0.1:',
    f'10.0.0.1:{"9" * 5000}',
    ':80',
    f'{"a" * 300}:80',
    f'{LONG_LABEL}.example:80',
    'a..b:80',
    '-a.example:80',
    'a\0b:80',
    'a b:80',
    'ä.example:80',
    '10.0.0.256:80',
    '1:2:3:80',
)
ODD_NUMBERS = ('1e999', '1' * 400, '-1', '1e300', str(2**64))
ODD_FIELDS = ('slots', 'born')


class TestAddresses(TestCase):
    def test_addresses_and_host_names_are_read(self):
        for ip in ('10.0.0.1', 'engine-1.rack.example', 'localhost'):
            for port in (1, 65_535):
                with self.subTest(ip=ip, port=port):
                    self.assertEqual(
                        parse_address(f'{ip}:{port}'), Address(ip, port)
                    )

    def test_what_no_socket_takes_is_refused(self):
        for text in ODD_ADDRESSES:
            with self.subTest(text=text[:40]), self.assertRaises(ValueError):
                parse_address(text)


class TestNumbers(TestCase):
    def test_number_too_large_is_unreadable(self):
        for name in ODD_FIELDS:
            for number in ODD_NUMBERS:
                raw = entry_with(name, number)
                with self.subTest(name=name, number=number[:20]):
                    found = read_entry('i-1', raw)
                    self.assertIsInstance(found, DecodeFailure)

    def test_more_layers_than_any_model_has_are_unreadable(self):
        for end in (10**6, 2**62):
            layers = {'source': 0, 'to': end, 'version': 1}
            raw = json.dumps(entry_body(layers=layers)).encode()
            with self.subTest(end=end):
                self.assertIsInstance(read_entry('i-1', raw), DecodeFailure)

    def test_deep_nesting_is_unreadable(self):
        for raw in (nested(), entry_with('layers', nested().decode())):
            self.assertIsInstance(read_entry('i-1', raw), DecodeFailure)


class TestOddEntries(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = InProcessPlatform()
        self.addAsyncCleanup(self.world.close)
        self.gateways = []

    async def start(self, *odd_entries):
        """
        Start gateways before three sound replicas, three sound engines and
        some odd entries.
        """
        await self.world.start_store()
        for number in range(3):
            await self.world.start_replica(f'p-{number}', 'stock')
        await self.world.start_engines((0, 80), (0, 80), (0, 80))
        for number, raw in enumerate(odd_entries):
            self.world.store.put('keyed.servers', f'odd-{number}', raw)
        seeds = ()
        for _ in range(GATEWAYS):
            gateway = await self.world.start_gateway(seeds=seeds)
            seeds = seeds or (str(gateway.settings.listening.peers),)
            self.gateways.append(gateway)

    async def statuses(self, path, **headers):
        sent = []
        for number in range(REQUESTS):
            gateway = self.gateways[number % GATEWAYS]
            fetching = self.world.fetch(gateway, path, **headers)
            sent.append(asyncio.create_task(fetching))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        return {answer.status for answer in await asyncio.gather(*sent)}

    async def test_odd_addresses_of_plain_replicas_cost_no_request(self):
        await self.start(
            *(
                json.dumps(entry_body(service='stock', address=each)).encode()
                for each in ODD_ADDRESSES
            )
        )
        self.assertEqual(await self.statuses('/lookup/x'), {200})

    async def test_odd_addresses_of_engines_cost_no_request(self):
        layers = {'source': 0, 'to': 80, 'version': 1}
        await self.start(
            *(
                json.dumps(
                    entry_body(
                        service='model',
                        address=each,
                        layers=layers,
                        kind='huge',
                        zone='a',
                    )
                ).encode()
                for each in ODD_ADDRESSES
            )
        )
        self.assertEqual(await self.statuses('/draft/x', **TOKENS), {200})

    async def test_entries_are_followed_beside_odd_ones(self):
        await self.start(
            nested(),
            entry_with('layers', nested().decode()),
            *(
                entry_with(name, number)
                for name in ODD_FIELDS
                for number in ODD_NUMBERS
            ),
            b'',
            b'\xff\0',
        )
        await self.world.start_replica('late', 'stock')
        await self.world.wait_for(
            lambda: all(
                len(gateway.core.fleet.accepting_targets('stock')) == 4
                for gateway in self.gateways
            )
        )
        self.assertEqual(await self.statuses('/lookup/x'), {200})


class TestOddDesiredStates(TestCase):
    def test_number_too_large_is_unreadable(self):
        for number in ODD_NUMBERS:
            raw = with_number(desired_body(), 'version', number)
            with self.subTest(number=number[:20]):
                self.assertIsInstance(read_desired(raw), DecodeFailure)


def entry_with(name, number):
    """
    Return an entry with a number, or other JSON, in a field.
    """
    return with_number(entry_body(service='stock'), name, number)


def with_number(body, name, number):
    marked = json.dumps({**body, name: 'MARK'})
    return marked.replace('"MARK"', number).encode()


def nested():
    return b'[' * NESTING + b']' * NESTING
