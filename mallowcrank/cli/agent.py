"""
The command line of `mallowcrank-agent`.
"""

from typing import Annotated

from typer import Context, Exit, Option, Typer

from mallowcrank.agent.program import Agent
from mallowcrank.cli.options import (
    AvailabilityZone,
    HostName,
    PeerKeys,
    Statsd,
    Version,
    environment_of,
    require_no_findings,
)
from mallowcrank.logs import start_logs
from mallowcrank.settings import AgentSettings, Checker, HostSettings
from mallowcrank.status import ExitStatus
from mallowcrank.stop_signals import block_stop_signals

PROGRAM = 'mallowcrank-agent'
MIN_LEASE_S = 3
MAX_LEASE_S = 3600

app = Typer(
    add_completion=False, help='Run the control plane of one entry host.'
)


@app.command()
def serve(
    context: Context,
    host: HostName = '',
    availability_zone: AvailabilityZone = '',
    listen: Annotated[
        str,
        Option(envvar='MALLOWCRANK_LISTEN', help='IP:PORT for other agents.'),
    ] = '127.0.0.1:7000',
    admin: Annotated[
        str,
        Option(envvar='MALLOWCRANK_ADMIN', help='IP:PORT for operators.'),
    ] = '127.0.0.1:7001',
    feed: Annotated[
        str,
        Option(
            envvar='MALLOWCRANK_FEED', help="IP:PORT for this host's router."
        ),
    ] = '127.0.0.1:7002',
    log: Annotated[
        str,
        Option(envvar='MALLOWCRANK_LOG', help="IP:PORT of the platform's log."),
    ] = '',
    host_list: Annotated[
        str,
        Option(
            envvar='MALLOWCRANK_HOST_LIST',
            help="IP:PORT of the platform's host list.",
        ),
    ] = '',
    weights: Annotated[
        str,
        Option(
            envvar='MALLOWCRANK_WEIGHTS',
            help='IP:PORT of the weight store; empty if there is none.',
        ),
    ] = '',
    peers: Annotated[
        str,
        Option(
            envvar='MALLOWCRANK_PEERS',
            help='IP:PORT[,IP:PORT] of agents to contact first.',
        ),
    ] = '',
    lease: Annotated[
        str,
        Option(
            envvar='MALLOWCRANK_LEASE',
            help='Seconds that a lease for orders lasts; must be the same on '
            'all agents. Loading weights may take twice as long.',
        ),
    ] = '30',
    peer_keys: PeerKeys = '',
    statsd: Statsd = '',
    version: Version = False,
) -> None:
    """
    Follow the log, track the targets and feed this host's router.

    Exit statuses: 0 after a graceful stop, 1 when an address can't be bound,
    2 for bad settings.
    """
    block_stop_signals()
    environment = environment_of(context)
    checker = Checker()
    settings = AgentSettings(
        host_settings=HostSettings(
            checker.name('--host', host),
            checker.name('--availability-zone', availability_zone),
            checker.address('--statsd', statsd, optional=True),
        ),
        listen=checker.address('--listen', listen),
        admin=checker.address('--admin', admin),
        feed=checker.address('--feed', feed),
        log=checker.address('--log', log),
        host_list=checker.address('--host-list', host_list),
        weights=checker.address('--weights', weights, optional=True),
        peers=checker.addresses('--peers', peers),
        keys=checker.keys('--peer-keys', peer_keys),
        lease_s=checker.number('--lease', lease, MIN_LEASE_S, MAX_LEASE_S),
    )
    require_no_findings(environment, PROGRAM, checker.findings)
    start_logs(environment.stderr, host, 'agent')
    try:
        Agent(settings, environment).run()
    except OSError as error:
        environment.stderr.write(f'{PROGRAM}: {error}\n')
        raise Exit(ExitStatus.ERROR) from error
