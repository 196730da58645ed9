"""
`mallowcrank-load experiment`: compares policies in the emulator.
"""

import json
from collections.abc import Container, Sequence
from pathlib import Path
from typing import Annotated

from typer import Context, Option, Typer

from mallowcrank.cli.options import environment_of, require_no_findings
from mallowcrank.operators.tables import format_table
from mallowcrank.settings import Checker
from mallowcrank.status import ExitStatus

PROGRAM = 'mallowcrank-load'
MAX_SEEDS = 50


def register(app: Typer) -> None:
    """
    Add the command to `mallowcrank-load`.
    """
    app.command('experiment')(experiment)


def experiment(
    context: Context,
    policies: Annotated[
        str, Option('--policies', help='Comma-separated names.')
    ] = 'product,one-copy,nearest,least-loaded,random',
    loads: Annotated[
        str, Option('--loads', help='Comma-separated names.')
    ] = 'busy,losses',
    seeds: Annotated[
        str, Option('--seeds', help='Number of seeds, starting at 1.')
    ] = '1',
    json_file: Annotated[
        str, Option('--json', help='File for the table as JSON.')
    ] = '',
    plot: Annotated[str, Option('--plot', help='FILE.png for a plot.')] = '',
    names: Annotated[
        bool, Option('--names', help='List policies and loads, and exit.')
    ] = False,
) -> int:
    """
    Compare policies in an emulator of engines, routers and callers.

    Runs are in virtual time, one after the other, and take some seconds each.
    Exit statuses: 0 done, 2 bad flags.
    """
    # The emulator needs an extra: `pip install mallowcrank[bench]`.
    from mallowcrank.emulator.experiment import (
        COLUMNS,
        Experiment,
        summarize_trials,
    )
    from mallowcrank.emulator.load import LOADS
    from mallowcrank.emulator.policies import POLICIES

    environment = environment_of(context)
    if names:
        for name, entry in (*POLICIES.items(), *LOADS.items()):
            environment.stdout.write(f'{name:14} {entry.about}\n')
        return ExitStatus.SUCCESS
    checker = Checker()
    plan = Experiment(
        policies=_parse_names(checker, '--policies', policies, POLICIES),
        loads=_parse_names(checker, '--loads', loads, LOADS),
        seeds=range(1, int(checker.number('--seeds', seeds, 1, MAX_SEEDS)) + 1),
    )
    if plot and not plot.endswith('.png'):
        checker.report('--plot', f'{plot!r} is not a PNG file', 'end in .png')
    require_no_findings(environment, PROGRAM, checker.findings)

    def write_progress(line: str) -> None:
        environment.stderr.write(f'load: {line}\n')

    rows = summarize_trials(tuple(plan.run_trials(write_progress)))
    environment.stdout.write(f'{format_table(rows, COLUMNS)}\n')
    if json_file:
        text = json.dumps(rows, indent=2)
        Path(json_file).write_text(f'{text}\n', encoding='utf-8')
    if plot:
        from mallowcrank.emulator.plots import write_plot

        write_plot(rows, Path(plot))
    return ExitStatus.SUCCESS


def _parse_names(
    checker: Checker, flag: str, raw: str, known: Container[str]
) -> Sequence[str]:
    names = [name.strip() for name in raw.split(',') if name.strip()]
    for name in names:
        if name not in known:
            checker.report(flag, f'{name!r} is not a known name', 'see --names')
    if not names:
        checker.report(flag, 'no name given', 'see --names')
    return names
