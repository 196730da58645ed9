"""
The route policy: a thread-safe facade over the routing logic.

It uses a lock rather than an actor, because a choice takes less time than a
switch between two threads while the data path keeps the interpreter busy.
"""

import threading

from mallowcrank.changes import ViewChanges, compare_views
from mallowcrank.overload.retries import RetryBudgets
from mallowcrank.policy.settings import PolicySettings
from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.router.ports import Route, RouteDemand
from mallowcrank.routing.hints import CacheEvent
from mallowcrank.routing.in_flight import InFlightPaths
from mallowcrank.routing.path_search import PathSearch, find_stages
from mallowcrank.routing.replicas import ReplicaOptions, choose_replica
from mallowcrank.routing.target_registry import TargetRegistry, exclude
from mallowcrank.view import Target, View

RETRY_AFTER_S = 1


class RoutePolicy:
    """
    Chooses targets and records the results of calls to them.
    """

    def __init__(self, settings: PolicySettings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._view = View()
        self._registry = TargetRegistry(
            settings.links, settings.router.host_settings.availability_zone
        )
        self._in_flight = InFlightPaths(self._registry)
        self._budgets = RetryBudgets()

    # Queries

    def slowdown(self, serves: str) -> float:
        """
        Return the mean slowdown of the busiest layer range of a pool.

        :returns: call time over idle call time; 1 means idle.
        """
        with self._lock:
            return self._registry.slowdown(serves)

    def cache_event_cursors(self) -> tuple[tuple[Target, int], ...]:
        """
        Return the engines in use that cache prompts, each with the number of
        the next cache event to request.
        """
        with self._lock:
            known = self._registry.index.targets
            names = sorted(set(self._in_flight.first_targets()) & known.keys())
            return tuple(
                (known[name], self._registry.hints.next_event_number(name))
                for name in names
            )

    # Commands

    def choose_path(self, demand: RouteDemand) -> Route | Refused:
        """
        Choose a path of engines and count it as in flight.

        :returns: the path, or a refusal where no targets cover the model.
        """
        with self._lock:
            if not self._in_flight.release(demand.stream):
                self._budgets.count_first_try(
                    demand.serves, self._settings.steady()
                )
            stages = find_stages(self._search(demand))
            if not stages:
                return _refuse_no_route(demand.serves)
            route = Route(stages)
            self._in_flight.add(demand.stream, route)
            self._registry.hints.record_sent(stages[0].target, demand.prefix)
            return route

    def release_path(self, stream: str) -> None:
        """
        Release the path of a stream.
        """
        with self._lock:
            self._in_flight.release(stream)

    def choose_replica(
        self, service: str, avoid: frozenset[str]
    ) -> str | Refused:
        """
        Choose a replica of a plain service and count the call as in flight.

        :param avoid: replicas that already failed this call.
        :returns: the replica's name, or a refusal where there is none.
        """
        with self._lock:
            if not avoid:
                self._budgets.count_first_try(service, self._settings.steady())
            options = self._replica_options(service, avoid)
            if not options.replicas:
                return _refuse_no_route(service)
            chosen = choose_replica(options)
            self._registry.loads.add(chosen, 1)
            return chosen

    def release_replica(self, target: str) -> None:
        """
        Release a call to a replica.
        """
        with self._lock:
            self._registry.loads.subtract(target, 1)

    def record_success(self, target: str, seconds: float) -> None:
        """
        Record that a target answered a call.

        :param seconds: duration of the call.
        """
        with self._lock:
            self._registry.record_answer(
                target, seconds, self._settings.steady()
            )

    def record_failure(
        self, target: str, incarnation: int, reason: str
    ) -> None:
        """
        Record that a target failed a call or stopped responding.
        """
        with self._lock:
            now = self._settings.steady()
            self._registry.health.record_failure(
                target, incarnation, now, reason
            )

    def spend_retry(self, serves: str) -> bool:
        """
        Spend one retry from the pool's budget.

        :returns: whether one was left.
        """
        with self._lock:
            return self._budgets.spend(serves, self._settings.steady())

    def apply_cache_events(
        self, target: str, events: tuple[CacheEvent, ...], next_number: int
    ) -> None:
        """
        Apply cache events of an engine.

        :param next_number: number of the next event to request.
        """
        with self._lock:
            self._registry.hints.apply_events(target, events, next_number)

    def apply_view(
        self, view: View, changes: ViewChanges | None = None
    ) -> None:
        """
        Apply the settings and targets of a new view.

        :param changes: what changed since the last view, if known.
        """
        with self._lock:
            if changes is None:
                changes = compare_views(self._view, view)
            self._view = view
            now = self._settings.steady()
            self._registry.apply(view.targets, changes.targets, now)

    def _search(self, demand: RouteDemand) -> PathSearch:
        model = self._view.models.get(demand.serves)
        return PathSearch(
            demand=demand,
            layers=model.layers if model else 0,
            registry=self._registry,
            strategy=self._settings.strategy,
            random=self._settings.random,
            now=self._settings.steady(),
        )

    def _replica_options(
        self, service: str, avoid: frozenset[str]
    ) -> ReplicaOptions:
        now = self._settings.steady()
        names = self._registry.index.replicas(service)
        usable = self._registry.usable(names, avoid, now) or exclude(
            names, avoid
        )
        return ReplicaOptions(
            replicas=tuple(map(self._registry.target, usable)),
            cost_inputs_of=lambda target: self._registry.cost_inputs(
                target, now
            ),
            random=self._settings.random,
        )


def _refuse_no_route(serves: str) -> Refused:
    return Refused(
        Reason.NO_ROUTE,
        Ran.NO,
        f'no live targets cover {serves}; try again',
        retry_after_s=RETRY_AFTER_S,
    )
