"""
Runs one load scenario on a local system.

Starts the processes, publishes the settings, runs `mallowcrank-load` and stops
all processes.
"""

import argparse
import json
import shutil
import subprocess
import sys
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from mallowcrank.calls import HttpCaller
from mallowcrank.codec import to_plain
from mallowcrank.load.site import Site, SiteRouter, SiteTarget
from mallowcrank.ports import Failure
from mallowcrank.web import Request, Response, Routes, WebServer, json_response
from scripts.fleet import PROJECT_ROOT, Fleet
from scripts.layout import Engine, Layout, Service
from scripts.rolling import replace_routers
from scripts.system import System, start_all

MODEL = 'assistant'
LAYERS = 12
ZONES = ('zone-a', 'zone-b', 'zone-c')
HOSTS = len(ZONES)
CONTROL_NUMBER = 2
CONTROL_PORT = 9300
READY_TIMEOUT_S = 25
POLL_INTERVAL_S = 0.2
PUBLISH_TIMEOUT_S = 20

ENGINES = (
    Engine('engine-a1', '0-5', 20, 'zone-a', LAYERS, MODEL, 2),
    Engine('engine-a2', '6-11', 20, 'zone-a', LAYERS, MODEL, 2),
    Engine('engine-b1', '0-3', 14, 'zone-b', LAYERS, MODEL, 2),
    Engine('engine-b2', '4-7', 14, 'zone-b', LAYERS, MODEL, 2),
    Engine('engine-b3', '8-11', 14, 'zone-b', LAYERS, MODEL, 2),
    Engine('engine-c1', '0-7', 28, 'zone-c', LAYERS, MODEL, 2),
    Engine('engine-c2', '4-11', 28, 'zone-c', LAYERS, MODEL, 2),
)
# Fast enough for an interval of 33 ms between tokens.
FAST_ENGINES = tuple(
    Engine(f'engine-{zone[-1]}{half}', layers, 5, zone, LAYERS, MODEL, 4)
    for zone in ZONES
    for half, layers in ((1, '0-5'), (2, '6-11'))
)
FAST_SCENARIOS = frozenset(('first-token',))
SERVICES = (
    Service('stock-1', 'stock', 'zone-a'),
    Service('stock-2', 'stock', 'zone-b'),
    Service('alert-1', 'alert', 'zone-a'),
    Service('alert-2', 'alert', 'zone-c'),
)
SETTINGS = """
[platform]
log_retention_s = 3600

[organisation]
models = ["assistant"]
request_rate = 10000
token_rate = 1000000
streams = 1000

[models.assistant]
layers = 12
max_tokens = 256

[services.stock]
repeatable = false
reserved = 2
timeout_s = 8

[services.alert]
repeatable = true
urgent = true
reserved = 4
timeout_s = 5
silence_s = 0.1

[branches.topi]
share = 1

[branches.topi.workspaces.quotes]
[branches.topi.workspaces.fittings]
[branches.topi.workspaces.counter]
services = ["stock"]

[branches.rail]
share = 1

[branches.rail.workspaces.reports]
[branches.rail.workspaces.permits]
urgency = 1
[branches.rail.workspaces.alerts]
services = ["alert"]
"""
CHANGED_SETTINGS = """
[branches.topi.workspaces.quotes]
timeout_s = {seconds}
"""


@dataclass(frozen=True)
class Operator:
    """
    Publishes settings with the operators' client.
    """

    layout: Layout
    folder: Path

    def publish(self, name: str, text: str) -> subprocess.Popen[bytes]:
        """
        Start publishing a settings file.

        :param name: name of the settings file and its log.
        :param text: content of the settings file.
        """
        addresses = self.layout.addresses
        path = self.folder / f'{name}.toml'
        path.write_text(text, encoding='utf-8')
        with (self.folder / f'{name}.log').open('wb') as log_file:
            return subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'mallowcrank',
                    'operator',
                    'publish',
                    str(path),
                    '--log',
                    addresses.log,
                    '--agents',
                    ','.join(addresses.agent_admins),
                ],
                cwd=PROJECT_ROOT,
                stdout=log_file,
                stderr=subprocess.STDOUT,
            )

    def publish_concurrently(self, writers: int) -> None:
        """
        Publish conflicting changes of one setting at the same time.

        :param writers: number of operators that publish.
        """
        for number in range(writers):
            self.publish(
                f'change-{number}', CHANGED_SETTINGS.format(seconds=30 + number)
            )


class ProcessControl:
    """
    Handles the load tool's commands for processes.
    """

    def __init__(self, fleet: Fleet, operator: Operator) -> None:
        self._fleet = fleet
        self._operator = operator

    def handle_request(self, request: Request) -> Response:
        """
        Handle `POST /control`.
        """
        command = request.json()
        match command['action']:
            case 'publish':
                self._operator.publish_concurrently(command['race'])
            case 'replace':
                job = partial(
                    replace_routers,
                    self._fleet,
                    self._operator.layout,
                    ZONES,
                    is_ready,
                )
                threading.Thread(target=job, daemon=True).start()
            case 'kill' | 'pause' | 'resume' | 'terminate' as action:
                process = self._fleet.get(command['name'])
                threading.Thread(target=getattr(process, action)).start()
        return json_response({})


