"""
The HTTP server and client over loopback.
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


def stream_chunks(_request):
    return Response(200, iter([b'one ', b'two']))


class TestWeb(TestCase):
    def setUp(self):
        routes = Routes()
        routes.add('POST', '/echo', echo)
        routes.add('GET', '/pieces/', stream_chunks)
        self.server = WebServer('127.0.0.1:0', routes, max_body_bytes=100)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.caller = HttpCaller(self.server.address)

    def test_json_request_and_response(self):
        reply = self.caller.call('POST', '/echo?a=1', b'{"x": 2}')
        self.assertEqual(
            json.loads(reply.body), {'got': {'x': 2}, 'query': {'a': '1'}}
        )

    def test_iterable_body_is_streamed(self):
        self.assertEqual(self.caller.call('GET', '/pieces/x').body, b'one two')

    def test_wait_for_a_thread_is_measured(self):
        released, waits = threading.Event(), []

        def block(request):
            waits.append(request.waited_s)
            released.wait(LIMIT_S)
            return json_response({})

        server = WebServer('127.0.0.1:0', block, threads=1)
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
        started = time.monotonic()
        time.sleep(0.05)
        waited_s = time.monotonic() - started
        released.set()
        for caller in callers:
            caller.join()
        self.assertGreaterEqual(max(waits), waited_s)

    def test_unsupported_method_and_unknown_path(self):
        self.assertEqual(self.caller.call('GET', '/echo').status, 405)
        self.assertEqual(self.caller.call('GET', '/nothing').status, 404)

    def test_refused_connection_counts_as_not_run(self):
        failure = HttpCaller('127.0.0.1:1').call('GET', '/')
        self.assertIsInstance(failure, Failure)
        self.assertIs(failure.ran, Ran.NO)
