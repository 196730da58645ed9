"""
Failures of POST requests must state whether the request may have run.
"""

import socket
from unittest import TestCase

from mallowcrank.operators.client import post_admin
from mallowcrank.refusals import Ran
from mallowcrank.web import Response, WebServer, json_response


class TestPost(TestCase):
    def post(self, response):
        server = WebServer('127.0.0.1:0', lambda _: response, threads=1)
        server.start()
        self.addCleanup(server.stop)
        return post_admin(server.address, '/admin/orders', {})

    def test_response_that_states_that_nothing_ran(self):
        refusal = {'error': {'message': 'the log is out', 'ran': 'no'}}
        failed = self.post(json_response(refusal, 503))
        self.assertEqual(failed.ran, Ran.NO)
        self.assertIn('the log is out', failed.reason)

    def test_response_that_does_not_state_whether_it_ran(self):
        for body in (b'', b'[1]', b'{"error": {"message": "broken"}}'):
            with self.subTest(body):
                failed = self.post(Response(500, body))
                self.assertEqual(failed.ran, Ran.UNKNOWN)

    def test_refused_connection(self):
        with socket.create_server(('127.0.0.1', 0)) as taken:
            address = f'127.0.0.1:{taken.getsockname()[1]}'
        self.assertEqual(post_admin(address, '/', {}).ran, Ran.NO)
