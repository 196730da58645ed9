"""
Tests of connections to targets.

A response must reach only the request that it answers, must end where its
framing says, and must leave the connection reusable only if nothing follows.
"""

from unittest import IsolatedAsyncioTestCase

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.event_buffer import EventBuffer, count_events
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.target_channel import (
    HIGH_WATER_EVENTS,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    BodyChunk,
    ChannelBroken,
    ReadTimeout,
    ResponseEnd,
    ResponseHead,
    TargetChannel,
)
from tests.utils.fake_transport import FakeTransport


def response(payload=b'whole', request=b'r1', extra_headers=b''):
    return b'HTTP/1.1 200 OK\r\nId: %b\r\nContent-Length: %d\r\n%b\r\n%b' % (
        request,
        len(payload),
        extra_headers,
        payload,
    )


def is_first(headers):
    return dict(headers).get(b'Id') == b'r1'


class TestTargetChannel(IsolatedAsyncioTestCase):
    def setUp(self):
        self.transport = FakeTransport()
        self.channel = TargetChannel(Address('10.0.0.1', 80))
        self.channel.connection_made(self.transport)

    async def events(self):
        events = []
        while True:
            event = await self.channel.next_event(0)
            if isinstance(event, ReadTimeout):
                return events
            events.append(event)

    async def body(self):
        chunks = [
            event.data
            for event in await self.events()
            if isinstance(event, BodyChunk)
        ]
        return b''.join(chunks)

    async def test_reading_pauses_while_nobody_takes_the_events(self):
        self.ask()
        self.channel.data_received(
            b'HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        for _ in range(HIGH_WATER_EVENTS):
            self.channel.data_received(b'1\r\nx\r\n')
        self.assertTrue(self.transport.is_paused)
        self.assertEqual(await self.body(), b'x' * HIGH_WATER_EVENTS)
        self.assertFalse(self.transport.is_paused)

    def ask(self):
        self.channel.send(b'GET / HTTP/1.1\r\n\r\n', is_first)

    async def test_complete_response_leaves_the_channel_reusable(self):
        self.ask()
        for byte in response():
            self.channel.data_received(bytes([byte]))
        kinds = [type(event) for event in await self.events()]
        self.assertEqual((kinds[0], kinds[-1]), (ResponseHead, ResponseEnd))
        self.assertTrue(self.channel.is_reusable)

    async def test_late_response_to_another_request_is_skipped(self):
        self.ask()
        self.channel.data_received(
            b''.join((response(b'late', b'r0'), response(b'mine')))
        )
        self.assertEqual(await self.body(), b'mine')

    async def test_second_response_is_not_delivered(self):
        self.ask()
        self.channel.data_received(b''.join((response(), response(b'again'))))
        self.assertEqual(await self.body(), b'whole')
        self.assertFalse(self.channel.is_reusable)

    async def test_bytes_after_a_response_make_the_channel_unusable(self):
        self.ask()
        self.channel.data_received(b'%bgarbage' % response())
        self.assertIsInstance((await self.events())[-1], ResponseEnd)
        self.assertFalse(self.channel.is_reusable)

    async def test_unsolicited_bytes_close_the_channel(self):
        self.ask()
        self.channel.data_received(response())
        self.channel.data_received(response(b'again'))
        self.assertTrue(self.transport.is_aborted)
        self.assertFalse(self.channel.is_reusable)

    async def test_response_without_length_ends_at_end_of_connection(self):
        self.ask()
        self.channel.data_received(b'HTTP/1.1 200 OK\r\nId: r1\r\n\r\nabc')
        self.channel.eof_received()
        self.channel.connection_lost(None)
        kinds = [type(event) for event in await self.events()]
        self.assertEqual(kinds, [ResponseHead, BodyChunk, ResponseEnd])
        self.assertFalse(self.channel.is_reusable)

    async def test_head_without_end_breaks_the_channel(self):
        field = b'X-Field: value\r\n'
        for start, piece in (
            (b'HTTP/1.1 200 OK\r\n', field * 500),
            (b'HTTP/1.1 200 OK\r\nX-Field: ', b'x' * 5000),
            (b'HTTP/1.1 200 ', b'O' * 5000),
        ):
            with self.subTest(piece=piece[:20]):
                self.setUp()
                self.ask()
                self.channel.data_received(start)
                for _ in range(100):
                    self.channel.data_received(piece)
                self.assertTrue(self.transport.is_aborted)
                kinds = [type(event) for event in await self.events()]
                self.assertEqual(kinds, [ChannelBroken])

    async def test_long_body_after_a_head_is_read(self):
        self.ask()
        payload = bytes(4 * MAX_HEAD_BYTES)
        self.channel.data_received(response(payload))
        self.assertEqual(await self.body(), payload)

    async def test_answer_without_end_is_no_response(self):
        self.ask()
        self.channel.data_received(b'HTTP/1.1 200 OK\r\nId: r1\r\n\r\n')
        for _ in range(MAX_BODY_BYTES // MAX_HEAD_BYTES + 1):
            self.channel.data_received(bytes(MAX_HEAD_BYTES))
        answer = await self.channel.read_response(1)
        self.assertIsInstance(answer, ChannelBroken)
        self.assertTrue(self.transport.is_aborted)

    async def test_response_without_length_is_broken_by_a_reset(self):
        self.ask()
        self.channel.data_received(b'HTTP/1.1 200 OK\r\nId: r1\r\n\r\nabc')
        self.channel.connection_lost(ConnectionResetError())
        kinds = [type(event) for event in await self.events()]
        self.assertEqual(kinds, [ResponseHead, BodyChunk, ChannelBroken])

    async def test_truncated_response_is_broken(self):
        for cut in (10, len(response()) - 2):
            with self.subTest(cut=cut):
                self.setUp()
                self.ask()
                self.channel.data_received(response()[:cut])
                self.channel.eof_received()
                self.channel.connection_lost(None)
                self.assertIsInstance((await self.events())[-1], ChannelBroken)

    async def test_response_that_is_not_http_is_broken(self):
        self.ask()
        self.channel.data_received(b'lorem ipsum\r\n\r\n')
        self.assertIsInstance((await self.events())[0], ChannelBroken)
        self.assertTrue(self.transport.is_aborted)

    async def test_channel_with_an_unread_response_is_not_reusable(self):
        self.ask()
        self.channel.data_received(response())
        self.assertFalse(self.channel.is_reusable)
        await self.events()
        self.assertTrue(self.channel.is_reusable)

    async def test_interim_response_is_skipped(self):
        self.ask()
        self.channel.data_received(b'HTTP/1.1 100 Continue\r\n\r\n')
        self.channel.data_received(response())
        self.assertEqual(await self.body(), b'whole')

    async def test_channel_that_the_target_closes_is_not_reusable(self):
        self.ask()
        self.channel.data_received(
            response(extra_headers=b'Connection: close\r\n')
        )
        self.assertFalse(self.channel.is_reusable)

    async def test_idle_channel_expires_before_the_targets_timeout(self):
        self.ask()
        self.channel.data_received(
            response(extra_headers=b'Keep-Alive: timeout=5\r\n')
        )
        await self.events()
        used = self.channel.last_used_at
        self.assertTrue(self.channel.is_usable(used + 3.9))
        self.assertFalse(self.channel.is_usable(used + 4.1))


class TestEventBuffer(IsolatedAsyncioTestCase):
    def test_only_complete_events_are_returned(self):
        raw = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda'
        for size in range(1, 40):
            with self.subTest(size=size):
                buffer = EventBuffer()
                complete = b''.join(
                    buffer.feed(raw[start : start + size])
                    for start in range(0, len(raw), size)
                )
                self.assertEqual(complete, raw[:-8])
                self.assertEqual(buffer.last_id, '2')
                self.assertEqual(buffer.event_count, 2)
                self.assertEqual(buffer.remainder, b'id: 3\nda')

    def test_discarded_part_does_not_reappear(self):
        buffer = EventBuffer()
        buffer.feed(b'id: 1\ndata: a\n\nid: 2\nda')
        buffer.restore_remainder(b'')
        again = b'id: 2\ndata: b\n\n'
        self.assertEqual(buffer.feed(again), again)

    def test_field_before_the_id_is_part_of_the_event(self):
        buffer = EventBuffer()
        raw = b'weights: 3\nid: 4\ndata: a\n\n'
        self.assertEqual(buffer.feed(raw), raw)
        self.assertEqual(buffer.last_id, '4')

    def test_event_that_never_ends_costs_the_same_for_each_byte(self):
        buffer = EventBuffer()
        times_s = []
        for _ in range(2):
            began_at = monotonic_s()
            for _ in range(20_000):
                buffer.feed(b'x' * 50)
            times_s.append(monotonic_s() - began_at)
        self.assertEqual(buffer.remainder_bytes, 2_000_000)
        self.assertLess(times_s[1], 3 * times_s[0])
        self.assertLess(sum(times_s), 1)

    def test_delimiter_in_two_parts_ends_an_event(self):
        for delimiter in (b'\n\n', b'\r\n\r\n', b'\r\r'):
            raw = b'id: 1%bid: 2' % delimiter
            sizes = range(1, len(raw))
            for size in sizes:
                with self.subTest(delimiter=delimiter, size=size):
                    buffer = EventBuffer()
                    complete = buffer.feed(raw[:size]) + buffer.feed(raw[size:])
                    self.assertEqual(complete, raw[:-5])
                    self.assertEqual(buffer.remainder, b'id: 2')

    def test_events_that_came_together_are_counted(self):
        self.assertEqual(count_events(b'id: 1\n\nid: 2\r\n\r\nid: 3'), 2)
