"""
Notices that the process was paused.

A request that waited in the kernel meanwhile carries the milliseconds that its
caller was willing to wait when it sent it. Its deadline counts from the start
of the pause, as it may have come at any time since.
"""

import threading
from dataclasses import dataclass, replace

from mallowcrank.clock import Clock

TICK_S = 0.02
MIN_PAUSE_S = 0.5  # a beat that is later by so much tells of a pause
BACKLOG_S = 2  # until what waited during a pause has been read


@dataclass(frozen=True, slots=True)
class PauseState:
    """
    What is known of pauses; steady times in seconds.

    :param last: the last beat.
    :param paused_from: the last beat before the last pause.
    :param paused_to: the first beat after it.
    """

    last_tick: float
    pause_start: float = float('-inf')
    pause_end: float = float('-inf')


def record_tick(beats: PauseState, now: float) -> PauseState:
    """
    Take in a beat.
    """
    if now - beats.last_tick > MIN_PAUSE_S:
        return PauseState(now, pause_start=beats.last_tick, pause_end=now)
    return replace(beats, last_tick=now)


def earliest_arrival(beats: PauseState, now: float) -> float:
    """
    Return the earliest time at which a request that is read now may have come.
    """
    if now - beats.last_tick > MIN_PAUSE_S:
        return beats.last_tick
    if now - beats.pause_end < BACKLOG_S:
        return beats.pause_start
    return now


class PauseDetector:
    """
    Beats in a thread of its own.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._beats = PauseState(clock.steady())
        self._stopped = threading.Event()

    def start(self) -> None:
        """
        Start to beat.
        """
        self._beats = PauseState(self._clock.steady())
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """
        Stop to beat.
        """
        self._stopped.set()

    def earliest_arrival(self) -> float:
        """
        Return the steady time from which a request's deadline counts.
        """
        return earliest_arrival(self._beats, self._clock.steady())

    def _run(self) -> None:
        while not self._stopped.wait(TICK_S):
            self._beats = record_tick(self._beats, self._clock.steady())
