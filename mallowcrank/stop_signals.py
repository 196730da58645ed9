"""
Handling of SIGTERM and SIGINT in a dedicated thread.

A handler set by `signal.signal` runs in the main thread, and only once that
wakes up. Some systems deliver a signal to another thread, so that a main
thread that waits on a lock is never woken.
"""

import signal
import threading
from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def block_stop_signals() -> None:
    """
    Block stop signals in this thread and all threads that it starts.

    Call it before any other thread starts: a signal delivered to a thread
    that does not block it would end the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)


def handle_stop_signals(stop: Callable[[], None]) -> None:
    """
    Call a function at each blocked stop signal.

    :param stop: called in a dedicated thread, one call at a time.
    """
    threading.Thread(
        target=_wait_for_signals, args=(stop,), daemon=True
    ).start()


def _wait_for_signals(stop: Callable[[], None]) -> None:
    while True:
        signal.sigwait(STOP_SIGNALS)
        stop()
