"""
Reloads the settings file while the gateway runs: on SIGHUP, and periodically.
"""

import asyncio
from collections.abc import Callable
from pathlib import Path

from mallowcrank.findings import format_findings
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.ports import Vocabulary
from mallowcrank.gateway.settings import GatewaySettings

CHECK_INTERVAL_S = 2


def read_settings_file(
    path: str, vocabulary: Vocabulary
) -> GatewaySettings | str:
    """
    Read the settings file.

    :returns: the settings, or all findings as text if the file is invalid.
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
    Applies the settings file whenever its content has changed.
    """

    def __init__(
        self,
        path: str,
        vocabulary: Vocabulary,
        journal: Journal,
        apply: Callable[[GatewaySettings], None],
    ) -> None:
        self._path = path
        self._vocabulary = vocabulary
        self._journal = journal
        self._apply = apply
        self._last_read = read_settings_file(path, vocabulary)
        self._check_requested = asyncio.Event()

    def check_soon(self) -> None:
        """
        Have `run` check the file without waiting for the interval to end.
        """
        self._check_requested.set()

    def check(self) -> None:
        """
        Apply the file if its content differs from the last check.

        Invalid settings are logged; those in force stay.
        """
        read = read_settings_file(self._path, self._vocabulary)
        if read == self._last_read:
            return
        self._last_read = read
        if isinstance(read, GatewaySettings):
            self._apply(read)
            self._journal.say('gateway: settings reloaded')
        else:
            self._journal.say('gateway: bad settings', findings=read)

    async def run(self) -> None:
        """
        Check the file until cancelled.
        """
        while True:
            requested = asyncio.create_task(self._check_requested.wait())
            await asyncio.wait((requested,), timeout=CHECK_INTERVAL_S)
            requested.cancel()
            self._check_requested.clear()
            self.check()
