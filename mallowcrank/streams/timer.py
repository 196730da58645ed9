"""
Runs callbacks at given times.
"""

import heapq
import threading
from collections.abc import Callable
from itertools import count

from mallowcrank.clock import Clock
from mallowcrank.logs import PartLog


class Timer:
    """
    A thread that runs callbacks when they are due.

    Callbacks must be short: each delays those after it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._changed = threading.Condition()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._stopped = False
        self._log = PartLog('stream')

    @property
    def clock(self) -> Clock:
        """
        Return the clock that due times refer to.
        """
        return self._clock

    def start(self) -> None:
        """
        Start the thread.
        """
        self._thread.start()

    def stop(self) -> None:
        """
        Stop the thread and drop all pending callbacks.
        """
        with self._changed:
            self._stopped = True
            self._changed.notify()

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """
        Run a callback after a delay.

        :param delay_s: seconds from now.
        """
        due = self._clock.steady() + delay_s
        with self._changed:
            heapq.heappush(self._due, (due, next(self._numbers), callback))
            if self._due[0][0] == due:
                self._changed.notify()

    def _run(self) -> None:
        while True:
            with self._changed:
                callbacks = self._collect()
                if self._stopped:
                    return
            for callback in callbacks:
                self._call(callback)

    def _call(self, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception as error:
            # An actor may stop between the check that it is alive and the
            # message to it.
            self._log.say('Callback failed', error=repr(error))

    def _collect(self) -> list[Callable[[], None]]:
        """
        Wait until callbacks are due, and remove them from the queue.
        """
        callbacks: list[Callable[[], None]] = []
        while not self._stopped and not callbacks:
            now = self._clock.steady()
            while self._due and self._due[0][0] <= now:
                callbacks.append(heapq.heappop(self._due)[2])
            if not callbacks:
                self._changed.wait(self._due[0][0] - now if self._due else None)
        return callbacks
