"""
Tracks the paths in use and the load that they put on targets.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from mallowcrank.router.ports import Route, Stage
from mallowcrank.routing.target_registry import TargetRegistry


@dataclass(frozen=True, slots=True)
class _InFlightPath:
    route: Route
    shares: tuple[float, ...]


class InFlightPaths:
    """
    Counts each stream's path as in flight until it is released.
    """

    def __init__(self, registry: TargetRegistry) -> None:
        self._registry = registry
        self._paths: dict[str, _InFlightPath] = {}

    def __len__(self) -> int:
        """
        Return the number of streams.
        """
        return len(self._paths)

    def first_targets(self) -> Iterator[str]:
        """
        Iterate over the first target of each stream.
        """
        for path in self._paths.values():
            yield path.route.stages[0].target

    def add(self, stream: str, route: Route) -> None:
        """
        Count a stream's path as in flight.
        """
        shares = tuple(self._share(stage) for stage in route.stages)
        self._paths[stream] = _InFlightPath(route, shares)
        for stage, share in zip(route.stages, shares, strict=True):
            self._registry.loads.add(stage.target, share)

    def release(self, stream: str) -> bool:
        """
        Remove a stream's path and its load.

        :returns: whether the stream had a path.
        """
        path = self._paths.pop(stream, None)
        if path is None:
            return False
        for stage, share in zip(path.route.stages, path.shares, strict=True):
            self._registry.loads.subtract(stage.target, share)
        return True

    def _share(self, stage: Stage) -> float:
        target = self._registry.target(stage.target)
        held = target.last_layer - target.first_layer + 1
        return (stage.last_layer - stage.first_layer + 1) / held
