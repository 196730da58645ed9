"""
Callers that send without end cost the gateway neither its memory nor its
other callers' answers.
"""

from unittest import IsolatedAsyncioTestCase

from tests.utils.flooded_site import FloodedSite
from tests.utils.flooding_caller import PARTS

LOAD_S = 1.5
MAX_GROWN_BYTES = 60_000_000
MAX_DELAY_S = 0.2
PIECE_BYTES = 65_536
MANY = 16


class TestEndlessRequests(IsolatedAsyncioTestCase):
    async def test_request_without_end_costs_no_other_request(self):
        for part in PARTS:
            with self.subTest(part=part):
                await self.check(part, count=4, bytes_per_s=30_000_000)

    async def test_header_without_end_on_many_connections_is_refused(self):
        await self.check('header value', count=MANY, bytes_per_s=6_000_000)

    async def check(self, part, count, bytes_per_s):
        site = FloodedSite()
        try:
            await site.start()
            site.measure()
            site.start_callers(part, count, bytes_per_s, PIECE_BYTES)
            await site.load(LOAD_S)
            seen = (
                f'+{site.grown_bytes / 1e6:.0f} MB,'
                f' late {site.max_delay_s:.3f} s,'
                f' answers {dict(site.answers["sound"])}'
            )
            self.assertLess(site.grown_bytes, MAX_GROWN_BYTES, seen)
            self.assertLess(site.max_delay_s, MAX_DELAY_S, seen)
            self.assertEqual(set(site.answers['sound']), {200}, seen)
            self.assertLess(site.max_answer_s, MAX_DELAY_S, seen)
        finally:
            await site.close()
