"""
The command line of `mallowcrank-load`.
"""

import json
from dataclasses import replace
from pathlib import Path
from typing import Annotated

from cattrs import BaseValidationError
from typer import Argument, Context, Exit, Option, Typer

from mallowcrank.cli import load_experiment
from mallowcrank.cli.options import (
    Version,
    environment_of,
    require_no_findings,
)
from mallowcrank.codec import to_plain
from mallowcrank.context import Environment
from mallowcrank.load.evidence import Evidence
from mallowcrank.load.report import Report
from mallowcrank.load.run import run_scenario
from mallowcrank.load.scenario import Scenario
from mallowcrank.load.scenarios import SCENARIOS
from mallowcrank.load.site import Site, read_site
from mallowcrank.settings import Checker
from mallowcrank.status import ExitStatus

PROGRAM = 'mallowcrank-load'
MAX_SEED = 1 << 62
MAX_DURATION_S = 600

app = Typer(
    name=PROGRAM,
    help='Send load and faults to a running system and check the result '
    "against the stand-ins' traces and the callers' records. Starts no "
    'process of the system; `make bench` does.',
    no_args_is_help=True,
    add_completion=False,
)


@app.callback()
def describe(version: Version = False) -> None:
    """
    Exit statuses: 0 all guarantees held, 1 a guarantee was violated, 2 bad
    flags.
    """


@app.command('list')
def list_scenarios(context: Context) -> None:
    """
    List the scenarios.
    """
    stdout = environment_of(context).stdout
    for scenario in SCENARIOS.values():
        stdout.write(f'{scenario.name:20} {scenario.about}\n')


@app.command()
def run(
    context: Context,
    scenario: Annotated[str, Argument(help='A scenario of `list`.')],
    site: Annotated[
        str,
        Option(
            '--site',
            envvar='MALLOWCRANK_SITE',
            help='JSON file of the running processes; see docs/LOAD.md.',
        ),
    ] = '',
    seed: Annotated[
        str,
        Option(
            '--seed',
            envvar='MALLOWCRANK_SEED',
            help='Random seed of the calls.',
        ),
    ] = '1',
    json_file: Annotated[
        str,
        Option(
            '--json', envvar='MALLOWCRANK_JSON', help='File for the report.'
        ),
    ] = '',
    calls_file: Annotated[
        str,
        Option(
            '--calls',
            envvar='MALLOWCRANK_CALLS',
            help="File for the callers' records, one JSON object per line.",
        ),
    ] = '',
    seconds: Annotated[
        str,
        Option(
            '--seconds',
            envvar='MALLOWCRANK_SECONDS',
            help="How long callers send calls; 0 for the scenario's default.",
        ),
    ] = '0',
) -> None:
    """
    Run one scenario, check its guarantees and print its figures.
    """
    environment = environment_of(context)
    checker = Checker()
    chosen = _read_scenario(checker, scenario)
    running_site = _read_site(checker, site)
    seed_number = int(checker.number('--seed', seed, 0, MAX_SEED))
    duration_s = checker.number('--seconds', seconds, 0, MAX_DURATION_S)
    require_no_findings(environment, PROGRAM, checker.findings)
    if duration_s:
        chosen = replace(chosen, seconds=duration_s)

    def write_progress(line: str) -> None:
        environment.stderr.write(f'load: {line}\n')
        environment.stderr.flush()

    report, evidence = run_scenario(
        chosen, seed_number, running_site, write_progress
    )
    _write_calls(calls_file, evidence)
    _write_report(environment, json_file, report)
    status = ExitStatus.SUCCESS if report.is_clean else ExitStatus.ERROR
    raise Exit(status)


@app.command('report')
def draw_report(
    context: Context,
    files: Annotated[
        list[Path],
        Argument(help='JSON reports; those of one folder are one version.'),
    ],
    out: Annotated[
        str, Option('--out', help='FILE.png or FILE.html to write.')
    ] = 'report.html',
) -> None:
    """
    Plot one or several reports, versions side by side.
    """
    # Plots need an extra: `pip install mallowcrank[bench]`.
    from mallowcrank.load.plots import read_reports, write_plots

    checker = Checker()
    path = Path(out)
    if path.suffix not in {'.png', '.html'}:
        checker.report(
            '--out',
            f'{out!r} is not a PNG or HTML file',
            'end in .png or .html',
        )
    reports = ()
    try:
        reports = read_reports(files)
    except (OSError, ValueError) as error:
        checker.report('FILE', f'{error}', 'give reports of `run --json`')
    require_no_findings(environment_of(context), PROGRAM, checker.findings)
    write_plots(reports, path)


def _read_scenario(checker: Checker, name: str) -> Scenario:
    if name not in SCENARIOS:
        checker.report(
            'SCENARIO',
            f'{name!r} is not a scenario',
            f'give one of {", ".join(SCENARIOS)}',
        )
    return SCENARIOS.get(name, SCENARIOS['steady'])


def _read_site(checker: Checker, file_name: str) -> Site:
    try:
        return read_site(Path(file_name))
    except (OSError, ValueError, BaseValidationError) as error:
        checker.report(
            '--site',
            f'{file_name!r} cannot be read: {error}',
            'give the file written by scripts/bench.py; see docs/LOAD.md',
        )
    return Site((), (), '', '', {})


def _write_report(
    environment: Environment, file_name: str, report: Report
) -> None:
    text = json.dumps(to_plain(report), indent=2)
    environment.stdout.write(f'{text}\n')
    if file_name:
        Path(file_name).write_text(f'{text}\n', encoding='utf-8')


def _write_calls(file_name: str, evidence: Evidence) -> None:
    if not file_name:
        return
    lines = [f'{json.dumps(to_plain(each))}\n' for each in evidence.records]
    Path(file_name).write_text(''.join(lines), encoding='utf-8')


load_experiment.register(app)
