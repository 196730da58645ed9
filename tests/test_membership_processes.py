"""
Membership between agents in separate processes.
"""

import socket
import time
from unittest import TestCase

from mallowcrank.membership.messages import Beat, Hello, from_body, to_body
from mallowcrank.settings import Checker
from mallowcrank.wire import FrameReader, pack_frame
from scripts.fleet import Fleet, get_json, post_json
from scripts.layout import PEER_KEYS, Engine, Layout

ZONES = ('shah-alam', 'petaling', 'cyberjaya', 'shah-alam')
KEYS = Checker().keys('', PEER_KEYS)
ENGINES = ('leaving', 'steady', 'dead')
TIMEOUT_S = 40
POLL_INTERVAL_S = 0.1
READ_BYTES = 4096


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError('the condition was not met in time')
        time.sleep(POLL_INTERVAL_S)


class TestAgents(TestCase):
    """
    Changes of targets and agents reach all agents without the host list.

    All tests share one fleet, and each uses its own engine. The host list
    fails once all agents know all engines.
    """

    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.close)
        cls.layout = Layout(cls.fleet, len(ZONES))
        cls.layout.start_platform()
        for name in ENGINES:
            cls.layout.start_engine(Engine(name, '0-23', 1, ZONES[0]))
        for number, zone in enumerate(ZONES):
            cls.layout.start_agent(number, zone)
        wait_until(
            lambda: all(cls.all_agents_report(name, 'live') for name in ENGINES)
        )
        outage = {'fault': 'outage'}
        post_json(cls.layout.addresses.host_list, '/control', outage)

    @classmethod
    def all_agents_report(cls, name, state):
        return all(
            cls.reported_state(admin, name) == state
            for admin in cls.layout.addresses.agent_admins
        )

    @classmethod
    def reported_state(cls, admin, name):
        targets = get_json(admin, '/admin/members')['targets']
        return targets.get(name, {}).get('state')

    def test_leaving_target_is_reported_during_host_list_outage(self):
        leave = {'fault': 'leave'}
        post_json(self.layout.targets['leaving'], '/control', leave)
        wait_until(lambda: self.all_agents_report('leaving', 'leaving'))

    def test_rolling_restart_of_agents_during_host_list_outage(self):
        for number, zone in enumerate(ZONES):
            process = self.fleet.get(f'agent-{number}')
            process.terminate()
            self.assertEqual(process.wait(), 0)
            self.layout.start_agent(number, zone)
            wait_until(lambda: self.all_agents_report('steady', 'live'))

    def test_dead_target_is_gone_on_all_agents(self):
        self.fleet.get('dead').kill()
        wait_until(lambda: self.all_agents_report('dead', 'gone'))


class SilentPeer:
    """
    A peer that sends a hello and one heartbeat, and nothing afterwards.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(':')
        self.address = address
        self.listener = socket.create_server((host, int(port)))
        self.listener.settimeout(TIMEOUT_S)

    def accept(self):
        """
        Return the first connection that sends a hello, with that message.

        Connections with other first messages carry requests and are closed.
        """
        while True:
            sock, _ = self.listener.accept()
            sock.settimeout(TIMEOUT_S)
            first = read_first_message(sock)
            if isinstance(first, Hello):
                break
            sock.close()
        for message in (Hello('silent', 1, self.address), Beat(0)):
            sock.sendall(pack_frame(to_body(message), KEYS))
        return sock, first


def read_first_message(sock):
    reader = FrameReader(KEYS)
    bodies = []
    while not bodies:
        bodies.extend(reader.feed(sock.recv(READ_BYTES)))
    return from_body(bodies[0])


def read_to_end(sock):
    received = sock.recv(READ_BYTES)
    while received:
        received = sock.recv(READ_BYTES)


class TestSilentPeer(TestCase):
    """
    An open connection without messages is not mistaken for a live peer.
    """

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.layout = Layout(self.fleet, 1)

    def test_silent_connection_is_closed_and_reopened(self):
        peer = SilentPeer(f'{self.fleet.ip(200)}:7000')
        self.addCleanup(peer.listener.close)
        flags = ('--peers', peer.address)
        self.layout.start_agent(0, ZONES[0], *flags)
        for _ in range(2):
            sock, hello = peer.accept()
            self.assertEqual(hello.name, 'host-0')
            read_to_end(sock)
            sock.close()
