"""
Splits a model's layers over different accelerators and links.

The split minimizes the time of the slowest stage. Accelerators of one class
are identical, so the state of a partial plan is the number of accelerators
used of each class, the class used last, and the furthest layer reached. Under
a given limit on the stage time, reaching further is never worse, so only the
furthest layer of each state is kept. The limit is found by binary search over
all possible stage times.

Complexity: O(log(C * C * L) * C * C * product(count + 1)) for C classes and L
layers.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from math import floor, inf

ROUNDING_ERROR = 1e-9  # of the number of layers that fit into a time


@dataclass(frozen=True, slots=True)
class AcceleratorClass:
    """
    Identical accelerators in one availability zone.

    :param count: number of accelerators.
    :param layer_ms: milliseconds for one layer in one step.
    :param memory_layers: number of layers that fit into its memory.
    """

    name: str
    availability_zone: str
    count: int
    layer_ms: float
    memory_layers: int


@dataclass(frozen=True)
class Links:
    """
    Transfer times between consecutive stages, in milliseconds.

    :param same_zone_ms: within one availability zone.
    :param between_ms: by pair of availability zones, in path order.
    :param default_ms: for pairs that are not listed.
    """

    same_zone_ms: float = 0
    between_ms: Mapping[tuple[str, str], float] = field(default_factory=dict)
    default_ms: float = 0

    def transfer_ms(
        self, before: AcceleratorClass | None, after: AcceleratorClass
    ) -> float:
        """
        Return the transfer time between two stages, in milliseconds.

        :param before: accelerators of the previous stage; `None` for the
            first stage, whose input costs nothing.
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
    One stage of a plan; the layer range is inclusive.

    :param kind: name of its accelerator class.
    :param stage_ms: milliseconds for one step, including the transfer to it.
    """

    kind: str
    first_layer: int
    last_layer: int
    stage_ms: float


@dataclass(frozen=True, slots=True)
class Plan:
    """
    A split of all layers.

    :param slowest_ms: time of the slowest stage, in milliseconds.
    """

    stages: tuple[PlannedStage, ...]
    slowest_ms: float


@dataclass(frozen=True, slots=True)
class NoPlan:
    """
    Returned where a model does not fit.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class _PartialPlan:
    """
    A partial plan that reaches furthest in its state.

    :param layer: number of layers covered.
    :param used: accelerators used of each class.
    :param last: index of the class used last; -1 before the first stage.
    :param previous: the plan without the last stage.
    """

    layer: int
    used: tuple[int, ...]
    last: int
    previous: '_PartialPlan | None' = None


@dataclass(frozen=True, slots=True)
class _Search:
    """
    Inputs of a search.
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
    Split layers to minimize the time of the slowest stage.

    :param layers: number of layers of the model.
    :param max_stages: maximum number of accelerators, or `None` for no limit;
        with many accelerators it also bounds the time of the search.
    :returns: the plan with the fewest stages among the fastest ones, or
        `NoPlan` where the layers don't fit.
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
    Return the plan with the fewest stages in which no stage exceeds a limit.

    :param limit_ms: maximum stage time, in milliseconds.
    :returns: `None` if there is no such plan.
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
    extended = []
    for index, after in enumerate(search.classes):
        transfer_ms = search.links.transfer_ms(before, after)
        layer_count = _max_layers_within(after, limit_ms - transfer_ms)
        if layer_count and state.used[index] < after.count:
            used = list(state.used)
            used[index] += 1
            end = state.layer + layer_count
            extended.append(_PartialPlan(end, tuple(used), index, state))
    return extended


def _max_layers_within(after: AcceleratorClass, left_ms: float) -> int:
    if left_ms < 0:
        return 0
    return min(
        after.memory_layers, floor(left_ms / after.layer_ms + ROUNDING_ERROR)
    )


def _keep_furthest(
    found: dict[tuple[tuple[int, ...], int], _PartialPlan], state: _PartialPlan
) -> None:
    key = (state.used, state.last)
    furthest = found.get(key)
    if furthest is None or furthest.layer < state.layer:
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
        accelerator = classes[state.last]
        source = classes[before.last] if before.last >= 0 else None
        layer_count = state.layer - before.layer
        stages.append(
            PlannedStage(
                kind=accelerator.name,
                first_layer=before.layer,
                last_layer=state.layer - 1,
                stage_ms=links.transfer_ms(source, accelerator)
                + layer_count * accelerator.layer_ms,
            )
        )
        state = before
    stages.reverse()
    slowest = max((stage.stage_ms for stage in stages), default=inf)
    return Plan(tuple(stages), slowest)
