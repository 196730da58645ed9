"""
Tests of the calls to the platform's store and of decoding its answers.
"""

import base64
import json
from unittest import TestCase

from mallowcrank.gateway.ports import DecodeFailure
from mallowcrank.platform.store import PlatformStore
from tests.utils.platform_pages import read_page


class TestStoreCalls(TestCase):
    def setUp(self):
        self.store = PlatformStore()

    def test_decodes_keyed_records_in_order(self):
        body = read_page(9, ('a', b'1'), ('b', None), ('a', b'2'))
        found = self.store.decode_slice(body, 6)
        self.assertEqual(
            [(each.key, each.content, each.offset) for each in found.records],
            [('a', b'1', 6), ('b', None, 7), ('a', b'2', 8)],
        )
        self.assertEqual(found.end, 9)

    def test_decodes_the_era(self):
        for headers in (
            ((b'Store-Era', b'12'),),
            ((b'store-era', b' 12 '), (b'Store-Era', b'12')),
        ):
            with self.subTest(headers=headers):
                self.assertEqual(self.store.decode_era(headers), 12)

    def test_invalid_era_is_unreadable(self):
        for values in (
            (),
            (b'3', b'4'),
            (b'-1',),
            (b'x',),
            (b'',),
            (b'9' * 99,),
        ):
            with self.subTest(values=values):
                headers = tuple((b'Store-Era', value) for value in values)
                self.assertIsInstance(
                    self.store.decode_era(headers), DecodeFailure
                )

    def test_truncated_answer_is_unreadable(self):
        whole = read_page(7, ('a', b'12345'))
        for length in (0, 5, len(whole) - 1, len(whole) - 7):
            with self.subTest(length=length):
                truncated = self.store.decode_slice(whole[:length], 6)
                self.assertIsInstance(truncated, DecodeFailure)

    def test_decodes_the_newest_record_of_each_key(self):
        body = {
            'items': [
                {
                    'key': 'config',
                    'value': base64.b64encode(b'{}').decode(),
                    'offset': 4,
                }
            ],
            'has_more': True,
            'end_offset': 6,
        }
        found = self.store.decode_newest(json.dumps(body).encode())
        self.assertEqual(found.records[0].content, b'{}')
        self.assertTrue(found.has_more)
        self.assertEqual(found.end, 6)

    def test_malformed_answers_are_unreadable(self):
        for body in (b'', b'[]', b'{"items": 7}', b'{"items": [{}]}'):
            with self.subTest(body=body):
                self.assertIsInstance(
                    self.store.decode_newest(body), DecodeFailure
                )
        for parts in (b'[7]', b'[[null, null]]', b'[["t", "0"]]', b'[["t"]]'):
            with self.subTest(parts=parts):
                body = b'{"generation": 1, "parts": %b}' % parts
                self.assertIsInstance(
                    self.store.decode_membership(body), DecodeFailure
                )
        self.assertIsInstance(self.store.decode_owners(b'7'), DecodeFailure)

    def test_decodes_a_membership(self):
        body = b'{"generation": 7, "parts": [["members", 0, -1]]}'
        joined = self.store.decode_membership(body)
        self.assertEqual(joined.generation, 7)
        self.assertEqual(joined.owned, (('members', 0),))

    def test_decodes_each_member_once(self):
        body = b'{"parts": [["t", 0, "a", 1], ["t", 1, "b", 1], ["t", 2, "a"]]}'
        self.assertEqual(self.store.decode_owners(body), ('a', 'b'))

    def test_fence_sends_its_epoch(self):
        call = self.store.fence('g', 12)
        self.assertIn('epoch=12', call.path)
        self.assertEqual(call.body, b'')
