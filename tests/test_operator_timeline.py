"""
The operators' commands `timeline` and `drain` against local servers.
"""

import io
import json
from unittest import TestCase

from typer import Typer

from mallowcrank.cli.operator_processes import register
from mallowcrank.clock import FakeClock, HybridClock
from mallowcrank.codec import from_plain, to_plain
from mallowcrank.context import Environment
from mallowcrank.core import main
from mallowcrank.status import ExitStatus
from mallowcrank.timeline import Filter, Timeline
from mallowcrank.web import Routes, WebServer, json_response


class TestProcesses(TestCase):
    def setUp(self):
        self.router = Timeline('h1', HybridClock(FakeClock(1000)))
        self.agent = Timeline('h2', HybridClock(FakeClock(1001)))
        self.drained = []
        self.servers = [self.serve(self.agent), self.serve(self.router)]
        self.addresses = ','.join(server.address for server in self.servers)
        self.environment = Environment(
            stdout=io.StringIO(), stderr=io.StringIO()
        )
        self.app = Typer()
        register(self.app)

    def serve(self, ring):
        routes = Routes()
        routes.add('GET', '/admin/timeline', lambda req: answer(ring, req))
        routes.add('POST', '/admin/drain', self.record_drain)
        server = WebServer('127.0.0.1:0', routes)
        server.start()
        self.addCleanup(server.stop)
        return server

    def record_drain(self, _request):
        self.drained.append(1)
        return json_response({})

    def run_operator(self, *arguments):
        return main(self.app, 'mallowcrank', arguments, self.environment)

    def test_events_of_a_request_are_merged_from_two_processes(self):
        self.router.record('router', 'Request arrived', request='r1')
        self.router.record('router', 'Request arrived', request='r2')
        self.agent.record('agent', 'Target is gone', request='r1', target='e1')
        status = self.run_operator(
            'timeline', '--processes', self.addresses, '--request', 'r1'
        )
        self.assertEqual(status, ExitStatus.SUCCESS)
        lines = self.environment.stdout.getvalue().splitlines()
        self.assertEqual(len(lines), 2)
        self.assertIn('h1 router: Request arrived  [r1]', lines[0])
        self.assertIn('h2 agent: Target is gone  [r1 e1]', lines[1])

    def test_json_output_has_an_object_per_line(self):
        self.router.record('router', 'Request arrived', request='r1')
        self.run_operator('timeline', '--processes', self.addresses, '--json')
        event = json.loads(self.environment.stdout.getvalue())
        self.assertEqual(event['request'], 'r1')

    def test_unreachable_process_does_not_hide_the_others(self):
        self.router.record('router', 'Request arrived')
        status = self.run_operator(
            'timeline', '--processes', f'{self.addresses},127.0.0.1:1'
        )
        self.assertEqual(status, ExitStatus.ERROR)
        self.assertIn('Request arrived', self.environment.stdout.getvalue())
        self.assertIn('127.0.0.1:1: ', self.environment.stderr.getvalue())

    def test_all_invalid_addresses_are_reported(self):
        status = self.run_operator('drain', 'here,there')
        self.assertEqual(status, ExitStatus.BAD_SETTINGS)
        self.assertIn("'here'", self.environment.stderr.getvalue())
        self.assertIn("'there'", self.environment.stderr.getvalue())

    def test_drain_reaches_each_process(self):
        self.assertEqual(self.run_operator('drain', self.addresses), 0)
        self.assertEqual(len(self.drained), 2)


def answer(ring, request):
    event_filter = from_plain(dict(request.query), Filter)
    return json_response({'events': to_plain(ring.events(event_filter))})
