"""
The command line of `mallowcrank`, the operators' program.
"""

from typer import Typer

from mallowcrank.cli import (
    operator_agents,
    operator_gateways,
    operator_place,
    operator_processes,
    operator_publish,
    operator_settings,
)
from mallowcrank.cli.options import Version

app = Typer(
    add_completion=False,
    no_args_is_help=True,
    help='Publish settings and inspect the running system.',
)


@app.callback()
def common(version: Version = False) -> None:
    """
    Publish settings and inspect the running system.

    Exit statuses: 0 done, 1 something can't be reached, 2 bad flags or
    settings, 3 refused, 4 not in force or outcome unknown in time, 5 another
    operator changed the same setting first.
    """


# Each module registers the commands of one subject.
operator_settings.register(app)
operator_publish.register(app)
operator_agents.register(app)
operator_processes.register(app)
operator_gateways.register(app)
operator_place.register(app)
