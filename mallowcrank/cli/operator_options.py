"""
Flags that the operators' commands share, and how they are checked.
"""

from typing import Annotated

from typer import Argument, Context, Exit, Option

from mallowcrank.cli.options import environment_of, require_no_findings
from mallowcrank.context import Environment
from mallowcrank.operators.desk import Desk, OperatorSettings, open_desk
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
        help="IP:PORT[,IP:PORT], agents' admin addresses.",
    ),
]
Routers = Annotated[
    str,
    Option(
        '--routers',
        envvar='MALLOWCRANK_ROUTERS',
        help="IP:PORT[,IP:PORT], routers' admin addresses.",
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
        help='Seconds to go on trying.',
    ),
]
Whole = Annotated[
    bool,
    Option('--whole', help='Remove what the file does not name.'),
]
File = Annotated[str, Argument(help='A settings file in TOML.')]
Json = Annotated[bool, Option('--json', help='Print JSON.')]


def client_from_flags(
    context: Context, agents: str, log: str, routers: str = ''
) -> Desk:
    """
    Check the shared flags and make the ports that they name.

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
            'neither agents nor a log are given',
            'give --agents, --log or both',
        )
    require_no_findings(environment_of(context), PROGRAM, checker.findings)
    return open_desk(settings)


def read_timeout(context: Context, text: str) -> float:
    """
    Read a timeout in seconds.

    :raises Exit: with `BAD_SETTINGS`.
    """
    checker = Checker()
    seconds = checker.number('--timeout', text, 0, MAX_TIMEOUT_S)
    require_no_findings(environment_of(context), PROGRAM, checker.findings)
    return seconds


def fail(environment: Environment, message: str, status: ExitStatus) -> Exit:
    """
    Report an error, and return the exception that ends the program.
    """
    environment.stderr.write(f'{PROGRAM}: {message}\n')
    return Exit(status)


def write_line(environment: Environment, text: str) -> None:
    """
    Print an answer.
    """
    environment.stdout.write(f'{text}\n')


def require_answer(environment: Environment, answer: object) -> None:
    """
    Exit where a call brought no answer.

    :raises Exit: with `ERROR`.
    """
    if isinstance(answer, Failure):
        raise fail(environment, answer.reason, ExitStatus.ERROR)
