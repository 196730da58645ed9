"""
Streams forwarded to the router that keeps their key: data is relayed as it
arrives, and a stream that breaks off ends in an error event.
"""

import json
import socket
import threading
from unittest import TestCase
from unittest.mock import patch

from mallowcrank.bounded_reading import MAX_ANSWER_BYTES
from mallowcrank.view import Peer
from mallowcrank.web import Routes, WebServer, json_response
from tests.utils.fake_engine import FakeEngine
from tests.utils.flooding_peer import FLOODS, FloodingPeer
from tests.utils.local_router import (
    LIMIT_S,
    WORKSPACE,
    LocalRouter,
    address_of,
    make_view,
    wait_until,
)

TOKENS = 24
RESPONSE_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
PIECE = b'c\r\ndata: {"a":1\r\n'  # an incomplete event


class BreakingKeeper:
    """
    Router that starts a streamed answer, then closes the connection or sends
    nothing more.
    """

    def __init__(self, *, closes):
        self._closes = closes
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = address_of(self._listener)
        self._ended = threading.Event()
        threading.Thread(target=self._serve, daemon=True).start()

    def stop(self):
        self._ended.set()
        self._listener.close()

    def _serve(self):
        connection, _ = self._listener.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(RESPONSE_HEAD + PIECE)
            if not self._closes:
                self._ended.wait(LIMIT_S)


class SilentKeeper:
    """
    Router that leaves its first request without an answer.
    """

    def __init__(self):
        self.keys = []
        self._ended = threading.Event()
        routes = Routes()
        routes.add('POST', '/', self._answer)
        self._server = WebServer('127.0.0.1:0', routes, threads=4)
        self._server.start()
        self.address = self._server.address

    def stop(self):
        self._ended.set()
        self._server.stop()

    def _answer(self, request):
        self.keys.append(request.headers['idempotency-key'])
        if len(self.keys) == 1:
            self._ended.wait(LIMIT_S)
        return json_response({}, headers=(('X-Mallowcrank-Ran', 'yes'),))


class TestForwarding(TestCase):
    def start(self, name, engines=(), peers=()):
        view = make_view([each.target for each in engines], peers=peers)
        router = LocalRouter(view, name)
        self.addCleanup(router.stop)
        return router

    def ask(self, router, key):
        headers = {
            'x-mallowcrank-workspace': WORKSPACE,
            'x-mallowcrank-repeatable': 'no',
            'idempotency-key': key,
        }
        body = {
            'model': 'm', 'prompt': 'hat', 'max_tokens': TOKENS, 'stream': True
        }  # fmt: skip
        connection = router.connect()
        self.addCleanup(connection.close)
        connection.request('POST', '/v1/completions', json.dumps(body), headers)
        return connection.getresponse()

    def test_first_tokens_arrive_while_the_stream_runs(self):
        # The announced step time is long, so that the engine does not time out.
        engine = FakeEngine('e1', 0, 5)
        engine.step_ms = 50_000
        engine.silent_after = 10
        engine.recovers = False
        self.addCleanup(engine.stop)
        keeper = self.start('keeper', [engine])
        me = keeper.router.parts.me
        peer = Peer(me.name, keeper.address, 'a', me.incarnation)
        other = self.start('other', [engine], [peer])
        addresses = json.loads(keeper.send('GET', '/v1/addresses').whole)
        key = f'{addresses["key_prefix"]}a'
        answer = self.ask(other, key)
        self.assertTrue(answer.readline().startswith(b'data: '))
        self.assertEqual(answer.headers['x-mallowcrank-router'], 'keeper')
        wait_until(lambda: len(engine.ran) >= 10)

    def test_unresponsive_connection_to_the_keeper_is_replaced(self):
        keeper = SilentKeeper()
        self.addCleanup(keeper.stop)
        peer = Peer('keeper', keeper.address, 'a', 'a' * 16)
        other = self.start('other', peers=[peer])
        key = f'mc1.keeper.{"a" * 16}.99999999999.a'
        with patch('mallowcrank.router.forwarding.FIRST_ANSWER_TIMEOUT_S', 0.2):
            answer = self.ask(other, key)
        self.assertEqual(answer.status, 200)
        self.assertEqual(keeper.keys, [key, key])

    def test_stream_ends_in_an_error_event_if_its_keeper_breaks_off(self):
        for closes in (True, False):
            with self.subTest(closes=closes):
                keeper = BreakingKeeper(closes=closes)
                self.addCleanup(keeper.stop)
                peer = Peer('keeper', keeper.address, 'a', 'a' * 16)
                other = self.start('other', peers=[peer])
                key = f'mc1.keeper.{"a" * 16}.99999999999.a'
                body = self.ask(other, key).read()
                last = json.loads(body.split(b'data: ')[-1])
                self.assertEqual(last['error']['code'], 'keeper_gone')
                self.assertEqual(last['error']['ran'], 'unknown')

    def test_answer_of_the_keeper_that_is_too_long_is_unknown(self):
        keeper = FloodingPeer(FLOODS['a body in chunks'])
        self.addCleanup(keeper.stop)
        peer = Peer('keeper', keeper.address, 'a', 'a' * 16)
        other = self.start('other', peers=[peer])
        answer = self.ask(other, f'mc1.keeper.{"a" * 16}.99999999999.a')
        error = json.loads(answer.read())['error']
        self.assertEqual(error['code'], 'keeper_gone')
        self.assertEqual(error['ran'], 'unknown')
        self.assertLess(keeper.sent_bytes, 2 * MAX_ANSWER_BYTES)
