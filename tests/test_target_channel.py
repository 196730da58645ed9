"""
Tests of connections to targets.

A response must reach only the request that it answers, must end where its
framing says, and must leave the connection reusable only if nothing follows.
"""

import asyncio
from io import BytesIO
from unittest import IsolatedAsyncioTestCase
from unittest.mock import Mock, patch

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.event_buffer import EventBuffer, count_events
from mallowcrank.gateway.ports import HttpCall
from mallowcrank.gateway.prober import MAX_REPORT_BYTES, Prober
from mallowcrank.gateway.receiving import (
    MEMORY_SHARE,
    SLICE_BYTES,
    Part,
    ReceiveBudget,
)
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.stream_run import StreamRun
from mallowcrank.gateway.target_channel import (
    HIGH_WATER_BYTES,
    HIGH_WATER_EVENTS,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    BodyChunk,
    ChannelBroken,
    ChannelPool,
    ReadTimeout,
    ResponseEnd,
    ResponseHead,
    TargetChannel,
)
from tests.utils.fake_transport import FakeTransport

CAPACITY_BYTES = 400_000
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%b'


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

    async def test_channel_that_may_hold_more_bytes_is_not_reusable(self):
        for more, is_reusable in ((0, False), (-1, True)):
            with self.subTest(more=more):
                self.setUp()
                self.ask()
                length = SLICE_BYTES + more
                # As many digits as the length of the whole.
                head_bytes = len(response(bytes(10_000))) - 10_000
                raw = response(bytes(length - head_bytes))
                BytesIO(raw).readinto(self.channel.get_buffer(-1))
                self.channel.buffer_updated(length)
                self.assertIsInstance((await self.events())[-1], ResponseEnd)
                self.assertEqual(self.channel.is_reusable, is_reusable)

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


