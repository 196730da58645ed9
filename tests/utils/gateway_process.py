"""
A gateway as a process of its own.
"""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

from mallowcrank.gateway.settings import Address
from mallowcrank.platform.standins.in_process import (
    PORTS,
    _process_address,
    settings_text,
)

FIRST_ADDRESS = 200  # beyond those of gateways in the test's process
STOP_TIMEOUT_S = 20


class GatewayProcess:
    """
    A gateway, run from a folder with its source.
    """

    def __init__(self, number, source, folder, store, seeds):
        self.ip = _process_address(FIRST_ADDRESS + number)
        self.front = Address(self.ip, PORTS['front'])
        self._settings = Path(folder) / f'node-{number}.conf'
        self._settings.write_text(
            settings_text(f'edge-{number}', self.ip, 'a', store, seeds)
        )
        self._log = Path(folder) / f'node-{number}.log'
        self.process = self._start(source)

    async def stop(self):
        """
        Stop it gracefully.
        """
        self.process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(self.process.wait, STOP_TIMEOUT_S)

    def kill(self):
        """
        End it at once.
        """
        self.process.kill()
        self.process.wait()

    def replace(self, source):
        """
        Start another version in its place.
        """
        self.process = self._start(source)

    def _start(self, source):
        with self._log.open('ab') as log:
            return subprocess.Popen(
                (sys.executable, '-m', 'mallowcrank.gateway'),
                cwd=source,
                stdout=log,
                env={
                    **os.environ,
                    'PYTHONPATH': str(source),
                    'MALLOWCRANK_NODE_FILE': str(self._settings),
                },
            )
