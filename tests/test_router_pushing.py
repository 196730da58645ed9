"""
Streams' tokens, written past their callers' threads.
"""

import socket
from queue import SimpleQueue
from unittest import TestCase

from mallowcrank.router.pushing import (
    KEEPALIVE_MARKER,
    MAX_STALLED_CHECKS,
    PushedStream,
    Pusher,
    PushPorts,
)
from mallowcrank.streams.outlet import Ended, Outlet

LIMIT_S = 40
TOKENS = 4000


class TestPushing(TestCase):
    def setUp(self):
        caller, router = socket.socketpair()
        self.caller = caller
        self.caller.settimeout(LIMIT_S)
        router.setblocking(False)
        router.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        self.router = router
        self.addCleanup(self.caller.close)
        self.addCleanup(router.close)
        self.told = SimpleQueue()
        self.pusher = Pusher()
        self.stream = PushedStream(PushPorts(router, shape, self.told.put))

    def push(self, *given):
        for each in given:
            self.pusher.put(self.stream, each)

    def test_token_goes_out_as_one_chunk(self):
        self.push(7)
        self.assertEqual(self.caller.recv(100), b'4\r\n7 a\n\r\n')

    def test_sign_of_life_goes_out_where_nothing_waits(self):
        self.push(KEEPALIVE_MARKER)
        self.assertEqual(self.caller.recv(100), b'3\r\n a\n\r\n')

    def test_slow_caller_gets_all_tokens_once_and_in_order(self):
        events = PushPorts(self.router, number_lines, self.told.put)
        self.stream = PushedStream(events)
        self.push(*range(TOKENS), Ended('stop'))
        numbers = []
        body = b''
        while len(numbers) < TOKENS:
            body += self.caller.recv(1 << 16)
            numbers = [
                int(line[2:])
                for line in body.split(b'\r\n')[:-1]
                if line.startswith(b'n ')
            ]
        self.assertEqual(numbers, list(range(TOKENS)))
        self.assertEqual(self.told.get(timeout=LIMIT_S), Ended('stop'))

    def test_caller_that_takes_nothing_holds_up_no_other(self):
        other, router = socket.socketpair()
        self.addCleanup(other.close)
        self.addCleanup(router.close)
        other.settimeout(LIMIT_S)
        second = PushedStream(PushPorts(router, shape, self.told.put))
        self.push(*range(TOKENS))
        self.pusher.put(second, 7)
        self.assertEqual(other.recv(100), b'4\r\n7 a\n\r\n')

    def test_closed_connection_is_told(self):
        self.caller.close()
        self.push(7)
        self.assertIsNone(self.told.get(timeout=LIMIT_S))
        self.assertTrue(self.stream.is_broken)

    def test_nothing_is_written_once_closed(self):
        self.stream.close()
        self.push(7)
        self.pusher.put(PushedStream(PushPorts(self.router, shape, None)), 8)
        self.assertEqual(self.caller.recv(100), b'4\r\n8 a\n\r\n')

    def test_half_a_chunk_breaks_the_stream_when_it_is_closed(self):
        self.stream.write(list(range(TOKENS)))
        while not self.stream.write([1]):
            self.stream.close()
        self.assertTrue(self.stream.is_broken)

    def test_caller_that_takes_nothing_for_long_is_given_up(self):
        self.stream.write(list(range(TOKENS)))
        for _ in range(MAX_STALLED_CHECKS):
            self.assertFalse(self.stream.is_broken)
            self.stream.check_progress()
        self.stream.check_progress()
        self.assertTrue(self.stream.is_broken)

    def test_caller_that_takes_a_little_is_waited_for(self):
        self.stream.write(list(range(10 * TOKENS)))
        for _ in range(2 * MAX_STALLED_CHECKS):
            self.caller.recv(8192)
            self.stream.write([])
            self.stream.check_progress()
        self.assertFalse(self.stream.is_broken)

    def test_tokens_that_wait_are_pushed_first(self):
        outlet, pushed = Outlet(), []
        outlet.put(1)
        outlet.push_to(pushed.append)
        outlet.put(2)
        self.assertEqual(pushed, [1, 2])


def shape(tokens):
    return b'%b a\n' % b' '.join(b'%d' % each for each in tokens)


def number_lines(tokens):
    return b'\r\n'.join(b'n %d' % each for each in tokens)
