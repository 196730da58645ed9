"""
Flags, checks and output shared by the operators' commands.
"""

from typing import Annotated

from typer import Argument, Context, Exit, Option

from mallowcrank.cli.options import environment_of, require_no_findings
from mallowcrank.context import Environment
from mallowcrank.operators.client import (
    OperatorClient,
    OperatorSettings,
    open_client,
)
from mallowcrank.ports import Failure
from mallowcrank.settings import Checker
from mallowcrank.status import ExitStatus

PROGRAM = 'mallowcrank'
MAX_TIMEOUT_S = 3600

Agents = Annotated[
    str,
    Option(
        '--agents',
        envvar='MALLOWCRANK_AGENTS',
        help='Admin addresses of agents: IP:PORT[,IP:PORT].',
    ),
]
Routers = Annotated[
    str,
    Option(
        '--routers',
        envvar='MALLOWCRANK_ROUTERS',
        help='Admin addresses of routers: IP:PORT[,IP:PORT].',
    ),
]
Log = Annotated[
    str,
    Option(
        '--log',
        envvar='MALLOWCRANK_LOG',
        help="IP:PORT of the platform's log.",
    ),
]
Timeout = Annotated[
    str,
    Option(
        '--timeout',
        envvar='MALLOWCRANK_TIMEOUT',
        help='Seconds after which the command gives up.',
    ),
]
Whole = Annotated[
    bool,
    Option('--whole', help='Remove settings that the file does not list.'),
]
File = Annotated[str, Argument(help='A settings file in TOML.')]
Json = Annotated[bool, Option('--json', help='Print JSON.')]


def client_from_flags(
    context: Context, agents: str, log: str, routers: str = ''
) -> OperatorClient:
    """
    Check the shared flags and make the client for the processes they name.

    :param agents: the text of `--agents`.
    :param log: the text of `--log`.
    :param routers: the text of `--routers`.
    :raises Exit: with `BAD_SETTINGS`, after all findings were reported.
    """
    checker = Checker()
    settings = OperatorSettings(
        agents=checker.addresses('--agents', agents),
        routers=checker.addresses('--routers', routers),
        log=checker.address('--log', log, optional=True),
    )
    if not settings.agents and not settings.log:
        checker.report(
            '--agents',
            'neither agents nor a log given',
            'give --agents, --log or both',
        )
    require_no_findings(environment_of(context), PROGRAM, checker.findings)
    return open_client(settings)


def read_timeout(context: Context, text: str) -> float:
    """
    Parse `--timeout`.

    :param text: the text of the flag.
    :returns: the timeout in seconds.
    :raises Exit: with `BAD_SETTINGS`.
    """
    checker = Checker()
    seconds = checker.number('--timeout', text, 0, MAX_TIMEOUT_S)
    require_no_findings(environment_of(context), PROGRAM, checker.findings)
    return seconds


def fail(environment: Environment, message: str, status: ExitStatus) -> Exit:
    """
    Report an error and return the exception that ends the program.

    :param status: the program's exit status.
    """
    environment.stderr.write(f'{PROGRAM}: {message}\n')
    return Exit(status)


def write_line(environment: Environment, text: str) -> None:
    """
    Write a text and a newline to standard output.
    """
    environment.stdout.write(f'{text}\n')


def require_answer(environment: Environment, answer: object) -> None:
    """
    Exit if a call failed.

    :param answer: the answer of the call, or a `Failure`.
    :raises Exit: with `ERROR`.
    """
    if isinstance(answer, Failure):
        raise fail(environment, answer.reason, ExitStatus.ERROR)
