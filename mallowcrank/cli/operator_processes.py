"""
The operators' commands that call any router or agent: timeline and drain.
"""

from typing import Annotated

from typer import Argument, Context, Option, Typer

from mallowcrank.cli.options import environment_of, require_addresses
from mallowcrank.findings import format_findings
from mallowcrank.operators.drain import drain
from mallowcrank.operators.timeline import (
    collect_timeline,
    format_json,
    format_text,
)
from mallowcrank.status import ExitStatus
from mallowcrank.timeline import Filter

Processes = Annotated[
    str,
    Option(
        '--processes',
        envvar='MALLOWCRANK_PROCESSES',
        help='Admin addresses of routers and agents: IP:PORT,IP:PORT,...',
    ),
]


def register(app: Typer) -> None:
    """
    Add the commands to the operators' program.
    """
    app.command('timeline')(show_timeline)
    app.command('drain')(drain_processes)


def show_timeline(
    context: Context,
    processes: Processes = '',
    request: Annotated[str, Option(help='Only events of this request.')] = '',
    host: Annotated[str, Option(help='Only events of this host.')] = '',
    target: Annotated[str, Option(help='Only events about this target.')] = '',
    part: Annotated[str, Option(help='Only events of this part.')] = '',
    as_json: Annotated[
        bool, Option('--json', help='Print one JSON object per line.')
    ] = False,
) -> int:
    """
    Merge the events of all processes into one ordered list.

    Each process keeps its last 8,192 events. A request's id is in the
    X-Mallowcrank-Request header of its answer.
    """
    environment = environment_of(context)
    addresses = require_addresses(context, '--processes', processes)
    collected = collect_timeline(addresses, Filter(request, host, target, part))
    format_events = format_json if as_json else format_text
    environment.stdout.write(f'{format_events(collected.events)}\n')
    if collected.findings:
        environment.stderr.write(f'{format_findings(collected.findings)}\n')
        return ExitStatus.ERROR
    return ExitStatus.SUCCESS


def drain_processes(
    context: Context,
    processes: Annotated[
        str, Argument(help='Admin addresses: IP:PORT,IP:PORT,...')
    ],
) -> int:
    """
    Ask routers or agents to finish their work and stop.

    Has the same effect as SIGTERM: the process announces that it leaves, serves
    callers until their cached addresses expire, finishes everything in flight,
    and exits with status 0.
    """
    environment = environment_of(context)
    findings = drain(require_addresses(context, '--processes', processes))
    if findings:
        environment.stderr.write(f'{format_findings(findings)}\n')
        return ExitStatus.ERROR
    environment.stdout.write('All processes are draining.\n')
    return ExitStatus.SUCCESS
