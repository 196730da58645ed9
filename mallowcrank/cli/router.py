"""
The command line of `mallowcrank-router`.
"""

from dataclasses import replace
from random import Random
from typing import Annotated

from typer import Context, Option, Typer

from mallowcrank.cli.options import (
    AvailabilityZone,
    HostName,
    PeerKeys,
    Statsd,
    Version,
    environment_of,
    require_no_findings,
)
from mallowcrank.context import Environment
from mallowcrank.logs import start_logs
from mallowcrank.policy.start import build_policies
from mallowcrank.router.daemon import Router
from mallowcrank.settings import Checker, HostSettings, RouterSettings
from mallowcrank.status import ExitStatus
from mallowcrank.stop_signals import block_stop_signals, handle_stop_signals

PROGRAM = 'mallowcrank-router'
MAX_KEEP_S = 300
MAX_DRAIN_S = 3600
MAX_THREADS = 1024

app = Typer(
    add_completion=False,
    help='Route requests to pipelines of engines and to plain services.',
)

Listen = Annotated[
    str,
    Option(
        '--listen',
        envvar='MALLOWCRANK_LISTEN',
        help='IP:PORT for callers.',
    ),
]
Admin = Annotated[
    str,
    Option(
        '--admin',
        envvar='MALLOWCRANK_ADMIN',
        help='IP:PORT for operators.',
    ),
]
Feed = Annotated[
    str,
    Option(
        '--feed',
        envvar='MALLOWCRANK_FEED',
        help="IP:PORT of the feed of this host's agent.",
    ),
]
Keep = Annotated[
    str,
    Option(
        '--keep',
        envvar='MALLOWCRANK_KEEP',
        help='Seconds that callers cache an answer of /v1/addresses. '
        'A graceful stop takes at least as long.',
    ),
]
DrainLimit = Annotated[
    str,
    Option(
        '--drain-limit',
        envvar='MALLOWCRANK_DRAIN_LIMIT',
        help='Seconds after which a graceful stop cuts requests in flight.',
    ),
]
Threads = Annotated[
    str,
    Option(
        '--threads',
        envvar='MALLOWCRANK_THREADS',
        help='Maximum number of requests in flight.',
    ),
]


@app.command()
def run(
    context: Context,
    host: HostName = '',
    availability_zone: AvailabilityZone = '',
    listen: Listen = '127.0.0.1:8000',
    admin: Admin = '127.0.0.1:8001',
    feed: Feed = '127.0.0.1:7002',
    peer_keys: PeerKeys = '',
    keep: Keep = '5',
    drain_limit: DrainLimit = '60',
    threads: Threads = '128',
    statsd: Statsd = '',
    version: Version = False,
) -> int:
    """
    Serve callers until SIGTERM, then stop gracefully.

    Exit statuses: 0 stopped with every request answered, 2 bad settings, 6
    requests in flight were cut by a second signal or the drain limit.
    """
    block_stop_signals()
    environment = environment_of(context)
    checker = Checker()
    settings = RouterSettings(
        host_settings=HostSettings(
            host=checker.name('--host', host),
            availability_zone=checker.name(
                '--availability-zone', availability_zone
            ),
            statsd=checker.address('--statsd', statsd, optional=True),
        ),
        listen=checker.address('--listen', listen),
        admin=checker.address('--admin', admin),
        feed=checker.address('--feed', feed),
        keys=checker.keys('--peer-keys', peer_keys),
        keep_s=checker.number('--keep', keep, 0, MAX_KEEP_S),
        drain_limit_s=checker.number(
            '--drain-limit', drain_limit, 0, MAX_DRAIN_S
        ),
        threads=int(checker.number('--threads', threads, 1, MAX_THREADS)),
    )
    require_no_findings(environment, PROGRAM, checker.findings)
    return _serve(settings, environment)


def _serve(settings: RouterSettings, environment: Environment) -> ExitStatus:
    start_logs(environment.stderr, settings.host_settings.host, 'router')
    # The operating system's source takes 0.5 ms for a number on some hosts.
    fast_environment = replace(
        environment, random=Random(environment.random.random())
    )
    policies = build_policies(settings, fast_environment)
    router = Router(settings, policies, environment)
    handle_stop_signals(router.request_stop)
    router.start()
    return router.run()
