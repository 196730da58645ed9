"""
Channels to targets: what is an answer, whose it is, and where it ends.
"""

from unittest import IsolatedAsyncioTestCase

from mallowcrank.gateway.event_buffer import EventBuffer
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.target_channel import (
    BodyChunk,
    ChannelBroken,
    ReadTimeout,
    ResponseEnd,
    ResponseHead,
    TargetChannel,
)
from tests.utils.fake_transport import FakeTransport


def answer(body=b'whole', request=b'r1', more=b''):
    return b'HTTP/1.1 200 OK\r\nId: %b\r\nContent-Length: %d\r\n%b\r\n%b' % (
        request,
        len(body),
        more,
        body,
    )


def is_first(headers):
    return dict(headers).get(b'Id') == b'r1'


class TestTargetChannel(IsolatedAsyncioTestCase):
    def setUp(self):
        self.transport = FakeTransport()
        self.channel = TargetChannel(Address('10.0.0.1', 80))
        self.channel.connection_made(self.transport)

    async def events(self):
        found = []
        while True:
            event = await self.channel.next_event(0)
            if isinstance(event, ReadTimeout):
                return found
            found.append(event)

    async def body(self):
        pieces = [
            event.data
            for event in await self.events()
            if isinstance(event, BodyChunk)
        ]
        return b''.join(pieces)

    def ask(self):
        self.channel.send(b'GET / HTTP/1.1\r\n\r\n', is_first)

    async def test_a_whole_answer_leaves_the_channel_for_another(self):
        self.ask()
        for byte in answer():
            self.channel.data_received(bytes([byte]))
        kinds = [type(event) for event in await self.events()]
        self.assertEqual((kinds[0], kinds[-1]), (ResponseHead, ResponseEnd))
        self.assertTrue(self.channel.is_reusable)

    async def test_an_answer_to_another_request_is_passed_over(self):
        self.ask()
        self.channel.data_received(
            b''.join((answer(b'late', b'r0'), answer(b'mine')))
        )
        self.assertEqual(await self.body(), b'mine')

    async def test_a_second_answer_belongs_to_no_request(self):
        self.ask()
        self.channel.data_received(b''.join((answer(), answer(b'again'))))
        self.assertEqual(await self.body(), b'whole')
        self.assertFalse(self.channel.is_reusable)

    async def test_bytes_after_an_answer_close_the_channel(self):
        self.ask()
        self.channel.data_received(b'%bgarbage' % answer())
        self.assertIsInstance((await self.events())[-1], ResponseEnd)
        self.assertFalse(self.channel.is_reusable)

    async def test_bytes_that_nobody_asked_for_close_the_channel(self):
        self.ask()
        self.channel.data_received(answer())
        self.channel.data_received(answer(b'again'))
        self.assertTrue(self.transport.is_aborted)
        self.assertFalse(self.channel.is_reusable)

    async def test_an_answer_without_length_ends_with_the_channel(self):
        self.ask()
        self.channel.data_received(b'HTTP/1.1 200 OK\r\nId: r1\r\n\r\nabc')
        self.channel.eof_received()
        self.channel.connection_lost(None)
        kinds = [type(event) for event in await self.events()]
        self.assertEqual(kinds, [ResponseHead, BodyChunk, ResponseEnd])
        self.assertFalse(self.channel.is_reusable)

    async def test_an_answer_without_length_that_is_reset_is_broken(self):
        self.ask()
        self.channel.data_received(b'HTTP/1.1 200 OK\r\nId: r1\r\n\r\nabc')
        self.channel.connection_lost(ConnectionResetError())
        kinds = [type(event) for event in await self.events()]
        self.assertEqual(kinds, [ResponseHead, BodyChunk, ChannelBroken])

    async def test_an_answer_cut_short_is_broken(self):
        for cut in (10, len(answer()) - 2):
            with self.subTest(cut=cut):
                self.setUp()
                self.ask()
                self.channel.data_received(answer()[:cut])
                self.channel.eof_received()
                self.channel.connection_lost(None)
                self.assertIsInstance((await self.events())[-1], ChannelBroken)

    async def test_what_is_no_http_is_broken(self):
        self.ask()
        self.channel.data_received(b'lorem ipsum\r\n\r\n')
        self.assertIsInstance((await self.events())[0], ChannelBroken)
        self.assertTrue(self.transport.is_aborted)

    async def test_an_answer_that_nobody_took_is_not_left_for_the_next(self):
        self.ask()
        self.channel.data_received(answer())
        self.assertFalse(self.channel.is_reusable)
        await self.events()
        self.assertTrue(self.channel.is_reusable)

    async def test_an_interim_answer_is_passed_over(self):
        self.ask()
        self.channel.data_received(b'HTTP/1.1 100 Continue\r\n\r\n')
        self.channel.data_received(answer())
        self.assertEqual(await self.body(), b'whole')

    async def test_a_target_that_closes_is_not_used_again(self):
        self.ask()
        self.channel.data_received(answer(more=b'Connection: close\r\n'))
        self.assertFalse(self.channel.is_reusable)

    async def test_an_idle_channel_is_given_up_before_the_target_does(self):
        self.ask()
        self.channel.data_received(answer(more=b'Keep-Alive: timeout=5\r\n'))
        await self.events()
        used = self.channel.last_used_at
        self.assertTrue(self.channel.is_usable(used + 3.9))
        self.assertFalse(self.channel.is_usable(used + 4.1))


class TestEventPieces(IsolatedAsyncioTestCase):
    def test_only_whole_events_come_out(self):
        raw = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda'
        for size in range(1, 40):
            with self.subTest(size=size):
                pieces = EventBuffer()
                whole = b''.join(
                    pieces.feed(raw[start : start + size])
                    for start in range(0, len(raw), size)
                )
                self.assertEqual(whole, raw[:-8])
                self.assertEqual(pieces.last_id, '2')
                self.assertEqual(pieces.event_count, 2)
                self.assertEqual(pieces.remainder, b'id: 3\nda')

    def test_a_dropped_part_does_not_come_back(self):
        pieces = EventBuffer()
        pieces.feed(b'id: 1\ndata: a\n\nid: 2\nda')
        pieces.discard_remainder()
        again = b'id: 2\ndata: b\n\n'
        self.assertEqual(pieces.feed(again), again)

    def test_a_first_line_before_the_id_is_kept(self):
        pieces = EventBuffer()
        raw = b'weights: 3\nid: 4\ndata: a\n\n'
        self.assertEqual(pieces.feed(raw), raw)
        self.assertEqual(pieces.last_id, '4')
