"""
Channels that died while they were idle: nothing that is sent there is
acknowledged, and no answer comes, until the caller leaves.
"""

import socket
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import Mock

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.dead_peers import (
    KEEPALIVE_IDLE_S,
    MAX_WATCHED_BYTES,
    watch_idle,
    watch_request,
)
from mallowcrank.gateway.target_channel import (
    ChannelBroken,
    ChannelPool,
    ReadTimeout,
    Response,
    encode_request,
)
from mallowcrank.platform.standins.bodies import route_row
from mallowcrank.platform.standins.in_process import InProcessPlatform
from tests.utils.raw_replica import DEAF, RawReplica, answer

BODY = bytes(3500)
NOTICE_S = 1.5  # under the time for which callers wait
DEADLINE_MS = 4000
REQUEST = encode_request('POST', b'/x', ((b'Host', b'a'),), BODY)


def answer_once(number, fields):
    """
    Answer a request, after which the channel is dead; new channels work.
    """
    return DEAF, answer(fields, body=b'whole')


class TestDeadChannel(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.peer = RawReplica('i-deaf', 'stock', answer_once)
        await self.peer.listen(is_deaf=True)
        self.addCleanup(self.peer.stop)
        self.pool = ChannelPool()
        self.channel = await self.pool.connect(self.peer.address)
        self.addCleanup(self.channel.close)

    async def keep_channel(self):
        """
        Make one request, after which the channel is idle, and dead.
        """
        self.channel.send(REQUEST)
        answer = await self.channel.read_response(NOTICE_S)
        self.assertIsInstance(answer, Response)
        self.pool.release(self.channel)
        self.assertIs(self.pool.take_idle(self.peer.address), self.channel)

    async def test_request_on_a_dead_channel_fails_soon(self):
        await self.keep_channel()
        self.channel.send(REQUEST)
        event = await self.channel.next_event(NOTICE_S)
        self.assertIsInstance(event, ChannelBroken)
        self.assertTrue(event.is_unacknowledged)

    async def test_long_request_may_take_its_time(self):
        await self.keep_channel()
        self.channel.send(REQUEST + bytes(MAX_WATCHED_BYTES))
        event = await self.channel.next_event(NOTICE_S)
        self.assertIsInstance(event, ReadTimeout)

    async def test_answer_that_is_cut_is_not_unacknowledged(self):
        self.channel.send(REQUEST)
        self.channel.data_received(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n')
        self.channel.connection_lost(TimeoutError(110, 'timed out'))
        event = await self.channel.next_event(0)
        self.assertIsInstance(event, ChannelBroken)
        self.assertFalse(event.is_unacknowledged)


class TestSocketOptions(TestCase):
    def test_idle_channels_are_probed_and_busy_ones_are_not(self):
        with socket.socket() as peer:
            transport = Mock(
                get_extra_info=Mock(return_value=peer),
                is_closing=Mock(return_value=False),
            )
            watch_idle(transport)
            self.assertTrue(
                peer.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            )
            self.assertEqual(
                peer.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
                KEEPALIVE_IDLE_S,
            )
            watch_request(transport, len(REQUEST))
            self.assertFalse(
                peer.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            )


class TestCallsOnDeadChannels(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = InProcessPlatform()
        self.addAsyncCleanup(self.world.close)
        await self.world.start_store(routes=[route_row('lookup')])
        self.peer = RawReplica('i-deaf', 'stock', answer_once)
        await self.peer.start(self.world, is_deaf=True)
        self.addCleanup(self.peer.stop)
        self.gateway = await self.world.start_gateway()

    async def call(self):
        began_at = monotonic_s()
        channel = await self.world.connect(
            self.gateway.settings.listening.front
        )
        self.world.send(
            channel,
            '/lookup/x',
            'POST',
            BODY,
            Mallowcrank_Deadline_Ms=str(DEADLINE_MS),
        )
        answer = await self.world.read(channel)
        channel.close()
        return answer.status, monotonic_s() - began_at

    async def test_call_is_served_by_the_only_target_over_a_new_channel(self):
        self.assertEqual((await self.call())[0], 200)
        status, took_s = await self.call()
        self.assertEqual(status, 200)
        self.assertLess(took_s, NOTICE_S)
        self.assertEqual(len(self.peer.requests), 2)

    async def test_dead_channels_are_no_evidence_against_a_request(self):
        record_lost = Mock()
        self.gateway.core.suspects.record_lost = record_lost
        await self.call()
        await self.call()
        record_lost.assert_not_called()