def select_engines(scenario: str) -> tuple[Engine, ...]:
    """
    Return the engines to start for a scenario.
    """
    return FAST_ENGINES if scenario in FAST_SCENARIOS else ENGINES


def describe_site(
    fleet: Fleet, layout: Layout, control: str, engines: Sequence[Engine]
) -> Site:
    """
    Return the description of the system for the load tool.
    """
    addresses = layout.addresses
    routers = tuple(
        SiteRouter(f'router-{number}', *each, ZONES[number])
        for number, each in enumerate(
            zip(addresses.routers, addresses.router_admins, strict=True)
        )
    )
    engine_targets = tuple(
        SiteTarget(
            engine.name,
            'engine',
            layout.targets[engine.name],
            engine.availability_zone,
            engine.serves,
            str(fleet.folder / f'{engine.name}.trace'),
            *(int(layer) for layer in engine.layers.split('-')),
            step_ms=engine.step_ms,
            slots=engine.slots,
        )
        for engine in engines
    )
    services = tuple(
        SiteTarget(
            service.name,
            'service',
            layout.targets[service.name],
            service.availability_zone,
            service.serves,
            str(fleet.folder / f'{service.name}.trace'),
        )
        for service in SERVICES
    )
    return Site(
        routers,
        (*engine_targets, *services),
        control,
        addresses.log,
        {MODEL: LAYERS},
    )


def wait_until_ready(site: Site) -> None:
    """
    Wait until each router serves completions and both services.

    :raises TimeoutError: when a router does not serve them in time.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    for router in site.routers:
        while not is_ready(router.address):
            if time.monotonic() > deadline:
                raise TimeoutError(f'{router.name} is not ready')
            time.sleep(POLL_INTERVAL_S)


def is_ready(address: str) -> bool:
    """
    Return whether a router serves completions and both services.
    """
    caller = HttpCaller(address)
    return all(
        answers_call(caller, workspace, path, body)
        for workspace, path, body in (
            (
                'topi/quotes',
                '/v1/completions',
                {'model': MODEL, 'prompt': 'hat', 'max_tokens': 1},
            ),
            ('topi/counter', '/v1/services/stock/ready', {}),
            ('rail/alerts', '/v1/services/alert/ready', {}),
        )
    )


def answers_call(
    caller: HttpCaller, workspace: str, path: str, body: dict[str, object]
) -> bool:
    """
    Return whether a router answers a call with status 200.
    """
    headers = {
        'X-Mallowcrank-Workspace': workspace,
        'X-Mallowcrank-Repeatable': 'yes',
    }
    payload = json.dumps(body).encode()
    reply = caller.call('POST', path, payload, headers, timeout_s=5)
    return not isinstance(reply, Failure) and reply.status == 200


def run_load(arguments: argparse.Namespace, site: Site, folder: Path) -> int:
    """
    Run the load tool.

    :returns: the load tool's exit status.
    """
    path = folder / 'site.json'
    path.write_text(json.dumps(to_plain(site)), encoding='utf-8')
    command = [
        sys.executable,
        '-m',
        'mallowcrank',
        'load',
        'run',
        arguments.scenario,
        '--site',
        str(path),
        '--seed',
        str(arguments.seed),
        '--json',
        arguments.json,
        '--calls',
        str(folder / 'calls.json'),
        '--seconds',
        str(arguments.seconds),
    ]
    return subprocess.run(command, cwd=PROJECT_ROOT, check=False).returncode


def run(arguments: argparse.Namespace) -> int:
    """
    Run the scenario.

    :returns: the load tool's exit status.
    """
    with Fleet() as fleet:
        try:
            return run_in_fleet(fleet, arguments)
        finally:
            if arguments.keep:
                shutil.copytree(
                    fleet.folder, arguments.keep, dirs_exist_ok=True
                )


def run_in_fleet(fleet: Fleet, arguments: argparse.Namespace) -> int:
    """
    Run the scenario in a fleet.

    :returns: exit status of the load tool, or of a failed publication.
    """
    layout = Layout(fleet, HOSTS)
    operator = Operator(layout, fleet.folder)
    routes = Routes()
    routes.add(
        'POST', '/control', ProcessControl(fleet, operator).handle_request
    )
    control = WebServer(f'{fleet.ip(CONTROL_NUMBER)}:{CONTROL_PORT}', routes)
    control.start()
    engines = select_engines(arguments.scenario)
    start_all(layout, System(engines, SERVICES, ZONES))
    site = describe_site(fleet, layout, control.address, engines)
    layout.wait_until_up()
    status = operator.publish('settings', SETTINGS).wait(PUBLISH_TIMEOUT_S)
    if status:
        print((fleet.folder / 'settings.log').read_text(encoding='utf-8'))
        return status
    wait_until_ready(site)
    status = run_load(arguments, site, fleet.folder)
    control.stop()
    return status


def main() -> int:
    """
    Parse the arguments and run the scenario.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('scenario', help='see `mallowcrank-load list`')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--json', default='', help='file to write the report to'
    )
    parser.add_argument(
        '--seconds', type=float, default=0, help="0: the scenario's default"
    )
    parser.add_argument(
        '--keep', default='', help='folder to copy logs and traces to'
    )
    return run(parser.parse_args())


if __name__ == '__main__':
    sys.exit(main())
