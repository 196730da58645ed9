"""
Gateways' statuses over a simulated network, in virtual time.
"""

from collections import Counter, deque
from contextlib import contextmanager
from random import Random
from types import SimpleNamespace
from unittest.mock import Mock, patch

from mallowcrank.gateway.datagrams import GatewayStatus
from mallowcrank.gateway.peers import BROADCAST_INTERVAL_S, Peers
from mallowcrank.gateway.settings import Address

GOSSIP_PORT = 7340
OWNERS = 8  # members that the store's group names, one for each partition


def status_of(
    host, gossip=Address('10.0.0.9', GOSSIP_PORT), incarnation='x', **changes
):
    """
    Return a gateway's status.

    :param gossip: where it receives datagrams.
    :param changes: further fields.
    """
    fields = {
        'zone': 'a',
        'accepts_callers': True,
        'desired_version': 1,
        'leader_generation': 0,
        'reserved': {},
    }
    return GatewayStatus(
        host=host,
        incarnation=incarnation,
        front=Address(gossip.ip, 80),
        gossip=gossip,
        peers=Address(gossip.ip, 82),
        **{**fields, **changes},
    )


class SimulatedTransport:
    """
    Datagrams from one gateway to the others of the network.
    """

    def __init__(self, network, sender):
        self._network = network
        self._sender = sender

    def sendto(self, raw, address):
        self._network.deliver(self._sender, raw, Address(*address))


class PeerNetwork:
    """
    Gateways that exchange statuses.

    :param seeds: gateways that all others have as candidates from the start.
    :param loss: share of datagrams that are lost.
    :param zones: number of availability zones.
    """

    def __init__(self, size, seeds=OWNERS, loss=0, random_seed=1, zones=1):
        self.zones = zones
        self.now = 100.0
        self.gateways = {}
        self.deaf = set()
        self._zone_of = {}
        self.sent = Counter()
        self._loss = loss
        self._random = Random(random_seed)
        self._queue = deque()
        self.seeds = [self.address(number) for number in range(seeds)]
        with self.clock():
            for number in range(size):
                self.start(number)

    @contextmanager
    def clock(self):
        with patch('mallowcrank.gateway.peers.monotonic_s', self.read_clock):
            yield

    def read_clock(self):
        return self.now

    def address(self, number):
        return Address(f'10.{number % 4}.0.{number // 4 + 9}', GOSSIP_PORT)

    def start(self, number):
        """
        Start a gateway, which replaces one that was stopped.
        """
        address = self.address(number)
        zone = f'zone-{number % self.zones}'
        peers = Peers(SimpleNamespace(gossip=address, zone=zone), Mock())
        status = status_of(
            f'edge-{number}', address, str(self._random.random()), zone=zone
        )
        peers.listen(lambda: status, lambda heard: None)
        peers.connection_made(SimulatedTransport(self, address))
        self.gateways[address] = peers
        self._zone_of[address] = zone
        peers.add_candidates(self.seeds)
        return peers

    def stop(self, number):
        """
        Stop a gateway without a notice.
        """
        self.gateways.pop(self.address(number))

    def deliver(self, sender, raw, address):
        self.sent[sender] += 1
        if self._random.random() >= self._loss:
            self._queue.append((sender, raw, address))

    def run(self, seconds):
        """
        Let time pass.
        """
        with self.clock():
            for _ in range(int(seconds / BROADCAST_INTERVAL_S)):
                self.now += BROADCAST_INTERVAL_S
                for peers in list(self.gateways.values()):
                    peers.tick()
                self._deliver_all()

    def counts(self):
        """
        Return how many gateways each one counts.
        """
        with self.clock():
            return [peers.count() for peers in self.gateways.values()]

    def live_counts(self, zone=''):
        """
        Return how many others each gateway hears.

        :param zone: only gateways of this zone count.
        """
        with self.clock():
            heard = [
                [peer.last_status.zone for peer in peers.live()]
                for address, peers in self.gateways.items()
                if zone in {'', self._zone_of[address]}
            ]
        return [zones.count(zone) if zone else len(zones) for zones in heard]

    def _deliver_all(self):
        while self._queue:
            sender, raw, address = self._queue.popleft()
            receiver = self.gateways.get(address)
            is_cut = sender in self.deaf or address in self.deaf
            if receiver and not is_cut:
                receiver.datagram_received(raw, (sender.ip, sender.port))
