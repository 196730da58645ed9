"""
Stop signals, taken by a thread of their own.

A handler set by `signal.signal` runs in the main thread once that wakes up.
Some systems hand a signal to another thread, and a main thread that waits on a
lock is then never woken.
"""

import signal
import threading
from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def block_stop_signals() -> None:
    """
    Hold stop signals back until they are followed.

    To be called before any other thread starts, as threads inherit it: one
    that did not hold them back would let them end the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)


def handle_stop_signals(stop: Callable[[], None]) -> None:
    """
    Have a function called at each stop signal that was held back.

    :param stop: called in a thread of its own, one call at a time.
    """
    threading.Thread(
        target=_wait_for_signals, args=(stop,), daemon=True
    ).start()


def _wait_for_signals(stop: Callable[[], None]) -> None:
    while True:
        signal.sigwait(STOP_SIGNALS)
        stop()
