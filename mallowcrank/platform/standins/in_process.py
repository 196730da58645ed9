"""
Runs gateways and stand-ins of the platform in this process.
"""

import asyncio
import itertools
import json
import os
from types import MappingProxyType

from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.program import Gateway
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.target_channel import (
    BodyChunk,
    ResponseEnd,
    ResponseHead,
    TargetChannel,
    encode_request,
)
from mallowcrank.platform.node_settings import read_settings
from mallowcrank.platform.standins.bodies import desired_body
from mallowcrank.platform.standins.replica import StandinReplica
from mallowcrank.platform.standins.store import StandinStore
from mallowcrank.platform.vocabulary import platform_vocabulary

TIMEOUT_S = 20
POLL_INTERVAL_S = 0.02
OCTET_VALUES = 250
HOST_NUMBERS = itertools.count(2)
REQUEST_NUMBERS = itertools.count(1)
PORTS = MappingProxyType(
    {'front': 8227, 'ready': 8220, 'control': 8229, 'directory': 8224}
)


def _process_address(number):
    """
    Return a loopback address derived from the process id, so that gateways of
    concurrent test processes don't collide.
    """
    process = os.getpid()
    second = process // OCTET_VALUES % OCTET_VALUES + 1
    third = process % OCTET_VALUES + 1
    return f'127.{second}.{third}.{number % OCTET_VALUES + 1}'


def settings_text(host, ip, zone, store, seeds):
    """
    Return the text of a settings file.
    """
    lines = [
        f'node_name={host}',
        f'zone={zone}',
        'region=r',
        'zones.a=r',
        'zones.b=r',
        'internal_ports=7340,7355',
        'bootstrap=true',
        f'seeds={",".join(seeds)}',
        'bounds.grace_s=3',
        'bounds.drain_ms=2000',
        'bounds.config_ms=2000',
        'bounds.ttl_max_s=5',
        'bounds.retry_budget_ratio=0.2',
        'bounds.budget_window_s=10',
        'bounds.retry_budget_slack=198',
        f'platform.address={store}',
        'platform.ttl_min_ms=1000',
    ]
    lines.extend(f'listen.{name}={ip}:{port}' for name, port in PORTS.items())
    return '\n'.join(lines)


class CallerResponse:
    """
    The response to a caller's request.
    """

    def __init__(self, status, headers, body, is_complete):
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body
        self.is_complete = is_complete

    @property
    def events(self):
        """
        Return the ids of all events, in order.
        """
        lines = self.body.decode().splitlines()
        ids = [line[4:] for line in lines if line.startswith('id: ')]
        return tuple(int(each) for each in ids)


class InProcessPlatform:
    """
    A store, replicas and gateways that listen on loopback addresses.
    """

    def __init__(self):
        self.store = StandinStore()
        self.replicas = {}
        self.replicas_by_address = {}
        self.gateways = []

    async def start_store(self, **desired):
        """
        Start the store with a desired state.
        """
        await self.store.server.start(Address('127.0.0.1', 0))
        self.publish(**desired)

    def publish(self, **desired):
        """
        Write a desired state to the store.

        :param desired: fields that replace those of the sample.
        """
        body = json.dumps(desired_body(**desired)).encode()
        self.store.put('keyed.op', 'config', body)

    async def start_replica(self, identity, service, **fields):
        """
        Start a replica and write its entry to the store.
        """
        replica = StandinReplica(
            identity,
            service,
            all_replicas=self.replicas_by_address,
            **fields,
        )
        await replica.start(Address('127.0.0.1', 0))
        self.replicas[identity] = replica
        self.register(identity)
        return replica

    def register(self, identity):
        """
        Write the entry of a replica to the store.
        """
        entry = self.replicas[identity].entry()
        self.store.put('keyed.servers', identity, entry)

    async def start_engines(self, *ranges, zone='a', kind='huge'):
        """
        Start an engine for each range of layers.
        """
        for first, end in ranges:
            await self.start_replica(
                f'{zone}-{first}-{end}-{len(self.replicas)}',
                'model',
                zone=zone,
                kind=kind,
                held=(first, end),
            )

    async def start_gateway(self, zone='a', seeds=(), entrance=None):
        """
        Start a gateway and wait until it is ready for callers.

        :param entrance: of the store; the first one by default.
        """
        number = next(HOST_NUMBERS)
        ip = _process_address(number)
        store = (entrance or self.store).server.address
        text = settings_text(f'edge-{number}', ip, zone, store, seeds)
        journal = Journal('test', os.open(os.devnull, os.O_WRONLY))
        gateway = Gateway(read_settings(text), platform_vocabulary(), journal)
        self.gateways.append(gateway)
        await gateway.start()
        await self.wait_for(lambda: gateway.is_ready)
        return gateway

    async def wait_for(self, condition):
        """
        Wait until a condition is true.

        :raises TimeoutError: after `TIMEOUT_S`.
        """
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(POLL_INTERVAL_S)

    async def close(self):
        """
        Stop all gateways, replicas and the store.
        """
        for gateway in self.gateways:
            gateway.stop_now()
        for replica in self.replicas.values():
            replica.server.stop()
        self.store.stop()

    async def connect(self, address):
        """
        Open a channel to an address of a gateway.
        """
        loop = asyncio.get_running_loop()
        _, channel = await loop.create_connection(
            lambda: TargetChannel(address), address.ip, address.port
        )
        return channel

    async def fetch(self, gateway, path, method='GET', body=b'', **headers):
        """
        Send a caller's request over a new channel and read the response.
        """
        channel = await self.connect(gateway.settings.listening.front)
        self.send(channel, path, method, body, **headers)
        response = await self.read(channel)
        channel.close()
        return response

    def send(self, channel, path, method='GET', body=b'', **headers):
        """
        Send a caller's request over a channel.
        """
        request_headers = {
            'Host': 'shop.example',
            'Mallowcrank-Request-Id': f'r{next(REQUEST_NUMBERS)}',
            'Mallowcrank-Deadline-Ms': '8000',
            **{
                name.replace('_', '-'): value for name, value in headers.items()
            },
        }
        pairs = tuple(
            (name.encode(), value.encode())
            for name, value in request_headers.items()
        )
        channel.send(
            encode_request(method, path.encode(), pairs, body),
            head_only=method == 'HEAD',
        )

    async def read(self, channel):
        """
        Read a response until it is complete or broken off.
        """
        head = ResponseHead(0, ())
        pieces = []
        while True:
            event = await channel.next_event(TIMEOUT_S)
            if isinstance(event, ResponseHead):
                head = event
            elif isinstance(event, BodyChunk):
                pieces.append(event.data)
            else:
                return CallerResponse(
                    head.status,
                    head.headers,
                    b''.join(pieces),
                    isinstance(event, ResponseEnd),
                )
