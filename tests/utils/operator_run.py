"""
Runs the operators' program in this process.
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
    What one run of the program gave.
    """

    status: ExitStatus
    stdout: str
    stderr: str


def run_operator(*words):
    """
    Run `mallowcrank` with some words.
    """
    environment = Environment(stdout=io.StringIO(), stderr=io.StringIO())
    status = main(app, 'mallowcrank', words, environment)
    return Run(
        status, environment.stdout.getvalue(), environment.stderr.getvalue()
    )
