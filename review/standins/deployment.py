"""
A small deployment on loopback addresses: gateways and replicas as processes,
the store in the process of the script.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import http1
from store import Store

ROOT = Path(__file__).resolve().parent.parent.parent
HEARTBEAT_S = 1.2
ENTRY_TTL_S = 3 * HEARTBEAT_S
BOUNDS = """
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_ms=3000
bounds.ack_ms=4000
bounds.sync_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_ms=2000
bounds.rollback_slack_ms=250
bounds.outer_ms=5000
bounds.revoke_strict=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=198
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.stall_ms=2000
bounds.fencing_required=false
bounds.ttl_max_s=5
platform.form=log
platform.writes_per_s=400
platform.reads_per_s=2000
platform.parts=8
platform.append_ms=4.0
platform.part_mb_s=20.0
platform.read_mb_s=80.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=20
platform.part_mb=200
platform.ttl_min_ms=1000
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4200
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=directory
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
fault_counted=false
"""


def own_ip(number):
    """
    Return a loopback address that other processes hardly use.
    """
    process = os.getpid()
    return f'127.{process // 250 % 250 + 1}.{process % 250 + 1}.{number}'


def free_ports(ips, count):
    """
    Return consecutive ports that are free at all addresses.
    """
    for first in range(20_000, 30_000, count):
        held = []
        try:
            for ip in ips:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        held.append(socket.socket(socket.AF_INET, kind))
                        held[-1].bind((ip, port))
        except OSError:
            continue
        finally:
            for each in held:
                each.close()
        return range(first, first + count)
    raise RuntimeError('no free ports')


def _entry(service, address, zone, slots):
    return {
        'service': service,
        'address': address,
        'zone': zone,
        'version': 'v1',
        'slots': slots,
        'state': 'ready',
        'cold_remaining_ms': 0,
    }


class Deployment:
    """
    Gateways, replicas and a store. All processes end with it.
    """

    def __init__(self, zones):
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.zones = zones
        self.ips = [own_ip(10 + number) for number in range(len(zones))]
        self.ports = free_ports(self.ips, 8)
        self.store = Store()
        self.store_address = ''
        self.gateways = {}
        self.replicas = {}
        self._tasks = []
        self._run = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )['roles']['gateway']['run'].split()

    async def start_store(self):
        ip = own_ip(2)
        self.store_address = f'{ip}:{free_ports([ip], 1)[0]}'
        await self.store.start(self.store_address)

    def start_gateways(self):
        for number in range(len(self.zones)):
            self.start_gateway(number, is_first=True)

    def start_gateway(self, number, is_first=False):
        """
        Start the process of a gateway, for the first time or again.
        """
        ip = self.ips[number]
        listening = {
            name: f'{ip}:{self.ports[index]}'
            for index, name in enumerate(
                ('front', 'ready', 'control', 'directory')
            )
        }
        lines = [
            f'node_name=edge-{number}',
            'role=gateway',
            'machine_class=edge',
            'serves=edge,directory,control',
            f'ip={ip}',
            f'zone={self.zones[number]}',
            'region=r',
            *(f'zones.{zone}=r' for zone in sorted(set(self.zones))),
            *(f'listen.{name}={each}' for name, each in listening.items()),
            f'internal_ports={self.ports[4]},{self.ports[7]}',
            'seeds='
            + ','.join(f'{each}:{self.ports[2]}' for each in self.ips[:3]),
            f'bootstrap={"true" if is_first else "false"}',
            f'platform.address={self.store_address}',
        ]
        settings = self.folder / f'settings-{number}.conf'
        settings.write_text('\n'.join(lines) + BOUNDS)
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['MALLOWCRANK_NODE_FILE'] = str(settings)
        with (self.folder / f'gateway-{number}.log').open('ab') as log:
            self.gateways[number] = subprocess.Popen(
                self._run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def front(self, number):
        return f'{self.ips[number]}:{self.ports[0]}'

    async def is_ready(self, number):
        """
        Ask a gateway whether it is ready, as the platform does.
        """
        try:
            status, _, _ = await fetch(
                f'{self.ips[number]}:{self.ports[1]}', 'GET', '/readiness', 1
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return status == 200

    async def wait_until_ready(self, within_s=20):
        until = time.monotonic() + within_s
        for number in self.gateways:
            while not await self.is_ready(number):
                if time.monotonic() > until:
                    raise RuntimeError(f'gateway {number} is not ready')
                await asyncio.sleep(0.1)

    def start_replica(self, identity, service, zone, work_ms, ip, port):
        """
        Start a replica. Its entry is written as long as it is alive.
        """
        address = f'{ip}:{port}'
        program = Path(__file__).parent / 'replica.py'
        process = subprocess.Popen(
            (
                sys.executable,
                str(program),
                f'--address={address}',
                f'--identity={identity}',
                f'--work-ms={work_ms}',
                f'--log={self.folder / "runs.log"}',
            )
        )
        self.replicas[identity] = process
        fields = _entry(service, address, zone, slots=6)
        self._follow(identity, process, fields)

    def start_engine(self, identity, service, zone, kind, ip, port):
        """
        Start a model engine, which holds no layers at first.
        """
        address = f'{ip}:{port}'
        program = Path(__file__).parent / 'engine.py'
        process = subprocess.Popen(
            (
                sys.executable,
                str(program),
                f'--address={address}',
                f'--identity={identity}',
                f'--kind={kind}',
                f'--layers={self._layers_file(identity)}',
                f'--log={self.folder / "runs.log"}',
            )
        )
        self.replicas[identity] = process
        fields = _entry(service, address, zone, slots=96)
        models = [{'name': 'm0', 'version': 1, 'adapters': []}]
        more = {'kind': kind, 'stage': 'both', 'models': models}
        self._follow(identity, process, {**fields, **more})

    def _follow(self, identity, process, fields):
        task = asyncio.ensure_future(self._beat(identity, process, fields))
        self._tasks.append(task)

    def _layers_file(self, identity):
        return self.folder / f'{identity}.layers'

    async def _beat(self, identity, process, fields):
        """
        Write the entry of a replica, at each interval and when its layers
        change; remove it after three silent intervals.
        """
        await self._wait_for_listener(process, fields['address'])
        sequence = 0
        written_at, written = 0, None
        path = self._layers_file(identity)
        while process.poll() is None:
            text = path.read_text() if path.exists() else ''
            layers = json.loads(text) if text else None
            if layers != written or time.monotonic() - written_at > HEARTBEAT_S:
                sequence += 1
                written_at, written = time.monotonic(), layers
                more = {'sequence': sequence}
                if layers:
                    more['layers'] = layers
                self.store.put('keyed.servers', identity, {**fields, **more})
            await asyncio.sleep(0.05)
        await asyncio.sleep(ENTRY_TTL_S - HEARTBEAT_S)
        self.store.put('keyed.servers', identity, None)

    async def _wait_for_listener(self, process, address):
        ip, _, port = address.rpartition(':')
        while process.poll() is None:
            try:
                _, writer = await asyncio.open_connection(ip, int(port))
            except OSError:
                await asyncio.sleep(0.02)
            else:
                writer.close()
                return

    def runs(self):
        """
        Return what the replicas have begun to run, in the order of time.
        """
        path = self.folder / 'runs.log'
        lines = path.read_text().splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    async def close(self):
        """
        End all processes.
        """
        for task in self._tasks:
            task.cancel()
        processes = [*self.gateways.values(), *self.replicas.values()]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        if self.store.server:
            self.store.server.close()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        self._folder.cleanup()


async def fetch(address, method, target, within_s, headers=(), body=b''):
    """
    Send a request over a new channel.

    :returns: status, headers and body of the answer.
    :raises OSError: if there is none; TimeoutError, IncompleteReadError too.
    """
    ip, _, port = address.rpartition(':')
    async with asyncio.timeout(within_s):
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            if not any(name == 'Host' for name, _ in headers):
                headers = (('Host', address), *headers)
            writer.write(
                http1.encode(f'{method} {target} HTTP/1.1', headers, body)
            )
            answer = await http1.read_message(reader)
        finally:
            writer.close()
    if answer is None:
        raise ConnectionResetError('closed without an answer')
    return int(answer.start[1]), answer.headers, answer.body
