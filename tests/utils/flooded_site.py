"""
A gateway as a process of its own, with a replica that floods it or with
callers that do; its memory and the delay of its event loop are measured.
"""

import asyncio
import json
import resource
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from types import MappingProxyType

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.target_channel import (
    BodyChunk,
    ResponseEnd,
    ResponseHead,
)
from mallowcrank.platform.standins.bodies import (
    engine_fields,
    entry_body,
    route_row,
    stream_row,
)
from mallowcrank.platform.standins.in_process import PORTS, InProcessPlatform
from mallowcrank.platform.vocabulary import platform_vocabulary
from tests.utils.gateway_process import GatewayProcess

ROOT = Path(__file__).parent.parent.parent
START_S = 20
PROBE_INTERVAL_S = 0.02
MEMORY_LIMIT = 300_000_000  # then the host kills the gateway
RATE_PER_S = 20
SOUND_PACE = 2
TIMEOUT_MS = 2500
ANSWER_TIMEOUT_S = 20
MAX_ANSWER_BYTES = 65_536
TOKENS = MappingProxyType(
    {'Mallowcrank_Token_Count': '700,200', 'Mallowcrank_Model': 'm'}
)
PATHS = MappingProxyType(
    {'safe': '/lookup/x', 'once': '/claim/x', 'stream': '/draft/x'}
)


class FloodedSite:
    """
    Gateways before sound replicas of one service, and a service that may have
    a flooding replica.

    :ivar answers: outcomes of requests by service.
    :ivar max_delay_s: the longest time that a gateway's event loop needed for an
        answer of its own.
    :ivar max_answer_s: the longest time until a sound answer.
    :ivar grown_bytes: how much memory a gateway took beyond what it had, at
        most.
    """

    def __init__(self, has_sound_replicas=True, size=1):
        self.world = InProcessPlatform()
        self.answers = {'sound': Counter(), 'flooded': Counter()}
        self.max_delay_s = 0
        self.max_answer_s = 0
        self.grown_bytes = 0
        self.gateways = []
        self._size = size
        self._has_sound_replicas = has_sound_replicas
        self._folder = tempfile.TemporaryDirectory()
        self._floods = []
        self._monitors = []

    async def start(self, kind='safe', flood=()):
        """
        Start the gateways before sound replicas.

        :param kind: of the requests to the service that may be flooded.
        :param flood: what its flooding replica sends, if there is one.
        """
        asyncio.get_running_loop().set_debug(enabled=False)
        await self.world.start_store(**_desired())
        if flood:
            await self._start_flood(kind, flood)
        for number in range(3):
            await self.world.start_replica(f'calm-{number}', 'calm')
            if self._has_sound_replicas and kind != 'stream':
                await self.world.start_replica(f's-{number}', 'stock')
        if self._has_sound_replicas and kind == 'stream':
            await self.world.start_engines((0, 80), (0, 80), (0, 80))
            # Paths prefer the fastest engine, which will be the flooding one.
            for engine in _engines(self.world):
                engine.pace = SOUND_PACE
        for number in range(self._size):
            seeds = [f'{each.ip}:{PORTS["control"]}' for each in self.gateways]
            gateway = GatewayProcess(
                number,
                ROOT,
                self._folder.name,
                self.world.store.server.address,
                seeds,
            )
            self.gateways.append(gateway)
            await self._wait_until_ready(gateway)

    def start_callers(self, part, count, bytes_per_s, piece_bytes):
        """
        Start callers that flood the gateway.

        :param count: of their connections.
        """
        front = self.gateways[0].front
        self._floods.append(
            _start_process(
                'flooding_caller',
                front.ip,
                front.port,
                part,
                count,
                bytes_per_s,
                piece_bytes,
            )
        )

    async def close(self):
        """
        End all processes.
        """
        for monitor in self._monitors:
            monitor.cancel()
        for process in self._floods:
            process.kill()
            process.wait()
            process.stdout.close()
        for gateway in self.gateways:
            gateway.kill()
        await self.world.close()
        self._folder.cleanup()

    def measure(self):
        """
        Begin to measure the gateways' memory and the delay of their loops.
        """
        for gateway in self.gateways:
            before = _resident_bytes(gateway.process.pid)
            for watching in (
                self._watch_memory(gateway, before),
                self._watch_delay(gateway),
            ):
                self._monitors.append(asyncio.create_task(watching))

    async def load(self, seconds, kind=None, rate_per_s=RATE_PER_S):
        """
        Send requests to the sound service at a steady rate, and wait for the
        answers.

        :param kind: of requests to the flooded service beside them, if any.
        """
        sent = []
        started_at = monotonic_s()
        for number in range(int(seconds * rate_per_s)):
            due_at = started_at + number / rate_per_s
            await asyncio.sleep(max(0, due_at - monotonic_s()))
            gateway = self.gateways[number % self._size]
            sending = [self._send(gateway, 'sound', '/calm/x')]
            if kind:
                sending.append(self._send(gateway, 'flooded', PATHS[kind]))
            sent.extend(map(asyncio.create_task, sending))
        await asyncio.gather(*sent)

    async def _start_flood(self, kind, flood):
        process = _start_process('flooding_replica', *flood)
        self._floods.append(process)
        port = int(await asyncio.to_thread(process.stdout.readline))
        layers = {'source': 0, 'to': 80, 'version': 1}
        is_engine = kind == 'stream'
        entry = entry_body(
            service='model' if is_engine else 'stock',
            address=f'127.0.0.1:{port}',
            zone='a',
            **({'kind': 'huge', 'layers': layers} if is_engine else {}),
        )
        self.world.store.put(
            'keyed.servers', 'flooding', json.dumps(entry).encode()
        )

    async def _send(self, gateway, service, path):
        headers = {'Mallowcrank_Deadline_Ms': str(TIMEOUT_MS)}
        if path == PATHS['stream']:
            headers.update(TOKENS)
        sent_at = monotonic_s()
        try:
            channel = await self.world.connect(gateway.front)
        except OSError:
            self.answers[service]['unreached'] += 1
            return
        self.world.send(channel, path, 'POST', b'{}', **headers)
        self.answers[service][await _read(channel)] += 1
        if service == 'sound':
            self.max_answer_s = max(self.max_answer_s, monotonic_s() - sent_at)

    async def _watch_memory(self, gateway, before):
        while True:
            resident = _resident_bytes(gateway.process.pid)
            self.grown_bytes = max(self.grown_bytes, resident - before)
            if resident > MEMORY_LIMIT:
                gateway.kill()
                return
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _watch_delay(self, gateway):
        while True:
            asked_at = monotonic_s()
            await self._ask_ready(gateway)
            self.max_delay_s = max(self.max_delay_s, monotonic_s() - asked_at)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _wait_until_ready(self, gateway):
        async with asyncio.timeout(START_S):
            while await self._ask_ready(gateway) != 200:
                await asyncio.sleep(PROBE_INTERVAL_S)
            while not await self._is_served(gateway):
                await asyncio.sleep(PROBE_INTERVAL_S)

    async def _is_served(self, gateway):
        channel = await self.world.connect(gateway.front)
        self.world.send(channel, '/calm/x')
        response = await self.world.read(channel)
        channel.close()
        return response.status == 200

    async def _ask_ready(self, gateway):
        try:
            channel = await self.world.connect(
                Address(gateway.ip, PORTS['ready'])
            )
        except OSError:
            return 0
        self.world.send(channel, platform_vocabulary().ready_path)
        response = await self.world.read(channel)
        channel.close()
        return response.status


