"""
The operators' command that plans how a model is split over accelerators.
"""

import json
from pathlib import Path
from typing import Annotated

from typer import Argument, Context, Option, Typer

from mallowcrank.cli.operator_options import PROGRAM, Json, fail, write_line
from mallowcrank.cli.options import environment_of, require_no_findings
from mallowcrank.findings import Finding
from mallowcrank.operators.accelerators import read_fleet
from mallowcrank.operators.plan_texts import (
    format_plan,
    format_settings,
    plain_plan,
)
from mallowcrank.routing.fleet_plan import plan_fleet
from mallowcrank.routing.placement import NoPlan
from mallowcrank.status import ExitStatus


def register(app: Typer) -> None:
    """
    Add the command to the program.
    """
    app.command()(place)


def place(
    context: Context,
    file: Annotated[
        str, Argument(help='A TOML file with accelerators, links and a model.')
    ],
    as_json: Json = False,
    as_settings: Annotated[
        bool, Option('--settings', help='Print settings to publish.')
    ] = False,
) -> None:
    """
    Plan how a model's layers are split over accelerators. Sends no orders.

    Prints the layer ranges with their planned overlaps, the memory in use, the
    throughput bound, and which engine's loss still leaves a path. Exits with
    status 1 if the layers don't fit.
    """
    environment = environment_of(context)
    try:
        text = Path(file).read_text()
    except (OSError, UnicodeDecodeError) as error:
        finding = Finding(
            file, f'cannot be read: {error}', 'give a readable file'
        )
        require_no_findings(environment, PROGRAM, (finding,))
    parsed = read_fleet(text, file)
    require_no_findings(environment, PROGRAM, parsed.findings)
    plan = plan_fleet(parsed.spec)
    if isinstance(plan, NoPlan):
        raise fail(environment, f'{file}: {plan.reason}', ExitStatus.ERROR)
    if as_json:
        write_line(environment, json.dumps(plain_plan(plan), indent=2))
    elif as_settings:
        write_line(environment, format_settings(plan))
    else:
        write_line(environment, format_plan(plan))
