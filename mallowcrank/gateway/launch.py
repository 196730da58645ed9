"""
Starts a gateway in this process, configured by its settings file.
"""

import gc
import os
import sys

import uvloop

from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.ports import Vocabulary
from mallowcrank.gateway.program import Gateway
from mallowcrank.gateway.reload import read_settings_file
from mallowcrank.gateway.settings import GatewaySettings
from mallowcrank.platform.vocabulary import (
    SETTINGS_VARIABLE,
    platform_vocabulary,
)
from mallowcrank.status import ExitStatus


def run_gateway(path: str) -> int:
    """
    Run a gateway until a signal stops it.

    :param path: path of the settings file.
    :returns: the exit status.
    """
    if not path:
        sys.stderr.write(
            'mallowcrank-gateway: no settings file is named; give --settings '
            f'or {SETTINGS_VARIABLE}\n'
        )
        return ExitStatus.BAD_SETTINGS
    vocabulary = platform_vocabulary()
    settings = read_settings_file(path, vocabulary)
    if not isinstance(settings, GatewaySettings):
        sys.stderr.write(f'mallowcrank-gateway: {settings}\n')
        return ExitStatus.BAD_SETTINGS
    os.set_blocking(sys.stdout.fileno(), False)
    gc.freeze()
    uvloop.run(_run(settings, vocabulary, path))
    return ExitStatus.SUCCESS


async def _run(
    settings: GatewaySettings, vocabulary: Vocabulary, path: str
) -> None:
    await Gateway(settings, vocabulary, Journal(settings.host)).run(path)
