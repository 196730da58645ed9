"""
The operators' commands for gateways: explain a request, show metrics.
"""

from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Annotated, TextIO

from typer import Argument, Context, Option, Typer

from mallowcrank.cli.options import (
    environment_of,
    require_addresses,
    require_no_findings,
)
from mallowcrank.findings import Finding
from mallowcrank.operators.explain import (
    explain,
    format_explanation,
    read_log,
)
from mallowcrank.operators.gateways import COLUMNS, gateway_rows
from mallowcrank.operators.tables import format_table
from mallowcrank.status import ExitStatus


def register(app: Typer) -> None:
    """
    Add the commands to the operators' program.
    """
    app.command('explain')(explain_request)
    app.command('gateways')(show_gateways)


def explain_request(
    context: Context,
    request: Annotated[str, Argument(help='The id of the request.')],
    logs: Annotated[
        list[Path] | None,
        Argument(
            help='Log files of gateways; standard input if none is given.'
        ),
    ] = None,
) -> int:
    """
    Show from logs why a request ended as it did.

    Lines marked with a star are about the request. The others show the state
    of targets, the store and the placement of layers as its gateway saw it,
    from five seconds before the request until its end. Times are relative to
    the request's first byte. Exit statuses: 0 found, 1 no line mentions the
    request, 2 a log can't be read.
    """
    environment = environment_of(context)
    paths = logs or []
    findings = [
        Finding(str(path), 'file not found', 'give a log of a gateway')
        for path in paths
        if not path.is_file()
    ]
    require_no_findings(environment, 'mallowcrank', findings)
    explanations = explain(
        read_log(_read_lines(paths, environment.stdin)), request
    )
    for explanation in explanations:
        environment.stdout.write(f'{format_explanation(explanation)}\n')
    if explanations:
        return ExitStatus.SUCCESS
    environment.stderr.write(f'No line mentions request {request}.\n')
    return ExitStatus.ERROR


def show_gateways(
    context: Context,
    metrics: Annotated[
        str,
        Option(
            '--metrics',
            envvar='MALLOWCRANK_METRICS',
            help='Metrics addresses of gateways: IP:PORT,IP:PORT,...',
        ),
    ] = '',
) -> int:
    """
    Show the metrics of each gateway since its start, one row per gateway.

    Exit statuses: 0 all answered, 1 some did not, 2 bad flags.
    """
    environment = environment_of(context)
    addresses = require_addresses(context, '--metrics', metrics)
    rows = gateway_rows(addresses)
    environment.stdout.write(f'{format_table(rows, COLUMNS)}\n')
    all_answered = not any(row.get('outage') for row in rows)
    return ExitStatus.SUCCESS if all_answered else ExitStatus.ERROR


def _read_lines(paths: Sequence[Path], stdin: TextIO) -> Iterator[str]:
    if not paths:
        yield from stdin
    for path in paths:
        with path.open(encoding='utf-8', errors='replace') as log:
            yield from log
