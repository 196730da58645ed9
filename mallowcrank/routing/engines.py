"""
Engines by model and layer range, kept up to date by differences.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from mallowcrank.view import Target, TargetKind, TargetState

USABLE_STATES = frozenset((TargetState.LIVE, TargetState.SUSPECT))


class LayerRange(NamedTuple):
    """
    A range of layers, inclusive.
    """

    first: int
    last: int


class EngineIndex:
    """
    The usable targets: engines by model and range, replicas by service.

    Suspect ones are kept: routers judge by their own calls as well.
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
        Return the names of a model's engines by the range that they hold.
        """
        return self._engines.get(model, {})

    def replicas(self, service: str) -> list[str]:
        """
        Return the names of a service's replicas.
        """
        return self._replicas.get(service, [])

    def count(self, serves: str) -> int:
        """
        Return how many usable targets serve a model or service.
        """
        engines = sum(map(len, self.ranges(serves).values()))
        return engines + len(self.replicas(serves))

    def engines_of(self, model: str) -> tuple[Target, ...]:
        """
        Return a model's engines.
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
        Take over the targets of a view that changed.

        :param names: those that are new, changed or gone.
        :returns: the models and services whose targets changed.
        """
        self._changed = set()
        # Sorted, so that equal seeds choose alike in each process.
        for name in sorted(names, key=_numeric_order):
            known = self._targets.get(name)
            target = targets.get(name)
            if target is not None:
                self._replace(known, target)
            elif known is not None:
                self._remove(self._targets.pop(name))
        return frozenset(self._changed)

    def _replace(self, known: Target | None, target: Target) -> None:
        self._targets[target.name] = target
        if known is not None and _index_key(known) == _index_key(target):
            return
        if known is not None:
            self._remove(known)
        if target.state in USABLE_STATES:
            self._group_of(target).append(target.name)
            self._changed.add(target.serves)

    def _remove(self, known: Target) -> None:
        if known.state not in USABLE_STATES:
            return
        self._changed.add(known.serves)
        names = self._group_of(known)
        names.remove(known.name)
        if not names and known.kind is TargetKind.ENGINE:
            self._engines[known.serves].pop(_range_of(known))

    def _group_of(self, target: Target) -> list[str]:
        if target.kind is TargetKind.SERVICE:
            return self._replicas.setdefault(target.serves, [])
        ranges = self._engines.setdefault(target.serves, {})
        return ranges.setdefault(_range_of(target), [])


def _range_of(target: Target) -> LayerRange:
    return LayerRange(target.first_layer, target.last_layer)


def _index_key(target: Target) -> tuple[object, ...]:
    """
    Return what the index and the bound depend on.
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
