"""
Stop signals of the daemons.
"""

import signal
from contextlib import suppress
from pathlib import Path
from unittest import TestCase

from scripts.fleet import Fleet
from scripts.layout import Engine, Layout

STOP_BITS = sum(1 << (number - 1) for number in (signal.SIGTERM, signal.SIGINT))
DAEMONS = ('agent-0', 'router-0', 'engine')


def held_back(pid):
    """
    Return the stop signals that each thread holds back, as bits.
    """
    for status in Path(f'/proc/{pid}/task').glob('*/status'):
        with suppress(FileNotFoundError, ProcessLookupError):
            yield int(fields_of(status)['SigBlk'], 16) & STOP_BITS


def fields_of(status):
    lines = status.read_text().splitlines()
    return dict(line.split(':', 1) for line in lines)


class TestStopSignals(TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.layout = Layout(self.fleet, 1)
        self.layout.start_platform()
        self.layout.start_agent(0, 'shah-alam')
        self.layout.start_router(0, 'shah-alam', '--keep', '0')
        self.layout.start_engine(Engine('engine', '0-23', 1, 'shah-alam'))
        self.layout.wait_until_up()

    def test_one_thread_of_a_daemon_takes_them(self):
        # The one that waits for them shows none as held back.
        for name in DAEMONS:
            with self.subTest(name=name):
                found = list(held_back(self.fleet.get(name).pid))
                self.assertEqual(found.count(0), 1)
                self.assertEqual(set(found), {0, STOP_BITS})

    def test_signal_ends_a_daemon(self):
        for name in DAEMONS:
            with self.subTest(name=name):
                process = self.fleet.get(name)
                process.terminate()
                self.assertEqual(process.wait(), 0)
