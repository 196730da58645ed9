"""
The route policy: a locked facade over the pure parts.

A lock, not an actor: a choice takes less time than the hand-over between two
threads does while the data path keeps the interpreter busy.
"""

import threading

from mallowcrank.changes import ViewChanges, compare_views
from mallowcrank.overload.retries import RetryBudgets
from mallowcrank.policy.settings import PolicySettings
from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.router.ports import Route, RouteDemand
from mallowcrank.routing.book import TargetBook, without
from mallowcrank.routing.finding import Search, find_stages
from mallowcrank.routing.flights import Flights
from mallowcrank.routing.hints import CacheEvent
from mallowcrank.routing.replicas import ReplicaOptions, choose_replica
from mallowcrank.view import Target, View

RETRY_AFTER_S = 1


class Routes:
    """
    Chooses targets, and learns from what became of them.
    """

    def __init__(self, settings: PolicySettings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._view = View()
        self._book = TargetBook(
            settings.links, settings.router.host_settings.availability_zone
        )
        self._flights = Flights(self._book)
        self._budgets = RetryBudgets()

    # Queries

    def slowdown(self, serves: str) -> float:
        """
        Return by how much the busiest layer range of a pool has slowed down.
        """
        with self._lock:
            return self._book.slowdown(serves)

    def hinted_targets(self) -> tuple[tuple[Target, int], ...]:
        """
        Return the engines in use that cache prompts, each with the number of
        the next cache event to ask for.
        """
        with self._lock:
            known = self._book.index.targets
            names = sorted(set(self._flights.first_targets()) & known.keys())
            return tuple(
                (known[name], self._book.hints.next_number(name))
                for name in names
            )

    # Commands

    def choose_path(self, demand: RouteDemand) -> Route | Refused:
        """
        Choose a path of engines and count it as in flight.
        """
        with self._lock:
            if not self._flights.release(demand.stream):
                self._budgets.count_first_try(
                    demand.serves, self._settings.steady()
                )
            stages = find_stages(self._search(demand))
            if not stages:
                return _refuse(demand.serves)
            route = Route(stages)
            self._flights.take(demand.stream, route)
            self._book.hints.sent(stages[0].target, demand.prefix)
            return route

    def release_path(self, stream: str) -> None:
        """
        A stream no longer uses its path.
        """
        with self._lock:
            self._flights.release(stream)

    def choose_replica(
        self, service: str, avoid: frozenset[str]
    ) -> str | Refused:
        """
        Choose a replica of a plain service and count the call in flight.
        """
        with self._lock:
            if not avoid:
                self._budgets.count_first_try(service, self._settings.steady())
            options = self._replica_options(service, avoid)
            if not options.replicas:
                return _refuse(service)
            chosen = choose_replica(options)
            self._book.loads.take(chosen, 1)
            return chosen

    def release_replica(self, target: str) -> None:
        """
        A call to a replica is over.
        """
        with self._lock:
            self._book.loads.give_back(target, 1)

    def succeeded(self, target: str, seconds: float) -> None:
        """
        A target answered a call.
        """
        with self._lock:
            self._book.answered(target, seconds, self._settings.steady())

    def failed(self, target: str, incarnation: int, reason: str) -> None:
        """
        A target failed a call or went silent.
        """
        with self._lock:
            now = self._settings.steady()
            self._book.health.record_failure(target, incarnation, now, reason)

    def may_retry(self, serves: str) -> bool:
        """
        Spend one retry out of the pool's budget, where one is left.
        """
        with self._lock:
            return self._budgets.spend(serves, self._settings.steady())

    def learn_hints(
        self, target: str, events: tuple[CacheEvent, ...], following: int
    ) -> None:
        """
        Take in cache events of an engine.

        :param following: the number of the next event to ask for.
        """
        with self._lock:
            self._book.hints.learn(target, events, following)

    def apply_view(
        self, view: View, changes: ViewChanges | None = None
    ) -> None:
        """
        Take over new settings and targets.
        """
        with self._lock:
            if changes is None:
                changes = compare_views(self._view, view)
            self._view = view
            now = self._settings.steady()
            self._book.apply(view.targets, changes.targets, now)

    def _search(self, demand: RouteDemand) -> Search:
        model = self._view.models.get(demand.serves)
        return Search(
            demand=demand,
            layers=model.layers if model else 0,
            book=self._book,
            choice=self._settings.choice,
            random=self._settings.random,
            now=self._settings.steady(),
        )

    def _replica_options(
        self, service: str, avoid: frozenset[str]
    ) -> ReplicaOptions:
        now = self._settings.steady()
        names = self._book.index.replicas(service)
        usable = self._book.usable(names, avoid, now) or without(names, avoid)
        return ReplicaOptions(
            replicas=tuple(map(self._book.target, usable)),
            standing_of=lambda target: self._book.standing(target, now),
            random=self._settings.random,
        )


def _refuse(serves: str) -> Refused:
    return Refused(
        Reason.NO_ROUTE,
        Ran.NO,
        f'no live targets cover {serves}; try again',
        retry_after_s=RETRY_AFTER_S,
    )
