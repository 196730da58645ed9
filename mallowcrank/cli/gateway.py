"""
The command line of `mallowcrank-gateway`.
"""

from typing import Annotated

from typer import Option, Typer

from mallowcrank.cli.options import Version
from mallowcrank.gateway.launch import run_gateway
from mallowcrank.platform.vocabulary import SETTINGS_VARIABLE

app = Typer(
    name='mallowcrank-gateway',
    help="Serve the callers of one host on the users' platform: requests, the "
    'directory, readiness, metrics and the placement of layers.',
    add_completion=False,
)


@app.command()
def serve(
    settings: Annotated[
        str,
        Option(
            '--settings',
            envvar=SETTINGS_VARIABLE,
            help='The settings file written by the platform; reloaded when it '
            'changes and on SIGHUP.',
        ),
    ] = '',
    version: Version = False,
) -> int:
    """
    Serve until SIGTERM, then finish the requests in flight.

    Logs are JSON lines on standard output; docs/OPERATIONS.md lists them. Exit
    statuses: 0 stopped, 1 a part failed, 2 bad flags or settings.
    """
    return run_gateway(settings)
