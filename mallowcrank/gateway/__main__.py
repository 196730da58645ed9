"""
Entry point of `mallowcrank-gateway`: `python -m mallowcrank.gateway`.
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


def main() -> int:
    """
    Run a gateway with the settings file that the environment names.
    """
    vocabulary = platform_vocabulary()
    path = os.environ.get(SETTINGS_VARIABLE, '')
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


if __name__ == '__main__':
    sys.exit(main())
