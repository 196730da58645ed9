"""
How long a stream may be silent before its engines are asked.

Answers the load of many streams whose events come at another pace than on an
idle site: with long events, busy engines or slow ones, a fixed time is a normal
pause, and each of them would cost a probe of each engine of the path. As with
the retransmission timer of TCP (RFC 6298), the time follows the mean pause and
its mean deviation.
"""

MIN_SILENCE_S = 0.06  # most streams have 20 events per second or more
MAX_SILENCE_S = 0.12  # later, a detour is too late for the next event
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4


class EventPace:
    """
    The pauses between events of the streams of one service.
    """

    def __init__(self) -> None:
        self._mean_s: float | None = None
        self._deviation_s: float = 0

    @property
    def max_silence_s(self) -> float:
        """
        Return the seconds without an event after which engines are asked.
        """
        usual_s = (self._mean_s or 0) + DEVIATIONS * self._deviation_s
        return min(MAX_SILENCE_S, max(MIN_SILENCE_S, usual_s))

    def record(self, pause_s: float) -> None:
        """
        Record the seconds between two events of a stream.

        A longer pause than the longest that is waited for says nothing more.
        """
        pause_s = min(pause_s, MAX_SILENCE_S)
        if self._mean_s is None:
            self._mean_s = pause_s
            self._deviation_s = pause_s / 2
            return
        self._deviation_s += DEVIATION_WEIGHT * (
            abs(pause_s - self._mean_s) - self._deviation_s
        )
        self._mean_s += MEAN_WEIGHT * (pause_s - self._mean_s)
