"""
Membership between real processes.
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
LIMIT_S = 40
POLL_S = 0.1
READ_BYTES = 4096


def wait(is_so):
    end = time.monotonic() + LIMIT_S
    while not is_so():
        if time.monotonic() > end:
            raise TimeoutError('it took too long')
        time.sleep(POLL_S)


class TestAgents(TestCase):
    """
    One fleet for all tests; each has an engine of its own. The host list is
    out once all are known.
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
        wait(lambda: all(cls.all_see(name, 'live') for name in ENGINES))
        outage = {'fault': 'outage'}
        post_json(cls.layout.addresses.host_list, '/control', outage)

    @classmethod
    def all_see(cls, name, state):
        return all(
            cls.seen(admin, name) == state
            for admin in cls.layout.addresses.agent_admins
        )

    @classmethod
    def seen(cls, admin, name):
        targets = get_json(admin, '/admin/members')['targets']
        return targets.get(name, {}).get('state')

    def test_target_that_leaves_while_the_list_is_out(self):
        leave = {'fault': 'leave'}
        post_json(self.layout.targets['leaving'], '/control', leave)
        wait(lambda: self.all_see('leaving', 'leaving'))

    def test_all_agents_replaced_one_by_one_while_the_list_is_out(self):
        for number, zone in enumerate(ZONES):
            process = self.fleet.get(f'agent-{number}')
            process.terminate()
            self.assertEqual(process.wait(), 0)
            self.layout.start_agent(number, zone)
            wait(lambda: self.all_see('steady', 'live'))

    def test_dead_target_is_gone_for_all(self):
        self.fleet.get('dead').kill()
        wait(lambda: self.all_see('dead', 'gone'))


class SilentPeer:
    """
    An agent that greets, beats once, and never says anything again.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(':')
        self.address = address
        self.listener = socket.create_server((host, int(port)))
        self.listener.settimeout(LIMIT_S)

    def accept(self):
        """
        Accept a connection that greets; those that only ask are closed.
        """
        while True:
            sock, _ = self.listener.accept()
            sock.settimeout(LIMIT_S)
            first = read_first(sock)
            if isinstance(first, Hello):
                break
            sock.close()
        for message in (Hello('silent', 1, self.address), Beat(0)):
            sock.sendall(pack_frame(to_body(message), KEYS))
        return sock, first


def read_first(sock):
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
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.layout = Layout(self.fleet, 1)

    def test_silent_connection_is_noticed_and_replaced(self):
        peer = SilentPeer(f'{self.fleet.ip(200)}:7000')
        self.addCleanup(peer.listener.close)
        flags = ('--peers', peer.address)
        self.layout.start_agent(0, ZONES[0], *flags)
        for _ in range(2):
            sock, hello = peer.accept()
            self.assertEqual(hello.name, 'host-0')
            read_to_end(sock)
            sock.close()
