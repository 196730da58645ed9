"""
Reports failed targets to the agent.
"""

from collections.abc import Callable
from dataclasses import dataclass
from threading import Lock

from mallowcrank.changes import ViewChanges
from mallowcrank.refusals import Refused
from mallowcrank.router.ports import Route, RouteDemand, RoutePort
from mallowcrank.view import View

MAX_SUSPECTS = 256  # in one report


@dataclass(frozen=True, slots=True)
class Suspect:
    """
    A target that failed a call of this router.
    """

    target: str
    incarnation: int
    reason: str


class ReportingRoutes:
    """
    Wraps a route policy, and also collects its failures for the agent.

    :param report_now: called for a target that is newly suspected.
    """

    def __init__(
        self, routes: RoutePort, report_now: Callable[[], None]
    ) -> None:
        self._routes = routes
        self._report_now = report_now
        self._lock = Lock()
        self._suspects: dict[str, Suspect] = {}

    # Queries

    def choose_path(self, demand: RouteDemand) -> Route | Refused:
        """
        Choose a path of engines and count it as in flight.
        """
        return self._routes.choose_path(demand)

    def choose_replica(
        self, service: str, avoid: frozenset[str]
    ) -> str | Refused:
        """
        Choose a replica of a plain service and count the call in flight.
        """
        return self._routes.choose_replica(service, avoid)

    def spend_retry(self, serves: str) -> bool:
        """
        Spend one retry of the pool's budget.

        :returns: whether a retry was left.
        """
        return self._routes.spend_retry(serves)

    # Commands

    def pop_suspects(self) -> tuple[Suspect, ...]:
        """
        Remove and return the suspects since the last report.
        """
        with self._lock:
            suspects = tuple(self._suspects.values())
            self._suspects.clear()
        return suspects

    def record_failure(
        self, target: str, incarnation: int, reason: str
    ) -> None:
        """
        Record that a target failed a call or stopped responding.
        """
        self._routes.record_failure(target, incarnation, reason)
        suspect = Suspect(target, incarnation, reason)
        with self._lock:
            is_new = target not in self._suspects
            if len(self._suspects) < MAX_SUSPECTS:
                self._suspects[target] = suspect
        if is_new:
            self._report_now()

    def release_path(self, stream: str) -> None:
        """
        Record that a stream no longer uses its path.
        """
        self._routes.release_path(stream)

    def release_replica(self, target: str) -> None:
        """
        Record that a call to a replica has ended.
        """
        self._routes.release_replica(target)

    def record_success(self, target: str, seconds: float) -> None:
        """
        Record that a target answered a call.

        :param seconds: duration of the call.
        """
        self._routes.record_success(target, seconds)

    def apply_view(
        self, view: View, changes: ViewChanges | None = None
    ) -> None:
        """
        Apply new settings and targets.

        :param changes: the difference from the previous view, if known.
        """
        self._routes.apply_view(view, changes)
