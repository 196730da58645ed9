"""
HTTP server and calls on loopback.
"""

import json
import threading
import time
from unittest import TestCase

from mallowcrank.calls import HttpCaller
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran
from mallowcrank.web import Response, Routes, WebServer, json_response
from tests.utils.local_router import LIMIT_S, wait_until


def echo(request):
    return json_response({'got': request.json(), 'query': dict(request.query)})


def pieces(_request):
    return Response(200, iter([b'one ', b'two']))


class TestWeb(TestCase):
    def setUp(self):
        routes = Routes()
        routes.add('POST', '/echo', echo)
        routes.add('GET', '/pieces/', pieces)
        self.server = WebServer('127.0.0.1:0', routes, max_body_bytes=100)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.caller = HttpCaller(self.server.address)

    def test_json_both_ways(self):
        reply = self.caller.call('POST', '/echo?a=1', b'{"x": 2}')
        self.assertEqual(
            json.loads(reply.body), {'got': {'x': 2}, 'query': {'a': '1'}}
        )

    def test_iterable_body_is_streamed(self):
        self.assertEqual(self.caller.call('GET', '/pieces/x').body, b'one two')

    def test_wait_for_a_thread_is_told(self):
        held, waits = threading.Event(), []

        def hold(request):
            waits.append(request.waited_s)
            held.wait(LIMIT_S)
            return json_response({})

        server = WebServer('127.0.0.1:0', hold, threads=1)
        server.start()
        self.addCleanup(server.stop)
        callers = [
            threading.Thread(
                target=HttpCaller(server.address).call, args=('GET', '/')
            )
            for _ in range(2)
        ]
        for caller in callers:
            caller.start()
        wait_until(lambda: waits and server.waiting)
        began = time.monotonic()
        time.sleep(0.05)
        waited_s = time.monotonic() - began
        held.set()
        for caller in callers:
            caller.join()
        self.assertGreaterEqual(max(waits), waited_s)

    def test_wrong_method_and_path(self):
        self.assertEqual(self.caller.call('GET', '/echo').status, 405)
        self.assertEqual(self.caller.call('GET', '/nothing').status, 404)

    def test_refused_connection_did_not_run(self):
        failure = HttpCaller('127.0.0.1:1').call('GET', '/')
        self.assertIsInstance(failure, Failure)
        self.assertIs(failure.ran, Ran.NO)
