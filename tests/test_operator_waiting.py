"""
Waiting until a version is in force, with agents that are slow to take it.
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

    def test_none_behind(self):
        self.assertEqual(self.names({'a': status(7, {'r1': 8}, ['r1'])}), [])

    def test_agent_and_router_behind(self):
        found = self.names({'a': status(6, {'r1': 6})})
        self.assertEqual(found, ['agent a', 'router r1'])

    def test_agent_that_does_not_answer(self):
        agents = {'a': Failure('silent', Ran.UNKNOWN)}
        self.assertEqual(self.names(agents), ['agent a'])

    def test_live_router_that_nobody_speaks_for(self):
        agents = {'a': status(7, {'r1': 7}, ['r1', 'r2'], ['r3'])}
        self.assertEqual(self.names(agents), ['router r2'])

    def test_router_that_was_asked_itself(self):
        agents = {'a': status(7, {}, ['r1'])}
        routers = {'b': {'host': 'r1', 'version': 7}}
        self.assertEqual(self.names(agents, routers), [])


class FakeAgent:
    """
    Takes over a version after some questions.
    """

    def __init__(self, name, late):
        self.name = name
        self.late = late
        self.asked = 0
        self.server = WebServer('127.0.0.1:0', self.answer, threads=1)
        self.server.start()

    def answer(self, _request):
        self.asked += 1
        version = 7 if self.asked > self.late else 6
        return json_response(status(version, {self.name: version}))


class TestWait(TestCase):
    def setUp(self):
        self.agents = [FakeAgent('r1', late=0), FakeAgent('r2', late=3)]
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

    def test_only_those_behind_are_asked_again(self):
        self.assertEqual(self.wait(60), ())
        self.assertEqual([agent.asked for agent in self.agents], [1, 4])

    def test_those_behind_at_the_end_are_named(self):
        lags = self.wait(0.15)
        self.assertIn('router r2', [lag.name for lag in lags])
