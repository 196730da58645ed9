"""
Estimates the load of targets from reports and from this router's own calls.

A report can be older than a whole stream. The time of the router's own calls
gives a fresher estimate, because a batch takes longer the more streams it
holds. Both are corrected by the work that the router itself has started and
finished since.
"""

from dataclasses import dataclass

from mallowcrank.view import Target

MS_PER_S = 1000
ROUNDING_ERROR = 1e-6  # accumulated by adding and subtracting shares
SLOWDOWN_SMOOTHING = 0.2  # weight of the newest call in the average
MAX_CALL_OVERHEAD_MS = 25  # of a call, in addition to the link and the step
# Growth with each call, so that an old minimum expires.
SHORTEST_CALL_GROWTH = 1.001
ANSWERS_VALID_S = 2  # afterwards a report is more accurate


@dataclass(frozen=True, slots=True)
class CallStats:
    """
    Statistics of the latest answered calls to a target.

    :param slowdown: moving average of call time over idle call time.
    :param in_flight: this router's work in flight at the last answer.
    :param measured_at: steady time of the last answer, in seconds.
    :param shortest_ms: shortest recent call, in milliseconds.
    """

    slowdown: float
    in_flight: float
    measured_at: float
    shortest_ms: float


class LoadTracker:
    """
    Tracks work in flight and load by target.

    One unit is a stream that runs all layers of the target.
    """

    def __init__(self) -> None:
        self._in_flight: dict[str, float] = {}
        self._in_flight_at_report: dict[str, float] = {}
        self._last_reports: dict[str, Target] = {}
        self._call_stats: dict[str, CallStats] = {}

    # Queries

    def own_in_flight(self, name: str) -> float:
        """
        Return this router's work in flight at a target.
        """
        return self._in_flight.get(name, 0)

    def slowdown(self, name: str) -> float:
        """
        Return the average call time over the idle call time; 1 without calls.
        """
        stats = self._call_stats.get(name)
        return stats.slowdown if stats else 1

    def estimate(self, target: Target, now: float) -> float:
        """
        Return the load, from recent answers if there are any, else from the
        last report.

        :param now: steady time in seconds.
        """
        in_flight = self.own_in_flight(target.name)
        stats = self._call_stats.get(target.name)
        if stats is None or now - stats.measured_at > ANSWERS_VALID_S:
            change_since_report = in_flight - self._in_flight_at_report.get(
                target.name, 0
            )
            return max(in_flight, target.load + change_since_report)
        measured_load = stats.slowdown * target.slots
        return max(in_flight, measured_load + in_flight - stats.in_flight)

    # Commands

    def add(self, name: str, share: float) -> None:
        """
        Count work as in flight.

        :param share: layers to run, as a fraction of the layers held.
        """
        self._in_flight[name] = self._in_flight.get(name, 0) + share

    def subtract(self, name: str, share: float) -> None:
        """
        Count work as finished.

        :param share: the fraction that was added for it.
        """
        remaining = self._in_flight.get(name, 0) - share
        if remaining > ROUNDING_ERROR:
            self._in_flight[name] = remaining
        else:
            self._in_flight.pop(name, None)

    def record_report(self, target: Target) -> None:
        """
        Record a target from the view; a changed load marks a new report.
        """
        previous = self._last_reports.get(target.name)
        self._last_reports[target.name] = target
        if previous is None or previous.load != target.load:
            self._in_flight_at_report[target.name] = self.own_in_flight(
                target.name
            )

    def record_answer(
        self, target: Target, seconds: float, link_ms: float, now: float
    ) -> None:
        """
        Record the duration of one answered call.

        :param seconds: duration of the call.
        :param link_ms: round trip to the target, in milliseconds.
        :param now: steady time in seconds.
        """
        previous = self._call_stats.get(target.name)
        elapsed_ms = seconds * MS_PER_S
        shortest_ms = elapsed_ms
        if previous is not None:
            shortest_ms = min(
                elapsed_ms, previous.shortest_ms * SHORTEST_CALL_GROWTH
            )
        idle_ms = target.step_ms + link_ms
        # A call has overhead of its own, which is higher on a busy host.
        idle_ms = min(max(idle_ms, shortest_ms), idle_ms + MAX_CALL_OVERHEAD_MS)
        slowdown = elapsed_ms / max(idle_ms, ROUNDING_ERROR)
        if previous is not None:
            difference = slowdown - previous.slowdown
            slowdown = previous.slowdown + SLOWDOWN_SMOOTHING * difference
        self._call_stats[target.name] = CallStats(
            slowdown, self.own_in_flight(target.name), now, shortest_ms
        )

    def forget(self, name: str) -> None:
        """
        Drop a removed target. Its work in flight is subtracted later, when
        the calls end.
        """
        self._in_flight_at_report.pop(name, None)
        self._last_reports.pop(name, None)
        self._call_stats.pop(name, None)