class TestExcessiveAnswers(IsolatedAsyncioTestCase):
    """
    A target that sends too much loses its channel, and nobody else's.
    """

    def setUp(self):
        self.reports = []
        self.budget = ReceiveBudget(CAPACITY_BYTES * MEMORY_SHARE)
        self.budget.report = self.reports.append
        self.channel = self.ask()

    def ask(self, ip='10.0.0.1'):
        channel = TargetChannel(Address(ip, 80), self.budget)
        channel.connection_made(FakeTransport())
        channel.send(b'GET / HTTP/1.1\r\n\r\n')
        return channel

    async def check_broken(self, part):
        broken = await self.channel.next_event(0)
        while not isinstance(broken, ChannelBroken):
            broken = await self.channel.next_event(0)
        self.assertIs(broken.excess.part, part)
        self.assertEqual(self.reports, [broken.excess])
        self.check_ended(part)

    def flood(self, piece, max_bytes=2 * MAX_HEAD_BYTES):
        for _ in range(max_bytes // len(piece)):
            if self.reports:
                break
            self.channel.data_received(piece)
            self.assertLessEqual(self.budget.held_bytes, CAPACITY_BYTES)

    async def test_header_that_never_ends_is_broken_off(self):
        self.channel.data_received(b'HTTP/1.1 200 OK\r\nLong: ')
        self.flood(b'x' * 1000)
        await self.check_broken(Part.HEAD)

    async def test_interim_answers_without_end_are_broken_off(self):
        self.flood(b'HTTP/1.1 100 Continue\r\n\r\n')
        await self.check_broken(Part.HEAD)

    async def test_trailers_without_end_are_broken_off(self):
        self.channel.data_received(CHUNKED % b'5\r\nwhole\r\n0\r\n')
        self.flood(b'Trailer: y\r\n')
        await self.check_broken(Part.TRAILERS)

    async def test_trailer_that_never_ends_is_broken_off(self):
        self.channel.data_received(CHUNKED % b'5\r\nwhole\r\n0\r\nTrailer: ')
        self.flood(b'x' * 1000)
        await self.check_broken(Part.TRAILERS)

    async def test_extension_of_a_chunk_without_end_is_broken_off(self):
        self.channel.data_received(CHUNKED % b'5;')
        self.flood(b'x' * 1000)
        await self.check_broken(Part.TRAILERS)

    async def test_trailers_are_no_headers_of_the_next_answer(self):
        self.channel.data_received(
            CHUNKED % b'5\r\nwhole\r\n0\r\nId: r1\r\n\r\n'
        )
        answer = await self.channel.read_response(0)
        self.assertEqual(answer.body, b'whole')
        self.assertTrue(self.channel.is_reusable)
        self.channel.send(b'GET / HTTP/1.1\r\n\r\n')
        self.channel.data_received(b'HTTP/1.1 200 OK\r\nId: r2\r\n')
        self.channel.data_received(b'Content-Length: 0\r\n\r\n')
        answer = await self.channel.read_response(0)
        self.assertEqual(dict(answer.head.headers)[b'Id'], b'r2')

    async def test_long_stream_of_small_chunks_is_read_to_its_end(self):
        self.channel.data_received(CHUNKED % b'')
        received = b''
        for _ in range(MAX_HEAD_BYTES):
            self.channel.data_received(b'1\r\nx\r\n')
            received += (await self.next_body()).data
        self.assertEqual(received, b'x' * MAX_HEAD_BYTES)
        self.assertEqual(self.reports, [])

    async def next_body(self):
        event = await self.channel.next_event(0)
        return (
            event
            if isinstance(event, BodyChunk)
            else await self.channel.next_event(0)
        )

    async def test_small_chunks_that_come_together_are_one_event(self):
        self.channel.data_received(CHUNKED % (b'1\r\nx\r\n' * 1000))
        self.assertIsInstance(await self.channel.next_event(0), ResponseHead)
        event = await self.channel.next_event(0)
        self.assertEqual(event, BodyChunk(b'x' * 1000))
        self.assertEqual(await self.channel.next_event(0), ReadTimeout())

    async def test_reading_pauses_at_few_long_events(self):
        self.channel.data_received(CHUNKED % b'')
        self.channel.data_received(
            b'%x\r\n%b' % (HIGH_WATER_BYTES, b'x' * HIGH_WATER_BYTES)
        )
        self.assertTrue(self.channel._transport.is_paused)
        await self.channel.next_event(0)
        await self.channel.next_event(0)
        self.assertFalse(self.channel._transport.is_paused)

    async def test_bodies_of_all_channels_together_are_bounded(self):
        honest = self.ask('10.0.0.2')
        honest.data_received(
            b'HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n'
        )
        honest.data_received(b'x' * 50_000)
        flooding = [self.ask() for _ in range(8)]
        for channel in flooding:
            channel.data_received(b'HTTP/1.1 200 OK\r\n\r\n')
        for _ in range(100):
            for channel in flooding:
                channel.data_received(b'x' * 1000)
                self.assertLessEqual(self.budget.held_bytes, CAPACITY_BYTES)
        self.assertEqual({each.peer for each in self.reports}, {'10.0.0.1:80'})
        honest.data_received(b'x' * 10_000)
        answer = await honest.read_response(0)
        self.assertEqual(answer.body, b'x' * 60_000)

    async def test_body_that_its_reader_keeps_counts(self):
        self.channel.data_received(b'HTTP/1.1 200 OK\r\n\r\n')
        reading = asyncio.create_task(self.channel.read_response(1))
        for _ in range(CAPACITY_BYTES // 10_000 + 1):
            await asyncio.sleep(0)
            self.channel.data_received(b'x' * 10_000)
        broken = await reading
        self.assertIs(broken.excess.part, Part.SHARE)

    async def test_idle_channel_holds_nothing(self):
        self.channel.data_received(response())
        while not self.channel.is_reusable:
            event = await self.channel.next_event(0)
            if isinstance(event, BodyChunk):
                self.channel.keep(len(event.data))
        self.assertEqual(self.budget.held_bytes, len(b'whole'))
        ChannelPool(self.budget).release(self.channel)
        self.assertTrue(self.channel.is_reusable)
        self.assertEqual(self.budget.held_bytes, 0)

    async def test_long_report_is_broken_off_before_it_is_decoded(self):
        pool = ChannelPool(self.budget)
        vocabulary = Mock()
        vocabulary.report_call.return_value = HttpCall('GET', '/report')
        prober = Prober(Mock(), pool, vocabulary, Mock(), Mock(), Mock())
        with patch.object(pool, 'take_idle', return_value=self.channel):
            reading = asyncio.create_task(prober.fetch_report(Mock()))
            await asyncio.sleep(0)
        body = b'{"a":[%b{}]}' % (b'{},' * (MAX_REPORT_BYTES // 3))
        for start in range(0, len(body), MAX_HEAD_BYTES):
            piece = body[start : start + MAX_HEAD_BYTES]
            if not start:
                piece = response(body)[: -len(body)] + piece
            self.channel.data_received(piece)
            await asyncio.sleep(0)
        self.assertIn('no report', await reading)
        vocabulary.read_report.assert_not_called()
        self.check_ended(Part.BODY)

    def check_ended(self, part):
        self.assertEqual([each.part for each in self.reports], [part])
        self.assertEqual(self.budget.held_bytes, 0)
        self.assertFalse(self.channel.is_reusable)

    async def test_silent_run_goes_on_with_an_event_in_many_parts(self):
        run = StreamRun(channel=self.channel)
        self.channel.data_received(b'HTTP/1.1 200 OK\r\n\r\n')
        self.channel.data_received(b'id: 1\n')
        self.assertFalse(run.goes_on(1))
        self.channel.data_received(b'\nid: 2')
        self.assertTrue(run.goes_on(1))
        self.assertFalse(run.goes_on(2))
        while not self.channel._transport.is_paused:
            self.assertFalse(run.goes_on(2))
            self.channel.data_received(b'x' * 10_000)
        self.assertTrue(run.goes_on(2))

    async def test_ended_answer_holds_nothing(self):
        self.channel.data_received(response())
        await self.channel.read_response(0)
        self.assertEqual(self.budget.held_bytes, 0)


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
