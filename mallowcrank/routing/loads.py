"""
Loads of targets, as far as a router can know them.

A report lags by more than a stream may last. What this router's own calls
take tells the load of a moment ago, since a batch takes longer by the streams
that it holds. Both are corrected by what the router itself has sent and got
back since.
"""

from dataclasses import dataclass

from mallowcrank.view import Target

MS_PER_S = 1000
ROUNDING_ERROR = 1e-6  # of work in flight that is counted up and down
SLOWDOWN_SMOOTHING = 0.2  # weight of the newest call in the mean slowdown
MAX_CALL_OVERHEAD_MS = 25  # that a call may take beside the link and the step
SHORTEST_CALL_GROWTH = (
    1.001  # growth of the shortest call's time with each call
)
ANSWERS_VALID_S = 2  # how long the last call says more than a report


@dataclass(frozen=True, slots=True)
class CallStats:
    """
    What a target's last answers say.

    :param slowdown: mean time of a call over the time of an idle step.
    :param own: what this router had in flight there.
    :param at: steady time of the last one, in seconds.
    :param shortest_ms: milliseconds of the shortest call lately.
    """

    slowdown: float
    in_flight: float
    measured_at: float
    shortest_ms: float


class LoadTracker:
    """
    Work in flight by target, in streams that run all layers of the target.
    """

    def __init__(self) -> None:
        self._own: dict[str, float] = {}
        self._at_report: dict[str, float] = {}
        self._reported: dict[str, Target] = {}
        self._answered: dict[str, CallStats] = {}

    # Queries

    def own_in_flight(self, name: str) -> float:
        """
        Return what this router has in flight at a target.
        """
        return self._own.get(name, 0)

    def slowdown(self, name: str) -> float:
        """
        Return the mean time of this router's calls over an idle step's time.
        """
        known = self._answered.get(name)
        return known.slowdown if known else 1

    def estimate(self, target: Target, now: float) -> float:
        """
        Return the load: by the last answers, or else by the report.
        """
        own = self.own_in_flight(target.name)
        answered = self._answered.get(target.name)
        if answered is None or now - answered.measured_at > ANSWERS_VALID_S:
            since = own - self._at_report.get(target.name, 0)
            return max(own, target.load + since)
        then = answered.slowdown * target.slots
        return max(own, then + own - answered.in_flight)

    # Commands

    def add(self, name: str, share: float) -> None:
        """
        Count work as in flight.

        :param share: layers to run, as a part of those held.
        """
        self._own[name] = self._own.get(name, 0) + share

    def subtract(self, name: str, share: float) -> None:
        """
        Count work as done.
        """
        left = self._own.get(name, 0) - share
        if left > ROUNDING_ERROR:
            self._own[name] = left
        else:
            self._own.pop(name, None)

    def record_report(self, target: Target) -> None:
        """
        Take in what the view says; a changed load is a new report.
        """
        known = self._reported.get(target.name)
        self._reported[target.name] = target
        if known is None or known.load != target.load:
            self._at_report[target.name] = self.own_in_flight(target.name)

    def record_answer(
        self, target: Target, seconds: float, link_ms: float, now: float
    ) -> None:
        """
        Take in the time of one call of this router.
        """
        known = self._answered.get(target.name)
        took_ms = seconds * MS_PER_S
        shortest_ms = took_ms
        if known is not None:
            shortest_ms = min(took_ms, known.shortest_ms * SHORTEST_CALL_GROWTH)
        idle_ms = target.step_ms + link_ms
        # Calls take time of their own, more on a busy host.
        idle_ms = min(max(idle_ms, shortest_ms), idle_ms + MAX_CALL_OVERHEAD_MS)
        slowdown = took_ms / max(idle_ms, ROUNDING_ERROR)
        if known is not None:
            newer = slowdown - known.slowdown
            slowdown = known.slowdown + SLOWDOWN_SMOOTHING * newer
        self._answered[target.name] = CallStats(
            slowdown, self.own_in_flight(target.name), now, shortest_ms
        )

    def forget(self, name: str) -> None:
        """
        Forget a target that is gone; work in flight is given back later.
        """
        self._at_report.pop(name, None)
        self._reported.pop(name, None)
        self._answered.pop(name, None)
