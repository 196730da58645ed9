"""
Indexes engines by model and layer range, and replicas by service.

The index is updated incrementally from the changes between two views.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from mallowcrank.view import Target, TargetKind, TargetState

USABLE_STATES = frozenset((TargetState.LIVE, TargetState.SUSPECT))


class LayerRange(NamedTuple):
    """
    A range of layers; both ends are inclusive.
    """

    first: int
    last: int


class EngineIndex:
    """
    Usable targets: engines by model and layer range, replicas by service.

    Suspect targets stay usable, because routers also judge targets by their
    own calls.
    """

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._engines: dict[str, dict[LayerRange, list[str]]] = {}
        self._replicas: dict[str, list[str]] = {}
        self._changed: set[str] = set()

    @property
    def targets(self) -> Mapping[str, Target]:
        """
        Return all targets by name.
        """
        return self._targets

    def ranges(self, model: str) -> Mapping[LayerRange, list[str]]:
        """
        Return the names of a model's engines by the layer range they hold.
        """
        return self._engines.get(model, {})

    def replicas(self, service: str) -> list[str]:
        """
        Return the names of a service's replicas.
        """
        return self._replicas.get(service, [])

    def count(self, serves: str) -> int:
        """
        Return the number of usable targets of a model or service.
        """
        engines = sum(map(len, self.ranges(serves).values()))
        return engines + len(self.replicas(serves))

    def engines_of(self, model: str) -> tuple[Target, ...]:
        """
        Return the usable engines of a model.
        """
        return tuple(
            self._targets[name]
            for names in self.ranges(model).values()
            for name in names
        )

    def apply(
        self, targets: Mapping[str, Target], names: Iterable[str]
    ) -> frozenset[str]:
        """
        Update the index from the targets of a changed view.

        :param targets: all targets of the view.
        :param names: targets that were added, changed or removed.
        :returns: the models and services whose targets changed.
        """
        self._changed = set()
        # Sorted, so that equal seeds give equal choices in every process.
        for name in sorted(names, key=_numeric_order):
            previous = self._targets.get(name)
            target = targets.get(name)
            if target is not None:
                self._replace(previous, target)
            elif previous is not None:
                self._remove(self._targets.pop(name))
        return frozenset(self._changed)

    def _replace(self, previous: Target | None, target: Target) -> None:
        self._targets[target.name] = target
        if previous is not None and _index_key(previous) == _index_key(target):
            return
        if previous is not None:
            self._remove(previous)
        if target.state in USABLE_STATES:
            self._group_of(target).append(target.name)
            self._changed.add(target.serves)

    def _remove(self, target: Target) -> None:
        if target.state not in USABLE_STATES:
            return
        self._changed.add(target.serves)
        names = self._group_of(target)
        names.remove(target.name)
        if not names and target.kind is TargetKind.ENGINE:
            self._engines[target.serves].pop(_range_of(target))

    def _group_of(self, target: Target) -> list[str]:
        if target.kind is TargetKind.SERVICE:
            return self._replicas.setdefault(target.serves, [])
        ranges = self._engines.setdefault(target.serves, {})
        return ranges.setdefault(_range_of(target), [])


def _range_of(target: Target) -> LayerRange:
    return LayerRange(target.first_layer, target.last_layer)


def _index_key(target: Target) -> tuple[object, ...]:
    """
    Return the properties that the index and the throughput bound depend on.
    """
    return (
        target.kind,
        target.serves,
        _range_of(target),
        (target.step_ms, target.slots),
        target.state in USABLE_STATES,
    )


def _numeric_order(name: str) -> tuple[int, str]:
    return len(name), name
