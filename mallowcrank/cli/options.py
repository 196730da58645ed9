"""
Flags that several programs share.
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
    Option('--host', envvar='MALLOWCRANK_HOST', help="This host's name."),
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
        help='IP:PORT of statsd; empty for no metrics.',
    ),
]
PeerKeys = Annotated[
    str,
    Option(
        '--peer-keys',
        envvar='MALLOWCRANK_PEER_KEYS',
        help='NUMBER:HEX[,NUMBER:HEX], keys shared by all hosts. '
        'The first one signs; all are accepted.',
    ),
]


def environment_of(context: Context) -> Environment:
    """
    Return the environment that `main` passed in.
    """
    return context.obj or Environment()


def require_no_findings(
    environment: Environment, program: str, findings: tuple[Finding, ...]
) -> None:
    """
    Report all findings together and exit, where there are any.

    :raises Exit: with `BAD_SETTINGS`.
    """
    if not findings:
        return
    environment.stderr.write(
        f'{program}: the settings have problems; nothing was started.\n'
        f'{format_findings(findings)}\n'
    )
    raise Exit(ExitStatus.BAD_SETTINGS)


def require_addresses(context: Context, flag: str, raw: str) -> tuple[str, ...]:
    """
    Return the addresses that a flag names, or end with what is wrong.
    """
    checker = Checker()
    addresses = checker.addresses(flag, raw)
    if not addresses and not checker.findings:
        checker.report(flag, 'no address is given', 'give IP:PORT,IP:PORT,...')
    require_no_findings(
        environment_of(context), 'mallowcrank', checker.findings
    )
    return addresses
