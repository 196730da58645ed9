"""
Kept connections to one engine, with a server that counts them.
"""

from unittest import TestCase

from mallowcrank.clock import FakeClock
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran
from mallowcrank.streams.engine_link import EngineLink
from mallowcrank.web import Response, WebServer

FRESH_AFTER_S = 2
LIMIT_S = 20


class TestEngineLink(TestCase):
    def setUp(self):
        self.peers = []
        self.server = WebServer('127.0.0.1:0', self.answer, threads=4)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.clock = FakeClock()
        self.link = self.link_to(self.server.address)

    def link_to(self, address):
        return EngineLink(
            address, 'text/plain', FRESH_AFTER_S, self.clock.steady
        )

    def answer(self, request):
        self.peers.append(request.peer)
        if request.path == '/last':
            return Response(200, request.body, (('Connection', 'close'),))
        return Response(409, request.body, (('X-Ran', 'no'),))

    def post(self, path='/steps'):
        return self.link.post(path, b'steps', LIMIT_S)

    def test_answer_has_status_body_and_headers(self):
        reply = self.post()
        self.assertEqual((reply.status, reply.body), (409, b'steps'))
        self.assertEqual(reply.headers['X-Ran'], 'no')

    def test_connection_is_kept(self):
        self.post()
        self.post()
        self.assertEqual(len(set(self.peers)), 1)

    def test_connection_that_was_idle_is_not_trusted(self):
        self.post()
        self.clock.advance(FRESH_AFTER_S + 1)
        self.post()
        self.assertEqual(len(set(self.peers)), 2)

    def test_connection_that_the_engine_ends_is_not_kept(self):
        self.post('/last')
        self.assertEqual(self.post().status, 409)
        self.assertEqual(len(set(self.peers)), 2)

    def test_engine_that_is_gone_ran_nothing(self):
        failure = self.link_to('127.0.0.1:1').post('/steps', b'', LIMIT_S)
        self.assertIsInstance(failure, Failure)
        self.assertIs(failure.ran, Ran.NO)
