"""
Placement: split a model's layers over mixed accelerators and links.

The slowest stage is made as fast as can be. Accelerators of one class are
alike, so that a plan's state is how many of each class it has used, the class
used last, and the furthest layer reached. Under a limit on the stages' time it
never hurts to reach further, so that one number a state is enough. The limit
is found by binary search over all times that a stage can take.

Complexity: O(log(C * C * L) * C * C * product(count + 1)) for C classes and L
layers.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from math import floor, inf

ROUNDING_ERROR = 1e-9  # of times that are compared, in milliseconds


@dataclass(frozen=True, slots=True)
class AcceleratorClass:
    """
    Accelerators that are alike: of one kind, at one place.

    :param count: how many there are.
    :param layer_ms: milliseconds for one layer and one step.
    :param memory_layers: layers that fit into its memory.
    """

    name: str
    availability_zone: str
    count: int
    layer_ms: float
    memory_layers: int


@dataclass(frozen=True)
class Links:
    """
    Milliseconds to pass a step on between availability zones.

    :param same_zone_ms: inside one availability zone.
    :param between_ms: by pair of availability zones, in order of the path.
    :param default_ms: of pairs that are not given.
    """

    same_zone_ms: float = 0
    between_ms: Mapping[tuple[str, str], float] = field(default_factory=dict)
    default_ms: float = 0

    def transfer_ms(
        self, before: AcceleratorClass | None, after: AcceleratorClass
    ) -> float:
        """
        Return the time to pass a step on; the first stage's input is free.
        """
        if before is None:
            return 0
        zones = (before.availability_zone, after.availability_zone)
        if zones[0] == zones[1]:
            return self.same_zone_ms
        return self.between_ms.get(zones, self.default_ms)


@dataclass(frozen=True, slots=True)
class PlannedStage:
    """
    One stage of a plan; layers are inclusive.

    :param kind: the name of its accelerator class.
    :param stage_ms: its time for a step, with the transfer to it.
    """

    kind: str
    first_layer: int
    last_layer: int
    stage_ms: float


@dataclass(frozen=True, slots=True)
class Plan:
    """
    A split of all layers.

    :param slowest_ms: time of the slowest stage.
    """

    stages: tuple[PlannedStage, ...]
    slowest_ms: float


@dataclass(frozen=True, slots=True)
class NoPlan:
    """
    The sentinel for a model that does not fit.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class _PartialPlan:
    """
    The furthest layer of a state, and how it was reached.
    """

    layer: int
    used: tuple[int, ...]
    last: int
    previous: '_PartialPlan | None' = None


@dataclass(frozen=True, slots=True)
class _Search:
    """
    What is searched in.
    """

    layers: int
    classes: Sequence[AcceleratorClass]
    links: Links
    max_stages: int


def split_layers(
    layers: int,
    classes: Sequence[AcceleratorClass],
    links: Links,
    max_stages: int | None = None,
) -> Plan | NoPlan:
    """
    Split layers so that the slowest stage is as fast as can be.

    :param most_stages: how many accelerators it may use, where bounded; for
        many accelerators, it bounds the time of the search as well.
    :returns: the plan with the fewest stages among the fastest ones.
    """
    search = _Search(layers, classes, links, max_stages or layers)
    times = _stage_times(layers, classes, links)
    if not times or _shortest_plan_within(search, times[-1]) is None:
        return NoPlan(f'{layers} layers do not fit into the memory')
    low, high = 0, len(times) - 1
    while low < high:
        middle = (low + high) // 2
        if _shortest_plan_within(search, times[middle]) is None:
            low = middle + 1
        else:
            high = middle
    return _plan_of(_shortest_plan_within(search, times[low]), classes, links)


def _stage_times(
    layers: int, classes: Sequence[AcceleratorClass], links: Links
) -> list[float]:
    starts = [
        (links.transfer_ms(before, after), after)
        for after in classes
        for before in (None, *classes)
    ]
    times = {
        start_ms + count * after.layer_ms
        for start_ms, after in starts
        for count in range(1, min(layers, after.memory_layers) + 1)
    }
    return sorted(times)


def _shortest_plan_within(
    search: _Search, limit_ms: float
) -> _PartialPlan | None:
    """
    Return the end of the shortest plan within a time, if there is one.
    """
    start = _PartialPlan(0, (0,) * len(search.classes), -1)
    frontier = {(start.used, -1): start}
    for _ in range(search.max_stages):
        found: dict[tuple[tuple[int, ...], int], _PartialPlan] = {}
        for state in frontier.values():
            for after in _extend(state, search, limit_ms):
                if after.layer >= search.layers:
                    end = search.layers
                    return _PartialPlan(end, after.used, after.last, state)
                _keep_furthest(found, after)
        frontier = found
    return None


def _extend(
    state: _PartialPlan, search: _Search, limit_ms: float
) -> list[_PartialPlan]:
    before = search.classes[state.last] if state.last >= 0 else None
    reached = []
    for index, after in enumerate(search.classes):
        transfer_ms = search.links.transfer_ms(before, after)
        taken = _fitting(after, limit_ms - transfer_ms)
        if taken and state.used[index] < after.count:
            used = list(state.used)
            used[index] += 1
            end = state.layer + taken
            reached.append(_PartialPlan(end, tuple(used), index, state))
    return reached


def _fitting(after: AcceleratorClass, left_ms: float) -> int:
    if left_ms < 0:
        return 0
    return min(
        after.memory_layers, floor(left_ms / after.layer_ms + ROUNDING_ERROR)
    )


def _keep_furthest(
    found: dict[tuple[tuple[int, ...], int], _PartialPlan], state: _PartialPlan
) -> None:
    key = (state.used, state.last)
    known = found.get(key)
    if known is None or known.layer < state.layer:
        found[key] = state


def _plan_of(
    end: _PartialPlan | None,
    classes: Sequence[AcceleratorClass],
    links: Links,
) -> Plan:
    stages: list[PlannedStage] = []
    state = end
    while state is not None and state.previous is not None:
        before = state.previous
        kind = classes[state.last]
        source = classes[before.last] if before.last >= 0 else None
        taken = state.layer - before.layer
        stages.append(
            PlannedStage(
                kind=kind.name,
                first_layer=before.layer,
                last_layer=state.layer - 1,
                stage_ms=links.transfer_ms(source, kind)
                + taken * kind.layer_ms,
            )
        )
        state = before
    stages.reverse()
    slowest = max((stage.stage_ms for stage in stages), default=inf)
    return Plan(tuple(stages), slowest)
