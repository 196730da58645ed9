"""
Waiting until a version is in force, with agents that apply it late.
"""

from unittest import TestCase

from mallowcrank.operators.client import OperatorClient, OperatorSettings
from mallowcrank.operators.waiting import find_lags, wait_until_in_force
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran
from mallowcrank.web import WebServer, json_response


def status(version, routers, live=(), leaving=()):
    peers = {name: {'leaving': False} for name in live}
    peers |= {name: {'leaving': True} for name in leaving}
    return {'version': version, 'routers': routers, 'peers': peers}


class TestLags(TestCase):
    def names(self, agents, routers=()):
        return [lag.name for lag in find_lags(agents, dict(routers), 7)]

    def test_no_lags(self):
        self.assertEqual(self.names({'a': status(7, {'r1': 8}, ['r1'])}), [])

    def test_agent_and_router_with_an_older_version(self):
        found = self.names({'a': status(6, {'r1': 6})})
        self.assertEqual(found, ['agent a', 'router r1'])

    def test_unreachable_agent(self):
        agents = {'a': Failure('silent', Ran.UNKNOWN)}
        self.assertEqual(self.names(agents), ['agent a'])

    def test_live_router_that_no_agent_reports_on(self):
        agents = {'a': status(7, {'r1': 7}, ['r1', 'r2'], ['r3'])}
        self.assertEqual(self.names(agents), ['router r2'])

    def test_router_that_was_polled_itself(self):
        agents = {'a': status(7, {}, ['r1'])}
        routers = {'b': {'host': 'r1', 'version': 7}}
        self.assertEqual(self.names(agents, routers), [])


class FakeAgent:
    """
    An agent that applies a version after some status requests.
    """

    def __init__(self, name, stale_responses):
        self.name = name
        self.stale_responses = stale_responses
        self.requests = 0
        self.server = WebServer('127.0.0.1:0', self.answer, threads=1)
        self.server.start()

    def answer(self, _request):
        self.requests += 1
        version = 7 if self.requests > self.stale_responses else 6
        return json_response(status(version, {self.name: version}))


class TestWait(TestCase):
    def setUp(self):
        self.agents = [
            FakeAgent('r1', stale_responses=0),
            FakeAgent('r2', stale_responses=3),
        ]
        for agent in self.agents:
            self.addCleanup(agent.server.stop)
        self.now = 0

    def sleep(self, seconds):
        self.now += seconds

    def wait(self, limit_s):
        addresses = tuple(agent.server.address for agent in self.agents)
        client = OperatorClient(
            OperatorSettings(agents=addresses),
            sleep=self.sleep,
            steady=lambda: self.now,
        )
        return wait_until_in_force(client, 7, limit_s)

    def test_only_lagging_agents_are_polled_again(self):
        self.assertEqual(self.wait(60), ())
        self.assertEqual([agent.requests for agent in self.agents], [1, 4])

    def test_remaining_lags_are_returned(self):
        lags = self.wait(0.15)
        self.assertIn('router r2', [lag.name for lag in lags])
