"""
Entry points of all programs.
"""

import sys
from collections.abc import Callable, Sequence

from typer import Typer
from typer.exceptions import TyperException

from mallowcrank.context import Environment
from mallowcrank.status import ExitStatus


def main(
    app: Typer,
    program: str,
    arguments: Sequence[str],
    environment: Environment,
) -> ExitStatus:
    """
    Run one program in this process.

    :param app: the program's command line.
    :param program: the program's name, for messages.
    :param arguments: the command-line arguments without the program's name.
    :param environment: the streams and clock that the program uses.
    :returns: the exit status.
    """
    try:
        status = app(
            args=list(arguments),
            prog_name=program,
            standalone_mode=False,
            obj=environment,
        )
    except TyperException as error:
        environment.stderr.write(f'{program}: {error}\n')
        environment.stderr.write(f'Try `{program} --help`.\n')
        return ExitStatus.BAD_SETTINGS
    return ExitStatus(status or 0)


def _run(load_app: Callable[[], Typer], program: str) -> int:
    return main(load_app(), program, sys.argv[1:], Environment())


def router() -> int:
    """
    Run `mallowcrank-router`.
    """
    return _run(_router_app, 'mallowcrank-router')


def agent() -> int:
    """
    Run `mallowcrank-agent`.
    """
    return _run(_agent_app, 'mallowcrank-agent')


def operator() -> int:
    """
    Run `mallowcrank`.
    """
    return _run(_operator_app, 'mallowcrank')


def load() -> int:
    """
    Run `mallowcrank-load`.
    """
    return _run(_load_app, 'mallowcrank-load')


def standin() -> int:
    """
    Run `mallowcrank-standin`.
    """
    return _run(_standin_app, 'mallowcrank-standin')


def gateway() -> int:
    """
    Run `mallowcrank-gateway`.
    """
    return _run(_gateway_app, 'mallowcrank-gateway')


# Each program imports only its own command line, so that daemons start quickly.


def _router_app() -> Typer:
    from mallowcrank.cli.router import app

    return app


def _agent_app() -> Typer:
    from mallowcrank.cli.agent import app

    return app


def _operator_app() -> Typer:
    from mallowcrank.cli.operator import app

    return app


def _load_app() -> Typer:
    from mallowcrank.cli.load import app

    return app


def _gateway_app() -> Typer:
    from mallowcrank.cli.gateway import app

    return app


def _standin_app() -> Typer:
    from mallowcrank.cli.standin import app

    return app
