"""
Flags and checks shared by several programs.
"""

from typing import Annotated

from typer import Context, Exit, Option, echo

from mallowcrank import __version__
from mallowcrank.context import Environment
from mallowcrank.findings import Finding, format_findings
from mallowcrank.settings import Checker
from mallowcrank.status import ExitStatus


def _print_version(is_requested: bool) -> None:
    if is_requested:
        echo(f'mallowcrank {__version__}')
        raise Exit(ExitStatus.SUCCESS)


Version = Annotated[
    bool,
    Option(
        '--version',
        callback=_print_version,
        is_eager=True,
        help='Print the version and exit.',
    ),
]
HostName = Annotated[
    str,
    Option('--host', envvar='MALLOWCRANK_HOST', help='The name of this host.'),
]
AvailabilityZone = Annotated[
    str,
    Option(
        '--availability-zone',
        envvar='MALLOWCRANK_AVAILABILITY_ZONE',
        help='The availability zone of this host.',
    ),
]
Statsd = Annotated[
    str,
    Option(
        '--statsd',
        envvar='MALLOWCRANK_STATSD',
        help='IP:PORT of statsd; empty disables metrics.',
    ),
]
PeerKeys = Annotated[
    str,
    Option(
        '--peer-keys',
        envvar='MALLOWCRANK_PEER_KEYS',
        help='Keys shared by all hosts: NUMBER:HEX[,NUMBER:HEX]. '
        'Messages are signed with the first key; all keys are accepted.',
    ),
]


def environment_of(context: Context) -> Environment:
    """
    Return the environment that `main` passed to the command.
    """
    return context.obj or Environment()


def require_no_findings(
    environment: Environment, program: str, findings: tuple[Finding, ...]
) -> None:
    """
    Report all findings and exit if there are any.

    :param program: the program's name, for the message.
    :raises Exit: with `BAD_SETTINGS`.
    """
    if not findings:
        return
    environment.stderr.write(
        f'{program}: invalid settings; nothing was started.\n'
        f'{format_findings(findings)}\n'
    )
    raise Exit(ExitStatus.BAD_SETTINGS)


def require_addresses(context: Context, flag: str, raw: str) -> tuple[str, ...]:
    """
    Parse a flag's list of addresses; at least one is required.

    :param flag: the flag's name, for the findings.
    :raises Exit: with `BAD_SETTINGS`, after all findings were reported.
    """
    checker = Checker()
    addresses = checker.addresses(flag, raw)
    if not addresses and not checker.findings:
        checker.report(flag, 'no address given', 'give IP:PORT,IP:PORT,...')
    require_no_findings(
        environment_of(context), 'mallowcrank', checker.findings
    )
    return addresses
