"""
Plans a whole fleet, one replica at a time.

Each replica is split optimally over the remaining accelerators, so the first
replicas are the fastest. The throughput bound over the layers that they hold
gives the capacity of all replicas together.
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

DEFAULT_MAX_STAGES = 8  # of one replica


@dataclass(frozen=True, slots=True)
class FleetAccelerators:
    """
    Identical accelerators of a fleet.

    :param slots: streams that fit into one batch without slowing down.
    """

    accelerator_class: AcceleratorClass
    slots: int = 16


@dataclass(frozen=True)
class FleetSpec:
    """
    Inputs of a fleet plan.

    :param layers: number of layers of the model.
    :param replicas: number of replicas; 0 for as many as fit.
    :param max_stages: maximum number of accelerators of one replica.
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
    One engine of a replica.

    :param kind: name of its accelerator class.
    :param held: its layers with the planned overlap, and its memory.
    :param stage_ms: milliseconds for one step, including the transfer to it.
    :param has_cover: whether the other engines of its replica hold all of its
        layers.
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

    :param slowest_ms: time of its slowest stage, in milliseconds.
    """

    engines: tuple[PlannedEngine, ...]
    slowest_ms: float

    @property
    def ranges(self) -> tuple[str, ...]:
        """
        Return the layer ranges of its engines in the format of the settings.
        """
        return tuple(
            f'{each.held.held_first}-{each.held.held_last}'
            for each in self.engines
        )


@dataclass(frozen=True)
class FleetPlan:
    """
    The replicas of a fleet: as many as requested, or as fit.

    :param spare: number of unused accelerators by class.
    :param bound: throughput bound of all replicas together.
    """

    spec: FleetSpec
    replicas: tuple[PlannedReplica, ...]
    spare: dict[str, int]
    bound: ThroughputBound


def plan_fleet(spec: FleetSpec) -> FleetPlan | NoPlan:
    """
    Plan replicas up to the requested number or until none fits.

    :returns: `NoPlan` where not even one replica fits.
    """
    remaining = Counter(
        {
            each.accelerator_class.name: each.accelerator_class.count
            for each in spec.accelerators
        }
    )
    replicas: list[PlannedReplica] = []
    while len(replicas) < (spec.replicas or inf):
        plan = _plan_replica(spec, remaining)
        if isinstance(plan, NoPlan):
            if not replicas:
                return plan
            break
        replicas.append(_planned_replica(spec, plan, len(replicas)))
        remaining.subtract(stage.kind for stage in plan.stages)
    engines = [
        _bound_engine(spec, each)
        for planned in replicas
        for each in planned.engines
    ]
    return FleetPlan(
        spec=spec,
        replicas=tuple(replicas),
        spare={kind: count for kind, count in remaining.items() if count},
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


def _plan_replica(spec: FleetSpec, remaining: Counter[str]) -> Plan | NoPlan:
    classes = [
        replace(
            each.accelerator_class,
            count=min(remaining[each.accelerator_class.name], spec.max_stages),
        )
        for each in spec.accelerators
        if remaining[each.accelerator_class.name] > 0
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
    Convert an engine for the bound; its transfer time counts as link time.
    """
    fleet_accelerators = {
        each.accelerator_class.name: each for each in spec.accelerators
    }[engine.kind]
    held = engine.held
    layer_ms = fleet_accelerators.accelerator_class.layer_ms
    return BoundEngine(
        name=engine.name,
        first_layer=held.held_first,
        last_layer=held.held_last,
        step_ms=layer_ms * (held.held_last - held.held_first + 1),
        slots=fleet_accelerators.slots,
        link_ms=engine.stage_ms - layer_ms * held.size,
    )
