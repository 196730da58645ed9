"""
HTTP server and calls on loopback.
"""

import json
from unittest import TestCase

from mallowcrank.calls import HttpCaller
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran
from mallowcrank.web import Response, Routes, WebServer, json_response


def echo(request):
    return json_response({'got': request.json(), 'query': dict(request.query)})


def pieces(_request):
    return Response(200, iter([b'one ', b'two']))


class TestWeb(TestCase):
    def setUp(self):
        routes = Routes()
        routes.add('POST', '/echo', echo)
        routes.add('GET', '/pieces/', pieces)
        self.server = WebServer('127.0.0.1:0', routes, max_body=100)
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

    def test_wrong_method_and_path(self):
        self.assertEqual(self.caller.call('GET', '/echo').status, 405)
        self.assertEqual(self.caller.call('GET', '/nothing').status, 404)

    def test_refused_connection_did_not_run(self):
        failure = HttpCaller('127.0.0.1:1').call('GET', '/')
        self.assertIsInstance(failure, Failure)
        self.assertIs(failure.ran, Ran.NO)
