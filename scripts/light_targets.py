"""
Lightweight stand-ins of targets: they register and answer probes, and run no
requests.

Many of them run in one process, where a stand-in engine for each would cost too
much.
"""

import itertools
import json
import threading
from typing import Any

from mallowcrank.calls import HttpCaller
from mallowcrank.web import Request, Response, WebServer, json_response
from scripts.virtual_time import START_S

REGISTER_INTERVAL_S = 3
LOAD_VALUES = 16
ZONES = ('a', 'b', 'c', 'd')
THREADS = 2  # of each target


def status_of(name: str, availability_zone: str = 'a') -> dict[str, Any]:
    """
    Return an engine's answer to `GET /status`.
    """
    return {
        'name': name,
        'kind': 'engine',
        'availability_zone': availability_zone,
        'incarnation': START_S * 1000,
        'serves': 'assistant',
        'version': 'v1',
        'first_layer': 0,
        'last_layer': 31,
        'step_ms': 20.0,
        'slots': 16,
        'load': 3,
        'leaving': False,
        'memory_layers': 32,
        'fencing': 'checks',
        'fence': 17,
        'role': 'serving',
    }


class LightTarget:
    """
    One target, which reports another load at each probe.

    :param number: determines its name and availability zone.
    :param address: `IP:PORT` to listen on.
    """

    def __init__(self, number: int, address: str) -> None:
        self._name = f'light-{number}'
        self._zone = ZONES[number % len(ZONES)]
        self._loads = itertools.cycle(range(LOAD_VALUES))
        self.probes = 0
        self._server = WebServer(address, self._answer, threads=THREADS)
        self.address = address

    def start(self) -> None:
        """
        Start answering probes.
        """
        self._server.start()

    def stop(self) -> None:
        """
        Stop answering probes.
        """
        self._server.stop()

    def registration(self) -> bytes:
        """
        Return the body of a registration with the host list.
        """
        return json.dumps(
            {
                'name': self._name,
                'address': self.address,
                'availability_zone': self._zone,
                'kind': 'engine',
            }
        ).encode()

    def _answer(self, _request: Request) -> Response:
        self.probes += 1
        status = status_of(self._name, self._zone)
        return json_response({**status, 'load': next(self._loads)})


class LightTargets:
    """
    Several targets, which are kept registered with the host list.

    :param addresses: `IP:PORT` of each target.
    :param hosts: `IP:PORT` of the host list.
    """

    def __init__(self, addresses: list[str], hosts: str) -> None:
        self.targets = [
            LightTarget(number, address)
            for number, address in enumerate(addresses)
        ]
        self._hosts = HttpCaller(hosts)
        self._stopped = threading.Event()

    def start(self) -> None:
        """
        Start all targets and register them periodically.
        """
        for target in self.targets:
            target.start()
        threading.Thread(target=self._register, daemon=True).start()

    def stop(self) -> None:
        """
        Stop all targets and their registration.
        """
        self._stopped.set()
        for target in self.targets:
            target.stop()

    def _register(self) -> None:
        while not self._stopped.is_set():
            for target in self.targets:
                self._hosts.call('POST', '/register', target.registration())
            self._stopped.wait(REGISTER_INTERVAL_S)
