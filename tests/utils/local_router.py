"""
A router in this process, with a fake agent.
"""

import itertools
import json
import os
import socket
import threading
import time
from contextlib import closing
from dataclasses import replace
from http.client import HTTPConnection

from mallowcrank.clock import SystemClock
from mallowcrank.codec import to_plain
from mallowcrank.context import Environment
from mallowcrank.policy.start import build_policies
from mallowcrank.router.daemon import Router
from mallowcrank.settings import HostSettings, RouterSettings
from mallowcrank.view import (
    ModelSettings,
    ServiceSettings,
    Target,
    TargetKind,
    View,
    WorkspaceSettings,
)
from mallowcrank.wire import FrameReader, KeyRing, pack_frame
from tests.utils.fake_engine import LAYERS

WORKSPACE = 'klang/quotes'
LIMIT_S = 20
BYTE_VALUES = 250
NETWORKS = BYTE_VALUES * BYTE_VALUES
PORT_NUMBERS = itertools.count(10_000)


def make_view(targets=(), services=(), peers=()):
    """
    Return a view with one workspace, one model `m` and some services.
    """
    return View(
        version=1,
        targets={target.name: target for target in targets},
        models={'m': ModelSettings('m', LAYERS, max_tokens=64)},
        services={service.name: service for service in services},
        workspaces={
            WORKSPACE: WorkspaceSettings(
                WORKSPACE,
                'klang',
                models=('m',),
                services=tuple(service.name for service in services),
            )
        },
        peers={peer.name: peer for peer in peers},
    )


def service_target(name, address, serves):
    """
    Return a replica of a service.
    """
    return Target(name, TargetKind.SERVICE, address, 'a', serves, incarnation=1)


def service(name='stock', **given):
    """
    Return a service's settings.
    """
    return ServiceSettings(name, **given)


class FakeAgent:
    """
    Sends views to the router, and collects its reports.
    """

    def __init__(self, view):
        self.view = view
        self.reports = []
        self._keys = KeyRing()
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = address_of(self._listener)
        self.connections = []
        self._stopped = threading.Event()
        self._accept_thread = threading.Thread(target=self._accept, daemon=True)
        self._accept_thread.start()

    def send_view(self, view):
        self.view = view
        for connection in self.connections:
            connection.sendall(self._snapshot())

    def stop(self):
        if self._stopped.is_set():
            return
        self._stopped.set()
        self._listener.shutdown(socket.SHUT_RDWR)
        self._accept_thread.join()
        self._listener.close()
        for connection in self.connections:
            connection.close()

    def _snapshot(self):
        message = {'type': 'snapshot', 'view': to_plain(self.view)}
        return pack_frame(message, self._keys)

    def _accept(self):
        while not self._stopped.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            connection.sendall(self._snapshot())
            for loop in (self._read, self._beat):
                threading.Thread(
                    target=loop, args=(connection,), daemon=True
                ).start()

    def _read(self, connection):
        reader = FrameReader(self._keys)
        while not self._stopped.is_set():
            try:
                received = connection.recv(65536)
            except OSError:
                return
            self.reports.extend(reader.feed(received))

    def _beat(self, connection):
        beat = pack_frame({'type': 'beat'}, self._keys)
        while not self._stopped.wait(1):
            try:
                connection.sendall(beat)
            except OSError:
                return


class LocalRouter:
    """
    A router, its fake agent and a caller.
    """

    def __init__(
        self, view, name='r1', keep_s=0.2, threads=24, clock=None, **given
    ):
        self.agent = FakeAgent(view)
        settings = RouterSettings(
            host_settings=HostSettings(name, 'a'),
            listen=free_address(),
            admin=free_address(),
            feed=self.agent.address,
            keys=KeyRing(),
            keep_s=keep_s,
            drain_limit_s=LIMIT_S,
            threads=threads,
        )
        self.address = settings.listen
        all_settings = replace(settings, **given)
        environment = Environment(clock=clock or SystemClock())
        policies = build_policies(all_settings, environment)
        self.router = Router(all_settings, policies, environment)
        self.router.start()
        self.wait_view(view)

    def wait_view(self, view):
        wait_until(lambda: self.router.parts.view_store.view == view)

    def stop(self):
        self.router.request_stop()
        self.router.request_stop()
        self.router.run()
        self.agent.stop()

    def send(self, method, path, body=None, **headers):
        """
        Send a request; return the response with its body read.
        """
        return send(self.address, method, path, body, **headers)

    def chat(self, prompt='hat', count=8, stream=False, **headers):
        """
        Send a completion.
        """
        body = {
            'model': 'm',
            'prompt': prompt,
            'max_tokens': count,
            'stream': stream,
        }
        return self.send('POST', '/v1/completions', body, **headers)

    def connect(self):
        return HTTPConnection(self.address, timeout=LIMIT_S)


def send(address, method, path, body=None, **headers):
    """
    Send a request to a router; return the response with its body read.
    """
    all_headers = {
        'x-mallowcrank-workspace': WORKSPACE,
        **{name.replace('_', '-'): given for name, given in headers.items()},
    }
    payload = body if isinstance(body, bytes | None) else json.dumps(body)
    with closing(HTTPConnection(address, timeout=LIMIT_S)) as connection:
        connection.request(method, path, payload, all_headers)
        response = connection.getresponse()
        response.whole = response.read()
    return response


def text_of(response):
    """
    Return the text of a complete answer, streamed or not.

    :raises AssertionError: when a stream is incomplete.
    """
    if not response.headers['content-type'].startswith('text/event-stream'):
        return json.loads(response.whole)['choices'][0]['text']
    events = events_of(response.whole)
    if events[-1] != '[DONE]':
        raise AssertionError(f'the stream is broken: {events[-1]}')
    parts = [
        event['choices'][0]['text'] for event in events[:-1] if event['choices']
    ]
    return ''.join(parts)


def events_of(body):
    """
    Return the events of a stream.
    """
    events = []
    for line in body.decode().splitlines():
        if line.startswith('data: '):
            given = line.removeprefix('data: ')
            events.append(given if given == '[DONE]' else json.loads(given))
    return events


def free_address():
    """
    Return an address that nothing else in this or another process uses.
    """
    pid = os.getpid()
    high, low = divmod(pid % NETWORKS, BYTE_VALUES)
    return f'127.251.{high}.{low + 1}:{next(PORT_NUMBERS)}'


def address_of(bound_socket):
    """
    Return the address that a socket is bound to.
    """
    host, port = bound_socket.getsockname()
    return f'{host}:{port}'


def wait_until(condition, timeout_s=LIMIT_S):
    """
    Wait until a condition is true.

    :param timeout_s: seconds to wait at most.
    :raises TimeoutError: when the condition stays false.
    """
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError('the condition stayed false')
        time.sleep(0.005)
