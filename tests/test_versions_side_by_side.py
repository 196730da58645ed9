"""
Gateways of the production version and of this one, as processes beside each
other under load, replaced one at a time, forward and back.

All callers are served, changes of the desired state and removals of targets
come into force at both, and all gateways hear each other.
"""

import asyncio
import io
import subprocess
import tarfile
import tempfile
import tomllib
from pathlib import Path
from unittest import IsolatedAsyncioTestCase, skipUnless

from mallowcrank.gateway.settings import Address
from mallowcrank.platform.standins.bodies import desired_body, route_row
from mallowcrank.platform.standins.in_process import PORTS, InProcessPlatform
from tests.utils.gateway_process import GatewayProcess

ROOT = Path(__file__).parent.parent
GATEWAYS = 3
START_S = 20
IN_FORCE_S = 2.0
RATE_PER_S = 30
METRICS_PORT = 7341


def production_commit():
    """
    Return the commit that `deploy/system.toml` names.
    """
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    return deploy['production']


def has_commit(commit):
    """
    Return whether the repository's history has a commit.
    """
    found = subprocess.run(
        ('git', 'cat-file', '-e', f'{commit}^{{commit}}'),
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    return found.returncode == 0


def extract(commit, folder):
    """
    Write the package of a commit into a folder.
    """
    archive = subprocess.run(
        ('git', 'archive', commit, 'mallowcrank'),
        cwd=ROOT,
        capture_output=True,
        check=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter='data')


@skipUnless(has_commit(production_commit()), 'a shallow clone has no history')
class TestVersionsSideBySide(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        extract(production_commit(), self.folder.name)
        self.world = InProcessPlatform()
        self.addAsyncCleanup(self.world.close)
        await self.world.start_store()
        for number in range(3):
            await self.world.start_replica(f'p-{number}', 'stock')
        await self.world.start_engines((0, 40), (40, 80), (0, 80))
        self.gateways = []
        self.answers = []
        self.is_loading = True
        for number in range(GATEWAYS):
            self.start(number)
        for gateway in self.gateways:
            await self.wait_until_ready(gateway)

    def start(self, number):
        seeds = [f'{each.ip}:{PORTS["control"]}' for each in self.gateways]
        gateway = GatewayProcess(
            number,
            self.folder.name,
            self.folder.name,
            self.world.store.server.address,
            seeds,
        )
        self.addCleanup(gateway.kill)
        self.gateways.append(gateway)

    async def test_each_gateway_is_replaced_forward_and_back(self):
        load = asyncio.create_task(self.load())
        version = 8
        for source in (ROOT, Path(self.folder.name)):
            for gateway in self.gateways:
                await gateway.stop()
                gateway.replace(source)
                await self.wait_until_ready(gateway)
                await self.check_change(version)
                version += 1
            await self.check_removal()
        self.is_loading = False
        await load
        self.assertGreater(len(self.answers), 100)
        self.assertEqual(set(self.answers), {200})
        for gateway in self.gateways:
            self.assertIn(
                b'mallowcrank_gateways{state="live"} 3.0',
                await self.metrics(gateway),
            )

    async def load(self):
        """
        Send requests to gateways that accept connections.
        """
        number = 0
        sent = []
        while self.is_loading:
            number += 1
            sent.append(asyncio.create_task(self.ask(number)))
            await asyncio.sleep(1 / RATE_PER_S)
        await asyncio.gather(*sent)

    async def ask(self, number):
        """
        Send one request, to another gateway if one isn't there.
        """
        for attempt in range(GATEWAYS):
            gateway = self.gateways[(number + attempt) % GATEWAYS]
            status = await self.fetch(gateway, '/lookup/x')
            if status:
                break
        self.answers.append(status)

    async def fetch(self, gateway, path):
        """
        Return the status of an answer; 0 if the gateway isn't there, or
        doesn't take the request.
        """
        try:
            channel = await self.world.connect(gateway.front)
        except OSError:
            return 0
        self.world.send(channel, path)
        answer = await self.world.read(channel)
        channel.close()
        # The request was not run; a caller tries another gateway.
        return 0 if answer.status == 503 else answer.status

    async def metrics(self, gateway):
        channel = await self.world.connect(Address(gateway.ip, METRICS_PORT))
        self.world.send(channel, '/metrics')
        answer = await self.world.read(channel)
        channel.close()
        return answer.body

    async def wait_until_ready(self, gateway):
        async with asyncio.timeout(START_S):
            while await self.fetch(gateway, '/lookup/x') != 200:
                self.assertIsNone(gateway.process.poll())
                await asyncio.sleep(0.1)

    async def check_change(self, version):
        """
        Check that a new route is in force at all gateways in time.
        """
        routes = desired_body()['routes']
        added = route_row(f'added-{version}')
        self.world.publish(version=version, routes=[*routes, added])
        await asyncio.sleep(IN_FORCE_S)
        for gateway in self.gateways:
            status = await self.fetch(gateway, f'/added-{version}/x')
            self.assertEqual(status, 200)

    async def check_removal(self):
        """
        Check that a target whose entry is gone gets no request in time.
        """
        self.world.store.put('keyed.servers', 'p-0', None)
        await asyncio.sleep(IN_FORCE_S)
        gone = self.world.replicas['p-0']
        gone.arrivals.clear()
        for _ in range(8):
            for gateway in self.gateways:
                await self.fetch(gateway, '/lookup/x')
        self.assertEqual(gone.arrivals, [])
        self.world.register('p-0')
