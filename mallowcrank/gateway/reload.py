"""
Settings that change while the gateway runs, with a signal or without.
"""

import asyncio
from collections.abc import Callable
from pathlib import Path

from mallowcrank.findings import format_findings
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.ports import Vocabulary
from mallowcrank.gateway.settings import GatewaySettings

PERIOD_S = 2  # between looks at the file


def read_settings_file(
    path: str, vocabulary: Vocabulary
) -> GatewaySettings | str:
    """
    Read the settings file.

    :returns: all that is wrong, as text, where something is.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except OSError as error:
        return f'{path}: {error.strerror}'
    except UnicodeDecodeError as error:
        return f'{path}: {error}'
    read = vocabulary.read_settings(text)
    if isinstance(read, GatewaySettings):
        return read
    return format_findings(read)


class SettingsWatcher:
    """
    Reads the settings file again when it has changed.
    """

    def __init__(
        self,
        path: str,
        vocabulary: Vocabulary,
        journal: Journal,
        take: Callable[[GatewaySettings], None],
    ) -> None:
        self._path = path
        self._vocabulary = vocabulary
        self._journal = journal
        self._take = take
        self._known = read_settings_file(path, vocabulary)
        self._asked = asyncio.Event()

    def check_soon(self) -> None:
        """
        Look at the file at once.
        """
        self._asked.set()

    def check(self) -> None:
        """
        Take in the file if it says something else than before.

        Bad settings are logged, and those in force stay.
        """
        read = read_settings_file(self._path, self._vocabulary)
        if read == self._known:
            return
        self._known = read
        if isinstance(read, GatewaySettings):
            self._take(read)
            self._journal.say('gateway: settings reloaded')
        else:
            self._journal.say('gateway: bad settings', findings=read)

    async def run(self) -> None:
        """
        Look for good.
        """
        while True:
            waiting = asyncio.create_task(self._asked.wait())
            await asyncio.wait((waiting,), timeout=PERIOD_S)
            waiting.cancel()
            self._asked.clear()
            self.check()
