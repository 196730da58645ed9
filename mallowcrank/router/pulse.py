"""
Notices that the process was paused.

A request that waited in the kernel meanwhile carries the milliseconds that its
caller was willing to wait when it sent it. Its deadline counts from the start
of the pause, as it may have come at any time since.
"""

import threading
from dataclasses import dataclass, replace

from mallowcrank.clock import Clock

BEAT_S = 0.02
PAUSE_S = 0.5  # a beat that is later by so much tells of a pause
QUEUE_S = 2  # until what waited during a pause has been read


@dataclass(frozen=True, slots=True)
class Beats:
    """
    What is known of pauses; steady times in seconds.

    :param last: the last beat.
    :param paused_from: the last beat before the last pause.
    :param paused_to: the first beat after it.
    """

    last: float
    paused_from: float = float('-inf')
    paused_to: float = float('-inf')


def note_beat(beats: Beats, now: float) -> Beats:
    """
    Take in a beat.
    """
    if now - beats.last > PAUSE_S:
        return Beats(now, paused_from=beats.last, paused_to=now)
    return replace(beats, last=now)


def earliest_arrival(beats: Beats, now: float) -> float:
    """
    Return the earliest time at which a request that is read now may have come.
    """
    if now - beats.last > PAUSE_S:
        return beats.last
    if now - beats.paused_to < QUEUE_S:
        return beats.paused_from
    return now


class Pulse:
    """
    Beats in a thread of its own.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._beats = Beats(clock.steady())
        self._stopped = threading.Event()

    def start(self) -> None:
        """
        Start to beat.
        """
        self._beats = Beats(self._clock.steady())
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """
        Stop to beat.
        """
        self._stopped.set()

    def arrival(self) -> float:
        """
        Return the steady time from which a request's deadline counts.
        """
        return earliest_arrival(self._beats, self._clock.steady())

    def _run(self) -> None:
        while not self._stopped.wait(BEAT_S):
            self._beats = note_beat(self._beats, self._clock.steady())
