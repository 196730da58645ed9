"""
A plan for a whole fleet: replicas, one after the other, out of what is left.

Each replica is split as well as can be over the accelerators that remain, so
that the first replicas are the fastest. How much all of them reach together
is told by the throughput bound over the layers that they hold.
"""

from collections import Counter
from dataclasses import dataclass, replace
from math import inf

from mallowcrank.routing.bound import (
    BoundEngine,
    ThroughputBound,
    throughput_bound,
)
from mallowcrank.routing.overlap import (
    HeldRange,
    plan_overlap,
    survivable_losses,
)
from mallowcrank.routing.placement import (
    AcceleratorClass,
    Links,
    NoPlan,
    Plan,
    split_layers,
)

DEFAULT_MAX_STAGES = 8  # of one replica, where nothing else is asked for


@dataclass(frozen=True, slots=True)
class FleetAccelerators:
    """
    Accelerators that are alike.

    :param slots: streams that one batch holds without slowing down.
    """

    accelerator_class: AcceleratorClass
    slots: int = 16


@dataclass(frozen=True)
class FleetSpec:
    """
    What is to be planned.

    :param replicas: wanted; 0 for as many as fit.
    :param most_stages: accelerators of one replica, at most.
    """

    model: str
    layers: int
    accelerators: tuple[FleetAccelerators, ...]
    links: Links
    replicas: int = 0
    max_stages: int = DEFAULT_MAX_STAGES


@dataclass(frozen=True, slots=True)
class PlannedEngine:
    """
    One engine of a replica; layers are inclusive.

    :param held: its layers with the planned overlap, and its memory.
    :param stage_ms: its time for a step, with the transfer to it.
    :param has_cover: whether the rest of its replica covers its loss.
    """

    name: str
    kind: str
    availability_zone: str
    held: HeldRange
    stage_ms: float
    has_cover: bool


@dataclass(frozen=True, slots=True)
class PlannedReplica:
    """
    One replica of the model.

    :param slowest_ms: time of its slowest stage.
    """

    engines: tuple[PlannedEngine, ...]
    slowest_ms: float

    @property
    def ranges(self) -> tuple[str, ...]:
        """
        Return the ranges that its engines hold, as the settings write them.
        """
        return tuple(
            f'{each.held.held_first}-{each.held.held_last}'
            for each in self.engines
        )


@dataclass(frozen=True)
class FleetPlan:
    """
    All replicas that were asked for or fit.

    :param spare: accelerators that are left, by kind.
    :param bound: of all replicas together.
    """

    spec: FleetSpec
    replicas: tuple[PlannedReplica, ...]
    spare: dict[str, int]
    bound: ThroughputBound


def plan_fleet(spec: FleetSpec) -> FleetPlan | NoPlan:
    """
    Plan replicas until the accelerators or the replicas wanted run out.
    """
    left = Counter(
        {
            each.accelerator_class.name: each.accelerator_class.count
            for each in spec.accelerators
        }
    )
    replicas: list[PlannedReplica] = []
    while len(replicas) < (spec.replicas or inf):
        plan = _plan_replica(spec, left)
        if isinstance(plan, NoPlan):
            if not replicas:
                return plan
            break
        replicas.append(_planned_replica(spec, plan, len(replicas)))
        left.subtract(stage.kind for stage in plan.stages)
    engines = [
        _bound_engine(spec, each)
        for planned in replicas
        for each in planned.engines
    ]
    return FleetPlan(
        spec=spec,
        replicas=tuple(replicas),
        spare={kind: count for kind, count in left.items() if count},
        bound=throughput_bound(spec.layers, engines),
    )


def engine_names(plan: FleetPlan) -> tuple[str, ...]:
    """
    Return the names of all planned engines.
    """
    return tuple(
        engine.name for planned in plan.replicas for engine in planned.engines
    )


def bound_without(plan: FleetPlan, lost: str) -> ThroughputBound:
    """
    Return the throughput bound after the loss of one engine.
    """
    engines = [
        _bound_engine(plan.spec, each)
        for planned in plan.replicas
        for each in planned.engines
        if each.name != lost
    ]
    return throughput_bound(plan.spec.layers, engines)


def _plan_replica(spec: FleetSpec, left: Counter[str]) -> Plan | NoPlan:
    classes = [
        replace(
            each.accelerator_class,
            count=min(left[each.accelerator_class.name], spec.max_stages),
        )
        for each in spec.accelerators
        if left[each.accelerator_class.name] > 0
    ]
    return split_layers(spec.layers, classes, spec.links, spec.max_stages)


def _planned_replica(
    spec: FleetSpec, plan: Plan, number: int
) -> PlannedReplica:
    kinds = {
        each.accelerator_class.name: each.accelerator_class
        for each in spec.accelerators
    }
    held = plan_overlap(
        [
            (
                stage.first_layer,
                stage.last_layer,
                kinds[stage.kind].memory_layers,
            )
            for stage in plan.stages
        ]
    )
    covers = survivable_losses(held)
    engines = tuple(
        PlannedEngine(
            name=f'{spec.model}-{number}-{index}',
            kind=stage.kind,
            availability_zone=kinds[stage.kind].availability_zone,
            held=held[index],
            stage_ms=stage.stage_ms,
            has_cover=covers[index],
        )
        for index, stage in enumerate(plan.stages)
    )
    return PlannedReplica(engines, plan.slowest_ms)


def _bound_engine(spec: FleetSpec, engine: PlannedEngine) -> BoundEngine:
    """
    Return an engine as the bound sees it: its transfer is time on the way.
    """
    known = {each.accelerator_class.name: each for each in spec.accelerators}[
        engine.kind
    ]
    held = engine.held
    layer_ms = known.accelerator_class.layer_ms
    return BoundEngine(
        name=engine.name,
        first_layer=held.held_first,
        last_layer=held.held_last,
        step_ms=layer_ms * (held.held_last - held.held_first + 1),
        slots=known.slots,
        link_ms=engine.stage_ms - layer_ms * held.size,
    )
