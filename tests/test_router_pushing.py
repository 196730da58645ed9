"""
Tokens of streams, written by the pusher instead of the callers' threads.
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
from mallowcrank.streams.token_queue import StreamEnd, TokenQueue

TIMEOUT_S = 40
TOKENS = 4000


class TestPushing(TestCase):
    def setUp(self):
        caller, router = socket.socketpair()
        self.caller = caller
        self.caller.settimeout(TIMEOUT_S)
        router.setblocking(False)
        router.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        self.router = router
        self.addCleanup(self.caller.close)
        self.addCleanup(router.close)
        self.notifications = SimpleQueue()
        self.pusher = Pusher()
        self.stream = PushedStream(
            PushPorts(router, format_tokens, self.notifications.put)
        )

    def push(self, *items):
        for each in items:
            self.pusher.put(self.stream, each)

    def test_token_is_sent_as_one_chunk(self):
        """
        Guards against malformed chunks.
        """
        self.push(7)
        self.assertEqual(self.caller.recv(100), b'4\r\n7 a\n\r\n')

    def test_keepalive_is_sent_if_nothing_else_is_queued(self):
        """
        Guards against callers that take an idle router for a frozen one.
        """
        self.push(KEEPALIVE_MARKER)
        self.assertEqual(self.caller.recv(100), b'3\r\n a\n\r\n')

    def test_slow_caller_gets_all_tokens_once_and_in_order(self):
        """
        Guards against lost, repeated or reordered tokens when writes are
        partial.
        """
        events = PushPorts(self.router, format_lines, self.notifications.put)
        self.stream = PushedStream(events)
        self.push(*range(TOKENS), StreamEnd('stop'))
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
        self.assertEqual(
            self.notifications.get(timeout=TIMEOUT_S), StreamEnd('stop')
        )

    def test_blocked_caller_does_not_delay_others(self):
        """
        Guards against a pusher that blocks on one caller.
        """
        other, router = socket.socketpair()
        self.addCleanup(other.close)
        self.addCleanup(router.close)
        other.settimeout(TIMEOUT_S)
        second = PushedStream(
            PushPorts(router, format_tokens, self.notifications.put)
        )
        self.push(*range(TOKENS))
        self.pusher.put(second, 7)
        self.assertEqual(other.recv(100), b'4\r\n7 a\n\r\n')

    def test_closed_connection_is_reported(self):
        """
        Guards against a caller's thread that waits for a broken stream.
        """
        self.caller.close()
        self.push(7)
        self.assertIsNone(self.notifications.get(timeout=TIMEOUT_S))
        self.assertTrue(self.stream.is_broken)

    def test_nothing_is_written_after_close(self):
        """
        Guards against pushed events after the last event of the caller's
        thread.
        """
        self.stream.close()
        self.push(7)
        self.pusher.put(
            PushedStream(PushPorts(self.router, format_tokens, None)), 8
        )
        self.assertEqual(self.caller.recv(100), b'4\r\n8 a\n\r\n')

    def test_close_after_a_partial_chunk_breaks_the_stream(self):
        """
        Guards against writing the last event into an incomplete chunk.
        """
        self.stream.write(list(range(TOKENS)))
        while not self.stream.write([1]):
            self.stream.close()
        self.assertTrue(self.stream.is_broken)

    def test_stalled_caller_is_aborted(self):
        """
        Guards against keeping the stream of a caller that reads nothing.
        """
        self.stream.write(list(range(TOKENS)))
        for _ in range(MAX_STALLED_CHECKS):
            self.assertFalse(self.stream.is_broken)
            self.stream.check_progress()
        self.stream.check_progress()
        self.assertTrue(self.stream.is_broken)

    def test_slow_caller_is_not_aborted(self):
        """
        Guards against aborting the stream of a caller that reads slowly.
        """
        self.stream.write(list(range(10 * TOKENS)))
        for _ in range(2 * MAX_STALLED_CHECKS):
            self.caller.recv(8192)
            self.stream.write([])
            self.stream.check_progress()
        self.assertFalse(self.stream.is_broken)

    def test_queued_tokens_are_pushed_first(self):
        """
        Guards against reordered tokens when the pusher takes over a stream.
        """
        outlet, pushed = TokenQueue(), []
        outlet.put(1)
        outlet.push_to(pushed.append)
        outlet.put(2)
        self.assertEqual(pushed, [1, 2])


def format_tokens(tokens):
    return b'%b a\n' % b' '.join(b'%d' % each for each in tokens)


def format_lines(tokens):
    return b'\r\n'.join(b'n %d' % each for each in tokens)
