"""
Measures the operators' client against many agents.

One server in this process stands in for all agents, each with its own address.
Further addresses accept connections but never respond.
"""

import json
import socket
import time
from typing import Annotated

from typer import Option, Typer, echo

from mallowcrank.operators.client import OperatorClient, OperatorSettings
from mallowcrank.operators.timeline import collect_timeline
from mallowcrank.operators.waiting import wait_until_in_force
from mallowcrank.timeline import Filter
from mallowcrank.web import Request, Response, WebServer, json_response

SIZES = (8, 95, 380)
VERSION = 7
SUBNET = 250  # addresses used of each subnet
SERVER_THREADS = 64
MS_PER_S = 1000
app = Typer(add_completion=False)


class StandinAgents:
    """
    Stands in for the admin endpoints of many agents.
    """

    def __init__(self, count: int) -> None:
        self.request_count = 0
        self._peers = {
            f'router-{number}': {'address': '127.0.0.1:1', 'leaving': False}
            for number in range(count)
        }
        self._server = WebServer('0.0.0.0:0', self._answer, SERVER_THREADS)
        self._server.start()
        port = self._server.address.rpartition(':')[2]
        self.addresses = tuple(
            f'127.0.{1 + number // SUBNET}.{1 + number % SUBNET}:{port}'
            for number in range(count)
        )

    def stop(self) -> None:
        """
        Stop the server.
        """
        self._server.stop()

    def _answer(self, request: Request) -> Response:
        self.request_count += 1
        number = self.addresses.index(request.headers['host'])
        if request.path == '/admin/timeline':
            return json_response({'events': []})
        page = {
            'host': f'host-{number}',
            'version': VERSION,
            'routers': {f'router-{number}': VERSION},
            'peers': self._peers,
        }
        return Response(200, json.dumps(page).encode())


@app.command()
def main(
    silent: Annotated[
        int, Option(help='Agents that accept connections but never respond.')
    ] = 0,
) -> None:
    """
    Print how long `publish --wait` and `timeline` take to reach all agents.
    """
    listeners = [socket.create_server(('127.0.0.1', 0)) for _ in range(silent)]
    silent_addresses = tuple(
        f'127.0.0.1:{listener.getsockname()[1]}' for listener in listeners
    )
    for count in SIZES:
        agents = StandinAgents(count)
        _measure(agents, (*agents.addresses, *silent_addresses))
        agents.stop()


def _measure(agents: StandinAgents, addresses: tuple[str, ...]) -> None:
    client = OperatorClient(OperatorSettings(agents=addresses))
    began = time.monotonic()
    lags = wait_until_in_force(client, VERSION, began)
    waited_at = time.monotonic()
    timeline = collect_timeline(addresses, Filter())
    ended = time.monotonic()
    echo(
        f'{len(agents.addresses)} agents, {agents.request_count} questions: '
        f'wait {(waited_at - began) * MS_PER_S:.0f} ms, {len(lags)} behind; '
        f'timeline {(ended - waited_at) * MS_PER_S:.0f} ms, '
        f'{len(timeline.findings)} missing'
    )


if __name__ == '__main__':
    app()
