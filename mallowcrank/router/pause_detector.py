"""
Detects that the process was paused.

A request that waited in the kernel during a pause carries a timeout in
milliseconds that counts from when the caller sent it. It may have arrived at
any time during the pause, so its deadline counts from the start of the pause.
"""

import threading
from dataclasses import dataclass, replace

from mallowcrank.clock import Clock

TICK_S = 0.02
MIN_PAUSE_S = 0.5  # a longer time between two ticks counts as a pause
BACKLOG_S = 2  # after a pause, until all requests that waited have been read


@dataclass(frozen=True, slots=True)
class PauseState:
    """
    The latest tick and the latest pause, as steady times in seconds.

    :param last_tick: the latest tick.
    :param pause_start: the last tick before the latest pause.
    :param pause_end: the first tick after the latest pause.
    """

    last_tick: float
    pause_start: float = float('-inf')
    pause_end: float = float('-inf')


def record_tick(state: PauseState, now: float) -> PauseState:
    """
    Record a tick, and a pause if the tick is late.

    :param now: steady time in seconds.
    """
    if now - state.last_tick > MIN_PAUSE_S:
        return PauseState(now, pause_start=state.last_tick, pause_end=now)
    return replace(state, last_tick=now)


def earliest_arrival(state: PauseState, now: float) -> float:
    """
    Return the earliest time at which a request that is read now may have
    arrived.

    :param now: steady time in seconds.
    :returns: steady time in seconds.
    """
    if now - state.last_tick > MIN_PAUSE_S:
        return state.last_tick
    if now - state.pause_end < BACKLOG_S:
        return state.pause_start
    return now


class PauseDetector:
    """
    Records ticks in a thread of its own.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._state = PauseState(clock.steady())
        self._stopped = threading.Event()

    def start(self) -> None:
        """
        Start the ticks.
        """
        self._state = PauseState(self._clock.steady())
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """
        Stop the ticks.
        """
        self._stopped.set()

    def earliest_arrival(self) -> float:
        """
        Return the steady time from which a request's deadline counts.
        """
        return earliest_arrival(self._state, self._clock.steady())

    def _run(self) -> None:
        while not self._stopped.wait(TICK_S):
            self._state = record_tick(self._state, self._clock.steady())
