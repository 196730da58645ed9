"""
Gateways before a store with two entrances, and requests to plain targets.
"""

import asyncio
import json
from unittest import IsolatedAsyncioTestCase

from mallowcrank.platform.standins.bodies import desired_body, route_row
from mallowcrank.platform.standins.in_process import InProcessPlatform

TARGETS = 'keyed.servers'
DESIRED = 'keyed.op'
CONFIG_S = 2  # after which a new version is in force
REQUESTS = 60
ROUTES = ('lookup', 'claim')


def version_with(number, *routes):
    """
    Return a version of the desired state with some plain routes.
    """
    rows = [route_row(name) for name in routes]
    return json.dumps(desired_body(version=number, routes=rows)).encode()


class StoreViewTest(IsolatedAsyncioTestCase):
    gateway_count = 3

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(enabled=False)
        self.world = InProcessPlatform()
        self.addAsyncCleanup(self.world.close)
        await self.world.start_store()
        for number in range(3):
            await self.world.start_replica(f'stock-{number}', 'stock')
        self.entrance = await self.world.store.open_entrance()
        first = await self.world.start_gateway()
        self.seeds = (str(first.settings.listening.peers),)
        for number in range(1, self.gateway_count):
            await self.start_gateway(number)

    async def start_gateway(self, number):
        # The second gateway has an entrance of its own.
        entrance = self.entrance if number == 1 else None
        await self.world.start_gateway(seeds=self.seeds, entrance=entrance)

    @property
    def separated(self):
        return self.world.gateways[1]

    def put_leaving(self, identity):
        """
        Write that a target leaves, which goes on to serve for a while.
        """
        replica = self.world.replicas[identity]
        replica.state = 'draining'
        self.world.register(identity)
        replica.state = 'ready'

    def put_others(self, count):
        """
        Write entries that change nothing, as heartbeats do.
        """
        for _ in range(count):
            self.world.register('stock-2')

    async def request(self, gateways=None, path='/lookup/x'):
        """
        Send requests to gateways in turn, and return how many each target got.
        """
        gateways = gateways or self.world.gateways
        before = self.arrivals()
        self.statuses = []
        for number in range(REQUESTS):
            gateway = gateways[number % len(gateways)]
            response = await self.world.fetch(gateway, path)
            self.statuses.append(response.status)
        return {
            name: count - before[name]
            for name, count in self.arrivals().items()
        }

    def arrivals(self):
        return {
            name: len(replica.arrivals)
            for name, replica in self.world.replicas.items()
        }
