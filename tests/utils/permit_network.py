"""
Gateways that share the limits of one target, over a simulated network and in
virtual time.
"""

import asyncio
from contextlib import ExitStack
from dataclasses import replace
from random import Random
from selectors import DefaultSelector
from types import SimpleNamespace
from unittest.mock import Mock, patch

from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.peers import BROADCAST_INTERVAL_S, Peers
from mallowcrank.gateway.permits import Permit, Permits
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.limits.named import LimitObservation
from tests.utils.peer_network import GOSSIP_PORT, status_of

TARGET = Lifetime('i-1', 0)
CLOCK_MODULES = ('peers', 'permits', 'target_limits')
DELAY_S = 0.001  # of a datagram
UPDATE_S = 0.5
MAX_WAIT_S = 0.1


class VirtualSelector:
    """
    Advances the time of its loop instead of waiting.
    """

    def __init__(self):
        self.now = 1000.0
        self._selector = DefaultSelector()

    def __getattr__(self, name):
        return getattr(self._selector, name)

    def select(self, timeout=None):
        self.now += max(0, timeout or 0)
        return self._selector.select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """
    An event loop in virtual time.
    """

    def __init__(self):
        self.clock = VirtualSelector()
        super().__init__(self.clock)

    def time(self):
        return self.clock.now


class SimulatedGateway:
    """
    One gateway: its gossip and its permits.
    """

    def __init__(self, network, number, knows_limits=True):
        self.network = network
        self.address = Address(
            f'10.{number % 4}.0.{number // 4 + 9}', GOSSIP_PORT
        )
        settings = SimpleNamespace(
            gossip=self.address, host=f'edge-{number}', zone='a'
        )
        self.peers = Peers(settings, Mock())
        self.permits = Permits(settings, self.peers, Mock(), Meters())
        self.frozen = False
        self.stopped = False
        self._knows_limits = knows_limits
        self._held_up = []
        self._status = status_of(
            settings.host, self.address, str(network.random.random())
        )
        self.peers.listen(
            self._own_status,
            self._on_status,
            self.permits.handle_datagram if knows_limits else None,
        )
        self.peers.connection_made(self)

    def run(self, seeds):
        self.peers.add_candidates(seeds)
        loop = asyncio.get_running_loop()
        for interval_s, job in (
            (BROADCAST_INTERVAL_S, self.peers.tick),
            (UPDATE_S, lambda: self.permits.update(is_accepting=True)),
        ):
            delay_s = self.network.random.random() * interval_s
            loop.call_later(delay_s, self._repeat, interval_s, job)

    def freeze(self):
        self.frozen = True

    def thaw(self):
        self.frozen = False
        for raw, sender in self._held_up:
            self.receive(raw, sender)
        self._held_up.clear()

    def sendto(self, raw, address):
        self.network.deliver(self.address, raw, Address(*address))

    def receive(self, raw, sender):
        if self.frozen:
            self._held_up.append((raw, sender))
        elif not self.stopped:
            self.peers.datagram_received(raw, (sender.ip, sender.port))

    def learn(self, rate):
        """
        Receive an answer of the target that names a limit.
        """
        now = self.network.now()
        self.permits.limits.apply(
            TARGET, LimitObservation(rate, now, now, self._status.host)
        )

    def _own_status(self):
        limits = self.permits.limits.reports() if self._knows_limits else None
        return replace(self._status, limits=limits)

    def _on_status(self, status):
        for lifetime, limit in (status.limits or {}).items():
            self.permits.limits.apply_report(lifetime, limit)

    def _repeat(self, interval_s, job):
        if self.stopped:
            return
        if not self.frozen:
            job()
        loop = asyncio.get_running_loop()
        loop.call_later(interval_s, self._repeat, interval_s, job)


class PermitNetwork:
    """
    Gateways before one target that names a limit.

    :param loss: share of datagrams that are lost.
    """

    def __init__(self, size, loss=0, random_seed=1):
        self.random = Random(random_seed)
        self.loop = VirtualLoop()
        self.gateways = {}
        self.arrivals = []
        self.islands = {}
        self._loss = loss
        self._size = size
        self._patches = ExitStack()

    def __enter__(self):
        asyncio.set_event_loop(self.loop)
        for module in CLOCK_MODULES:
            self._patches.enter_context(
                patch(f'mallowcrank.gateway.{module}.monotonic_s', self.now)
            )
        return self

    def __exit__(self, *error):
        for gateway in self.gateways.values():
            gateway.stopped = True
        self._patches.close()
        self.loop.close()

    def now(self):
        return self.loop.time()

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def start_all(self, rate, earlier_builds=0):
        """
        Start all gateways, and let one learn the limit once they have met.
        """
        for number in range(self._size):
            self.start(number, number >= earlier_builds)
        await asyncio.sleep(5)
        self.gateways[self._size - 1].learn(rate)
        await asyncio.sleep(2)

    def start(self, number, knows_limits=True):
        """
        Start a gateway, which replaces one that was stopped.
        """
        gateway = SimulatedGateway(self, number, knows_limits)
        seeds = [each.address for each in list(self.gateways.values())[:8]]
        self.gateways[number] = gateway
        gateway.run([seed for seed in seeds if seed != gateway.address])
        return gateway

    def stop(self, number):
        self.gateways[number].stopped = True

    def issuer(self):
        """
        Return the number of the gateway that issues most permits.
        """
        return max(
            self.gateways,
            key=lambda number: len(self.gateways[number].permits._schedules),
        )

    def deliver(self, sender, raw, address):
        is_cut = self.islands.get(sender) != self.islands.get(address)
        if not is_cut and self.random.random() >= self._loss:
            self.loop.call_later(DELAY_S, self._receive, sender, raw, address)

    async def load(self, seconds, calls_per_s=60):
        """
        Send calls to the target through gateways chosen at random.
        """
        calls = []
        for _ in range(int(seconds * calls_per_s)):
            await asyncio.sleep(1 / calls_per_s)
            gateway = self.random.choice(list(self.gateways.values()))
            calls.append(asyncio.ensure_future(self._call(gateway)))
        await asyncio.gather(*calls)

    async def _call(self, gateway):
        if gateway.frozen or gateway.stopped:
            return
        permit = await gateway.permits.claim((TARGET,), MAX_WAIT_S)
        if isinstance(permit, Permit) and not gateway.frozen:
            self.arrivals.append(self.now())

    def _receive(self, sender, raw, address):
        for gateway in list(self.gateways.values()):
            if gateway.address == address and not gateway.stopped:
                gateway.receive(raw, sender)
