"""
Compression of what gateways fetch from each other.
"""

import zlib
from unittest import TestCase

from mallowcrank.gateway.body_coding import (
    ACCEPT_DEFLATE,
    DEFLATED,
    decode_body,
    encode_body,
)
from mallowcrank.gateway.target_channel import (
    MAX_BODY_BYTES,
    Response,
    ResponseHead,
)

BODY = b'{"version": 9}' * 100


def answer(body, *headers):
    return Response(ResponseHead(200, headers), body)


class TestBodyCoding(TestCase):
    def test_body_survives_compression(self):
        headers, encoded = encode_body((ACCEPT_DEFLATE,), BODY)
        self.assertLess(len(encoded), len(BODY) / 10)
        self.assertEqual(decode_body(answer(encoded, *headers)), BODY)

    def test_earlier_build_gets_and_sends_plain_bodies(self):
        self.assertEqual(encode_body((), BODY), ((), BODY))
        self.assertEqual(decode_body(answer(BODY)), BODY)

    def test_malformed_body_is_an_error(self):
        whole = zlib.compress(BODY)
        bomb = zlib.compress(bytes(MAX_BODY_BYTES + 1))
        for raw in (b'', b'no deflate', whole[:-5], bomb):
            with self.subTest(raw=raw[:10]), self.assertRaises(ValueError):
                decode_body(answer(raw, DEFLATED))
