"""
Runs the operators' client in the process of the test.
"""

import io
from dataclasses import dataclass

from mallowcrank.cli.operator import app
from mallowcrank.context import Environment
from mallowcrank.core import main
from mallowcrank.status import ExitStatus


@dataclass(frozen=True)
class Run:
    """
    The exit status and output of one run.
    """

    status: ExitStatus
    stdout: str
    stderr: str


def run_operator(*arguments):
    """
    Run `mallowcrank` with command-line arguments.
    """
    environment = Environment(stdout=io.StringIO(), stderr=io.StringIO())
    status = main(app, 'mallowcrank', arguments, environment)
    return Run(
        status, environment.stdout.getvalue(), environment.stderr.getvalue()
    )
