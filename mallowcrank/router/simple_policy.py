"""
The simplest policies: admit all, and take the path with least in flight.
"""

import threading
from collections import Counter
from collections.abc import Iterable, Mapping

from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.router.ports import Route, RouteDemand, Stage, Ticket
from mallowcrank.view import Target, TargetKind, TargetState, View

RETRY_AFTER_S = 1
USABLE = frozenset((TargetState.LIVE, TargetState.SUSPECT))


class OpenAdmission:
    """
    Admits every request.
    """

    def enter(self, ticket: Ticket) -> Refused | None:
        """
        Admit the request.
        """

    def leave(self, ticket: Ticket, tokens: int) -> None:
        """
        Do nothing.
        """

    def step_priority(self, ticket: Ticket) -> int:
        """
        Return the same priority for all.
        """
        return 0

    def demands(self) -> Mapping[str, float]:
        """
        Return no demand.
        """
        return {}

    def apply_view(self, view: View) -> None:
        """
        Do nothing.
        """


class LeastInFlight:
    """
    Takes the targets with the least in flight from this router.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._view = View()
        self._in_flight: Counter[str] = Counter()
        self._paths: dict[str, Route] = {}

    def choose_path(self, demand: RouteDemand) -> Route | Refused:
        """
        Choose a path of engines and count it as in flight.
        """
        with self._lock:
            model = self._view.models.get(demand.serves)
            layers = model.layers if model else 0
            engines = self._usable(demand.serves, demand.avoid)
            route = find_path(engines, layers, self._in_flight)
            if route is None:
                return _refuse(
                    f'no engines cover all layers of {demand.serves}'
                )
            self._paths[demand.stream] = route
            self._in_flight.update(stage.target for stage in route.stages)
            return route

    def release_path(self, stream: str) -> None:
        """
        A stream no longer uses its path.
        """
        with self._lock:
            route = self._paths.pop(stream, None)
            if route is not None:
                self._in_flight.subtract(stage.target for stage in route.stages)

    def choose_replica(
        self, service: str, avoid: frozenset[str]
    ) -> str | Refused:
        """
        Choose a replica of a plain service and count the call in flight.
        """
        with self._lock:
            replicas = self._usable(service, avoid)
            if not replicas:
                return _refuse(f'no replica of {service} is live')
            chosen = min(
                replicas,
                key=lambda each: (self._in_flight[each.name], each.name),
            )
            self._in_flight[chosen.name] += 1
            return chosen.name

    def release_replica(self, target: str) -> None:
        """
        A call to a replica is over.
        """
        with self._lock:
            self._in_flight[target] -= 1

    def succeeded(self, target: str, seconds: float) -> None:
        """
        Do nothing.
        """

    def failed(self, target: str, incarnation: int, reason: str) -> None:
        """
        Do nothing.
        """

    def may_retry(self, serves: str) -> bool:
        """
        Allow every retry.
        """
        return True

    def apply_view(self, view: View) -> None:
        """
        Take over new targets.
        """
        with self._lock:
            self._view = view

    def _usable(self, serves: str, avoid: frozenset[str]) -> list[Target]:
        return [
            target
            for target in self._view.targets.values()
            if target.serves == serves
            and target.state in USABLE
            and target.name not in avoid
        ]


def find_path(
    engines: Iterable[Target], layers: int, in_flight: Counter[str]
) -> Route | None:
    """
    Find a path that covers the layers with the fewest streams in flight.

    :returns: the path, or `None` where some layer is not covered.
    """
    usable = sorted(
        (each for each in engines if each.kind is TargetKind.ENGINE),
        key=lambda each: (in_flight[each.name], -each.last_layer, each.name),
    )
    stages: list[Stage] = []
    first = 0
    while first < layers:
        holders = (
            each
            for each in usable
            if each.first_layer <= first <= each.last_layer
        )
        engine = next(holders, None)
        if engine is None:
            return None
        last = min(engine.last_layer, layers - 1)
        stages.append(Stage(engine.name, engine.incarnation, first, last))
        first = last + 1
    return Route(tuple(stages)) if stages else None


def _refuse(message: str) -> Refused:
    return Refused(
        Reason.NO_ROUTE, Ran.NO, message, retry_after_s=RETRY_AFTER_S
    )
