"""
The paths in use, and the loads that they put on targets.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from mallowcrank.router.ports import Route, Stage
from mallowcrank.routing.target_registry import TargetRegistry


@dataclass(frozen=True, slots=True)
class _Flight:
    route: Route
    shares: tuple[float, ...]


class InFlightPaths:
    """
    Counts each stream's path as in flight until it is released.
    """

    def __init__(self, book: TargetRegistry) -> None:
        self._book = book
        self._flights: dict[str, _Flight] = {}

    def __len__(self) -> int:
        """
        Return the count of streams.
        """
        return len(self._flights)

    def first_targets(self) -> Iterator[str]:
        """
        Go through the first target of each stream.
        """
        for flight in self._flights.values():
            yield flight.route.stages[0].target

    def add(self, stream: str, route: Route) -> None:
        """
        Count a stream's path.
        """
        shares = tuple(self._share(stage) for stage in route.stages)
        self._flights[stream] = _Flight(route, shares)
        for stage, share in zip(route.stages, shares, strict=True):
            self._book.loads.add(stage.target, share)

    def release(self, stream: str) -> bool:
        """
        Count a stream's path no longer.

        :returns: whether it had one.
        """
        flight = self._flights.pop(stream, None)
        if flight is None:
            return False
        for stage, share in zip(
            flight.route.stages, flight.shares, strict=True
        ):
            self._book.loads.subtract(stage.target, share)
        return True

    def _share(self, stage: Stage) -> float:
        target = self._book.target(stage.target)
        held = target.last_layer - target.first_layer + 1
        return (stage.last_layer - stage.first_layer + 1) / held
