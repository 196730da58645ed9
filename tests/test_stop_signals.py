"""
Daemons must stop gracefully on SIGTERM and SIGINT.

A thread that does not block these signals could receive one and end the
process, so only the thread that waits for them may leave them unblocked.
"""

import signal
from contextlib import suppress
from pathlib import Path
from unittest import TestCase

from scripts.fleet import Fleet
from scripts.layout import Engine, Layout

STOP_BITS = sum(1 << (number - 1) for number in (signal.SIGTERM, signal.SIGINT))
DAEMONS = ('agent-0', 'router-0', 'engine')


def blocked_stop_signals(pid):
    """
    Yield the stop signals that each thread of a process blocks, as bits.
    """
    for status in Path(f'/proc/{pid}/task').glob('*/status'):
        with suppress(FileNotFoundError, ProcessLookupError):
            yield int(status_fields(status)['SigBlk'], 16) & STOP_BITS


def status_fields(status):
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

    def test_only_one_thread_of_a_daemon_accepts_stop_signals(self):
        # `sigwait` unblocks the signals while it waits.
        for name in DAEMONS:
            with self.subTest(name=name):
                masks = list(blocked_stop_signals(self.fleet.get(name).pid))
                self.assertEqual(masks.count(0), 1)
                self.assertEqual(set(masks), {0, STOP_BITS})

    def test_daemon_exits_with_success_on_sigterm(self):
        for name in DAEMONS:
            with self.subTest(name=name):
                process = self.fleet.get(name)
                process.terminate()
                self.assertEqual(process.wait(), 0)
