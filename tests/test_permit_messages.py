"""
Datagrams about limits between gateways: malformed ones are ignored.
"""

from unittest import TestCase

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from mallowcrank.gateway.datagrams import (
    GatewayStatus,
    pack_addresses,
    pack_status,
    read_status,
)
from mallowcrank.gateway.permit_messages import (
    PermitAnswer,
    PermitRequest,
    Verdict,
    pack_permit_answer,
    pack_permit_request,
    read_permit_message,
)
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.limits.named import LimitReport
from tests.test_platform_fuzz import corrupted
from tests.utils.peer_network import status_of

FIXED = settings(derandomize=True, deadline=None, max_examples=150)
TARGET = Lifetime('i-1', 7)
LIMIT = LimitReport(2.4, 0.5, 0.25, 'edge-1')
REQUEST = PermitRequest(3, TARGET, LIMIT, 0.1)
ANSWER = PermitAnswer(3, Verdict.DENIED, 0.4, 2.5)
STATUS = status_of('edge-1', limits={TARGET: LIMIT})


class TestPermitMessages(TestCase):
    def test_messages_survive_their_encoding(self):
        self.assertEqual(
            read_permit_message(pack_permit_request(REQUEST)), REQUEST
        )
        self.assertEqual(
            read_permit_message(pack_permit_answer(ANSWER)), ANSWER
        )
        self.assertEqual(read_status(pack_status(STATUS)), STATUS)

    def test_other_datagrams_are_no_permit_messages(self):
        for raw in (
            pack_status(STATUS),
            pack_addresses([Address('10.0.0.1', 7340)]),
            b'',
        ):
            with self.subTest(raw=raw):
                self.assertIsNone(read_permit_message(raw))

    def test_impossible_limits_are_ignored(self):
        for limit in (
            ['3', 0, 0, 'edge-1'],
            [float('nan'), 0, 0, 'edge-1'],
            [float('inf'), 0, 0, 'edge-1'],
            [-1, 0, 0, 'edge-1'],
            [3, -5, 0, 'edge-1'],
            [3, 0, 0],
        ):
            with self.subTest(limit=limit):
                raw = msgpack.packb([3, 1, ['i-1', 7], limit, 0])
                self.assertIsNone(read_permit_message(raw))

    @FIXED
    @given(st.binary(max_size=60))
    def test_any_bytes_are_a_message_or_ignored(self, raw):
        self.assertIsInstance(
            read_permit_message(raw), PermitRequest | PermitAnswer | None
        )

    @FIXED
    @given(corrupted(pack_permit_request(REQUEST)))
    def test_corrupted_request_is_decoded_or_ignored(self, pieces):
        self.assertIsInstance(
            read_permit_message(b''.join(pieces)),
            PermitRequest | PermitAnswer | None,
        )

    @FIXED
    @given(corrupted(pack_permit_answer(ANSWER)))
    def test_corrupted_answer_is_decoded_or_ignored(self, pieces):
        self.assertIsInstance(
            read_permit_message(b''.join(pieces)),
            PermitRequest | PermitAnswer | None,
        )

    @FIXED
    @given(corrupted(pack_status(STATUS)))
    def test_corrupted_limits_of_a_status_are_decoded_or_ignored(self, pieces):
        self.assertIsInstance(
            read_status(b''.join(pieces)), GatewayStatus | None
        )
