"""
A replica that sends without end costs the gateway neither its memory nor its
other callers' answers.
"""

import asyncio
from unittest import IsolatedAsyncioTestCase
from unittest.mock import Mock

from mallowcrank.gateway.ports import HttpCall
from mallowcrank.gateway.receiving import ReceiveBudget
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.store_client import StoreClient, StoreFailure
from mallowcrank.platform.vocabulary import platform_vocabulary
from tests.utils.flooded_site import RATE_PER_S, FloodedSite
from tests.utils.flooding_replica import Flood

LOAD_S = 1.5
MAX_GROWN_BYTES = 60_000_000
MAX_DELAY_S = 0.2
LINK_BYTES_PER_S = 125_000_000
CHANNEL_BYTES_PER_S = 10_000_000
MANY_PER_S = 100  # requests, each on a channel of its own
PIECE_BYTES = 65_536
PLAIN_PARTS = (
    'header value',
    'header name',
    'headers',
    'interim answers',
    'no HTTP',
    'trailers',
    'a trailer',
    'chunk extension',
    'body without length',
    'chunks',
    'tiny chunks',
)
STREAM_PARTS = (
    'trailers of a stream',
    'comments of a stream',
    'event of a stream',
    'tiny chunks of an event',
    'body without length',
)


class EndlessAnswersTest(IsolatedAsyncioTestCase):
    """
    Plays a flood beside sound requests.
    """

    async def check(self, kind, part, is_alone):
        """
        Check that a flood beside sound replicas, or alone, is borne.
        """
        site = FloodedSite(has_sound_replicas=not is_alone)
        try:
            rate = CHANNEL_BYTES_PER_S if is_alone else LINK_BYTES_PER_S
            await site.start(kind, (part, rate, PIECE_BYTES))
            site.measure()
            await site.load(LOAD_S, kind)
            seen = self.check_others(site)
            if not is_alone:
                self.assertEqual(set(site.answers['flooded']), {200}, seen)
        finally:
            await site.close()

    def check_others(self, site):
        """
        Check that the gateway and its other callers bore a flood.

        :returns: what was seen.
        """
        seen = (
            f'+{site.grown_bytes / 1e6:.0f} MB,'
            f' late {site.max_delay_s:.3f} s,'
            f' answers late {site.max_answer_s:.3f} s,'
            f' sound {dict(site.answers["sound"])},'
            f' flooded {dict(site.answers["flooded"])}'
        )
        self.assertLess(site.grown_bytes, MAX_GROWN_BYTES, seen)
        self.assertLess(site.max_delay_s, MAX_DELAY_S, seen)
        self.assertEqual(set(site.answers['sound']), {200}, seen)
        self.assertLess(site.max_answer_s, MAX_DELAY_S, seen)
        return seen


class TestEndlessAnswerBesideSoundReplicas(EndlessAnswersTest):
    async def test_plain_answer_without_end_costs_no_other_request(self):
        for part in ('trailers', 'a trailer', 'chunks', 'tiny chunks'):
            with self.subTest(part=part):
                await self.check('safe', part, is_alone=False)

    async def test_stream_without_end_costs_no_other_request(self):
        for part in ('trailers of a stream', 'event of a stream'):
            with self.subTest(part=part):
                await self.check('stream', part, is_alone=False)


class TestEndlessAnswerOfTheOnlyReplica(EndlessAnswersTest):
    async def test_once_only_answer_without_end_costs_no_other_request(self):
        await self.check('once', 'trailers', is_alone=True)

    async def test_plain_answer_without_end_costs_no_other_request(self):
        for part in PLAIN_PARTS:
            with self.subTest(part=part):
                await self.check('safe', part, is_alone=True)

    async def test_stream_without_end_costs_no_other_request(self):
        for part in STREAM_PARTS:
            with self.subTest(part=part):
                await self.check('stream', part, is_alone=True)


class TestEndlessAnswersAtThreeGateways(EndlessAnswersTest):
    async def test_flood_at_three_gateways_costs_no_other_request(self):
        for kind, part in (('safe', 'chunks'), ('stream', 'a trailer')):
            with self.subTest(kind=kind, part=part):
                site = FloodedSite(has_sound_replicas=False, size=3)
                try:
                    await site.start(
                        kind, (part, CHANNEL_BYTES_PER_S, PIECE_BYTES)
                    )
                    site.measure()
                    await site.load(LOAD_S, kind, 3 * RATE_PER_S)
                    self.check_others(site)
                finally:
                    await site.close()


class TestEndlessAnswersOfTheStore(IsolatedAsyncioTestCase):
    async def test_answer_of_the_store_without_end_fails_its_call(self):
        for part in PLAIN_PARTS:
            with self.subTest(part=part):
                await self.check(Flood(part, LINK_BYTES_PER_S, PIECE_BYTES))

    async def check(self, flood):
        server = await asyncio.start_server(flood.serve, '127.0.0.1', 0)
        address = Address(*server.sockets[0].getsockname()[:2])
        budget = ReceiveBudget()
        client = StoreClient(
            address, platform_vocabulary().store, Mock(), Mock(), budget
        )
        answer = await client.call('x', HttpCall('GET', '/'))
        self.assertIsInstance(answer, StoreFailure)
        self.assertEqual(budget.held_bytes, 0)
        server.close()


class TestEndlessAnswersOnManyChannels(EndlessAnswersTest):
    async def test_flood_on_many_channels_costs_no_other_request(self):
        floods = (
            ('safe', 'chunks'),
            ('safe', 'tiny chunks'),
            ('stream', 'tiny chunks of an event'),
        )
        for kind, part in floods:
            with self.subTest(kind=kind, part=part):
                await self.check_many(kind, part)

    async def check_many(self, kind, part):
        site = FloodedSite(has_sound_replicas=False)
        try:
            rate = LINK_BYTES_PER_S // MANY_PER_S
            await site.start(kind, (part, rate, PIECE_BYTES))
            site.measure()
            await site.load(LOAD_S, kind, MANY_PER_S)
            self.check_others(site)
        finally:
            await site.close()
