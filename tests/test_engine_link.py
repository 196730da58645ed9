"""
Reuse of persistent connections to one engine, against a local server.
"""

from unittest import TestCase

from mallowcrank.clock import FakeClock
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran
from mallowcrank.streams.engine_link import EngineLink
from mallowcrank.web import Response, WebServer

MAX_IDLE_S = 2
TIMEOUT_S = 20


class TestEngineLink(TestCase):
    def setUp(self):
        self.peers = []
        self.server = WebServer('127.0.0.1:0', self.answer, threads=4)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.clock = FakeClock()
        self.link = self.link_to(self.server.address)

    def link_to(self, address):
        return EngineLink(address, 'text/plain', MAX_IDLE_S, self.clock.steady)

    def answer(self, request):
        self.peers.append(request.peer)
        if request.path == '/last':
            return Response(200, request.body, (('Connection', 'close'),))
        return Response(409, request.body, (('X-Ran', 'no'),))

    def post(self, path='/steps'):
        return self.link.post(path, b'steps', TIMEOUT_S)

    def test_reply_has_status_body_and_headers(self):
        reply = self.post()
        self.assertEqual((reply.status, reply.body), (409, b'steps'))
        self.assertEqual(reply.headers['X-Ran'], 'no')

    def test_connection_is_reused(self):
        self.post()
        self.post()
        self.assertEqual(len(set(self.peers)), 1)

    def test_connection_idle_for_too_long_is_replaced(self):
        self.post()
        self.clock.advance(MAX_IDLE_S + 1)
        self.post()
        self.assertEqual(len(set(self.peers)), 2)

    def test_connection_closed_by_the_engine_is_not_reused(self):
        self.post('/last')
        self.assertEqual(self.post().status, 409)
        self.assertEqual(len(set(self.peers)), 2)

    def test_refused_connection_means_not_run(self):
        failure = self.link_to('127.0.0.1:1').post('/steps', b'', TIMEOUT_S)
        self.assertIsInstance(failure, Failure)
        self.assertIs(failure.ran, Ran.NO)
