"""
The router's metrics, as a statsd server receives them.
"""

import socket
from unittest import TestCase

from mallowcrank.settings import HostSettings
from tests.utils.fake_engine import FakeEngine
from tests.utils.local_router import LocalRouter, address_of, make_view

TIMEOUT_S = 20


class TestMetrics(TestCase):
    def setUp(self):
        self.statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.statsd.close)
        self.statsd.bind(('127.0.0.1', 0))
        self.statsd.settimeout(TIMEOUT_S)
        engine = FakeEngine('e1', 0, 5)
        self.addCleanup(engine.stop)
        address = address_of(self.statsd)
        self.router = LocalRouter(
            make_view([engine.target]),
            host_settings=HostSettings('r1', 'a', address),
        )
        self.addCleanup(self.router.stop)

    def test_all_documented_metrics_are_sent(self):
        """
        Guards against a renamed or missing metric that the operators'
        documentation lists.
        """
        self.router.chat()
        missing = {
            'requests',
            'tokens',
            'first_token',
            'in_flight',
            'version',
            'targets',
            'view_age',
        }
        while missing:
            name = self.statsd.recv(1024).decode().partition(':')[0]
            missing.discard(name.removeprefix('mallowcrank.router.'))