def _start_process(module, *arguments):
    return subprocess.Popen(
        (sys.executable, '-m', f'tests.utils.{module}', *map(str, arguments)),
        cwd=ROOT,
        stdout=subprocess.PIPE,
    )


async def _read(channel):
    """
    Read an answer, and leave if it is too long for the caller.

    :returns: its status; `cut` if it isn't complete, `left` if it is too long.
    """
    status = 0
    read_bytes = 0
    while read_bytes < MAX_ANSWER_BYTES:
        event = await channel.next_event(ANSWER_TIMEOUT_S)
        if isinstance(event, ResponseHead):
            status = event.status
        elif isinstance(event, BodyChunk):
            read_bytes += len(event.data)
        else:
            channel.close()
            return status if isinstance(event, ResponseEnd) else 'cut'
    channel.close()
    return 'left'


def _engines(world):
    return [each for each in world.replicas.values() if each.held]


def _resident_bytes(pid):
    try:
        statm = Path(f'/proc/{pid}/statm').read_text()
    except OSError:
        return 0
    fields = statm.split()
    return int(fields[1]) * resource.getpagesize() if len(fields) > 1 else 0


def _desired():
    service = {'health_path': '/health', 'max_connections': 400}
    return {
        'routes': [
            route_row('calm', service='calm', timeout_ms=TIMEOUT_MS),
            route_row('lookup', timeout_ms=TIMEOUT_MS),
            route_row(
                'claim', kind='unsafe', max_attempts=1, timeout_ms=TIMEOUT_MS
            ),
            stream_row('draft', timeout_ms=TIMEOUT_MS),
        ],
        'services': [
            {'name': 'calm', **service},
            {'name': 'stock', **service},
            {'name': 'model', **service, 'engine': engine_fields()},
        ],
    }
