"""
Answers without end to the calls that threads make: they hold neither memory
nor the thread.
"""

import time
from unittest import TestCase

from mallowcrank.calls import HttpCaller, StreamLimits
from mallowcrank.membership.messages import Ask
from mallowcrank.membership.prober import (
    MAX_STATUS_BYTES,
    PersistentConnection,
)
from mallowcrank.membership.streams import ask_peer
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran
from mallowcrank.streams.engine_link import EngineLink
from mallowcrank.web import Response, WebServer
from mallowcrank.wire import KeyRing
from tests.utils.flooding_peer import (
    DRIBBLE_PAUSE_S,
    DRIBBLES,
    FLOODS,
    INFLATING_ANSWER,
    MB,
    Flood,
    FloodingPeer,
)

LONG_TIMEOUT_S = 30
SHORT_TIMEOUT_S = 0.5
MAX_IDLE_S = 2
MAX_TAKEN_BYTES = 32 * MB  # the longest answer, and buffers of the sockets
MAX_DURATION_S = 1.5
LONG_ANSWER_BYTES = 15 * MB


class EndlessReplies:
    """
    Checks one way of calling a peer.
    """

    long_answer_bytes = LONG_ANSWER_BYTES

    def call(self, address, timeout_s):
        """
        Call a peer that floods, and return the reply.
        """
        raise NotImplementedError

    def test_flood_ends_at_the_longest_answer(self):
        for kind, flood in FLOODS.items():
            with self.subTest(kind):
                peer = FloodingPeer(flood)
                self.addCleanup(peer.stop)
                self.check_failure(self.call(peer.address, LONG_TIMEOUT_S))
                self.assertLess(peer.sent_bytes, MAX_TAKEN_BYTES)

    def test_dribble_ends_at_the_timeout(self):
        for kind, flood in DRIBBLES.items():
            with self.subTest(kind):
                peer = FloodingPeer(flood, DRIBBLE_PAUSE_S)
                self.addCleanup(peer.stop)
                started = time.monotonic()
                self.check_failure(self.call(peer.address, SHORT_TIMEOUT_S))
                duration_s = time.monotonic() - started
                self.assertLess(duration_s, MAX_DURATION_S)

    def test_long_answer_is_whole(self):
        answer = Response(200, b'x' * self.long_answer_bytes)
        server = WebServer('127.0.0.1:0', lambda _: answer)
        server.start()
        self.addCleanup(server.stop)
        reply = self.call(server.address, LONG_TIMEOUT_S)
        self.assertEqual(reply.body, answer.body)

    def check_failure(self, reply):
        self.assertIs(type(reply), Failure)
        self.assertIs(reply.ran, Ran.UNKNOWN)


class TestHttpCaller(EndlessReplies, TestCase):
    def call(self, address, timeout_s):
        return HttpCaller(address).call('GET', '/', timeout_s=timeout_s)

    def test_connection_of_a_flood_is_not_reused(self):
        peer = FloodingPeer(FLOODS['trailers'])
        self.addCleanup(peer.stop)
        caller = HttpCaller(peer.address, connections=1)
        for _ in range(2):
            self.check_failure(caller.call('GET', '/'))
        self.assertEqual(peer.accepted, 2)

    def test_inflated_answer_is_bounded(self):
        peer = FloodingPeer(Flood(INFLATING_ANSWER, b''))
        self.addCleanup(peer.stop)
        self.check_failure(self.call(peer.address, LONG_TIMEOUT_S))


class TestEngineLink(EndlessReplies, TestCase):
    def call(self, address, timeout_s):
        link = EngineLink(address, 'text/plain', MAX_IDLE_S)
        return link.post('/steps', b'steps', timeout_s)

    def test_connection_of_a_flood_is_not_reused(self):
        peer = FloodingPeer(FLOODS['trailers'])
        self.addCleanup(peer.stop)
        link = EngineLink(peer.address, 'text/plain', MAX_IDLE_S)
        for _ in range(2):
            self.check_failure(link.post('/steps', b'steps', LONG_TIMEOUT_S))
        self.assertEqual(peer.accepted, 2)


class TestProbe(EndlessReplies, TestCase):
    long_answer_bytes = MAX_STATUS_BYTES - 1000

    def call(self, address, _timeout_s):
        # A probe has a timeout of its own.
        return PersistentConnection(address).get('/status')

    def test_connection_of_a_flood_is_not_reused(self):
        peer = FloodingPeer(FLOODS['trailers'])
        self.addCleanup(peer.stop)
        connection = PersistentConnection(peer.address)
        for _ in range(2):
            self.check_failure(connection.get('/status'))
        self.assertEqual(peer.accepted, 2)


class TestStreamedReply(TestCase):
    """
    A stream may be long; what comes between two of its pieces may not.
    """

    def read(self, flood, total_timeout_s, pause_s=0):
        """
        Read a stream to its end, and return that end and the duration.
        """
        peer = FloodingPeer(flood, pause_s)
        self.addCleanup(peer.stop)
        limits = StreamLimits(LONG_TIMEOUT_S, SHORT_TIMEOUT_S, total_timeout_s)
        started = time.monotonic()
        reply = HttpCaller(peer.address).open('GET', '/', None, {}, limits)
        piece = reply.read_chunk()
        while piece and not isinstance(piece, Failure):
            piece = reply.read_chunk()
        return piece, time.monotonic() - started, peer.sent_bytes

    def test_flood_of_trailers_ends(self):
        piece, _, sent_bytes = self.read(FLOODS['trailers'], LONG_TIMEOUT_S)
        self.assertIs(piece.ran, Ran.UNKNOWN)
        self.assertLess(sent_bytes, MAX_TAKEN_BYTES)

    def test_long_chunk_is_read_in_pieces(self):
        piece, _, sent_bytes = self.read(FLOODS['one chunk'], LONG_TIMEOUT_S)
        self.assertIs(piece.ran, Ran.UNKNOWN)
        self.assertGreater(sent_bytes, MAX_TAKEN_BYTES)

    def test_dribble_of_trailers_ends_at_the_idle_timeout(self):
        piece, duration_s, _ = self.read(
            DRIBBLES['trailers'], LONG_TIMEOUT_S, DRIBBLE_PAUSE_S
        )
        self.assertIs(piece.ran, Ran.UNKNOWN)
        self.assertLess(duration_s, MAX_DURATION_S)

    def test_dribble_of_pieces_ends_at_the_total_timeout(self):
        piece, duration_s, _ = self.read(
            DRIBBLES['a body in chunks'], SHORT_TIMEOUT_S, DRIBBLE_PAUSE_S
        )
        self.assertIs(piece.ran, Ran.UNKNOWN)
        self.assertLess(duration_s, MAX_DURATION_S)


class TestAnswerOfAnAgent(TestCase):
    def test_dribble_of_a_frame_ends_at_the_timeout(self):
        # A frame whose body never ends.
        begin = b'\x93\x00\xc4\x10%s\xc6\x03\xff\x00\x00' % bytes(16)
        peer = FloodingPeer(Flood(begin, b'x'), DRIBBLE_PAUSE_S)
        self.addCleanup(peer.stop)
        started = time.monotonic()
        question = Ask(1, 'topic')
        answer = ask_peer(peer.address, question, KeyRing(), SHORT_TIMEOUT_S)
        self.assertIsNone(answer)
        self.assertLess(time.monotonic() - started, MAX_DURATION_S)
