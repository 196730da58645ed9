"""
Formats a fleet's plan as text, as settings and as JSON data.
"""

from collections import Counter
from collections.abc import Iterator
from math import isfinite
from typing import Any

from mallowcrank.routing.fleet_plan import (
    FleetPlan,
    PlannedEngine,
    PlannedReplica,
    bound_without,
    engine_names,
)

NAME_WIDTH = 20
KIND_WIDTH = 14


def format_plan(plan: FleetPlan) -> str:
    """
    Format a plan as text.
    """
    return '\n'.join(_plan_lines(plan))


def format_settings(plan: FleetPlan) -> str:
    """
    Format the model's settings of a plan.

    The settings have a single list of layer ranges: the one that most replicas
    use. A comment states how many do if not all.
    """
    spec = plan.spec
    ranges, count = Counter(
        replica.ranges for replica in plan.replicas
    ).most_common(1)[0]
    quoted = ', '.join(f'"{each}"' for each in ranges)
    lines = [
        f'[models.{spec.model}]',
        f'layers = {spec.layers}',
        f'replicas = {len(plan.replicas)}',
        f'plan = [{quoted}]',
    ]
    if count < len(plan.replicas):
        lines.insert(
            0,
            f'# {count} of {len(plan.replicas)} replicas are split like this.',
        )
    return '\n'.join(lines)


def plain_plan(plan: FleetPlan) -> dict[str, Any]:
    """
    Return a plan as JSON-compatible data.
    """
    return {
        'model': plan.spec.model,
        'layers': plan.spec.layers,
        'tokens_per_s': round(plan.bound.tokens_per_s, 3),
        'token_ms': round(plan.bound.token_ms, 3),
        'full_streams': round(plan.bound.full_streams, 1),
        'limiting_layers': list(plan.bound.limiting_layers),
        'replicas': [_plain_replica(each) for each in plan.replicas],
        'spare': plan.spare,
        'after_loss': _losses(plan),
    }


def _plan_lines(plan: FleetPlan) -> Iterator[str]:
    spec, bound = plan.spec, plan.bound
    yield (
        f'{spec.model}: {spec.layers} layers, {len(plan.replicas)} replicas,'
        f' at most {bound.tokens_per_s:.1f} tokens a second over'
        f' {bound.full_streams:.0f} streams, {bound.token_ms:.2f} ms a token'
    )
    if spec.replicas > len(plan.replicas):
        yield f'only {len(plan.replicas)} of {spec.replicas} replicas fit'
    yield f'limited by layers {_joined(bound.limiting_layers)}'
    for number, replica in enumerate(plan.replicas):
        yield f'replica {number}: slowest stage {replica.slowest_ms:.2f} ms'
        yield from (f'  {_engine_line(engine)}' for engine in replica.engines)
    spare = ', '.join(f'{count} {kind}' for kind, count in plan.spare.items())
    yield f'spare: {spare or "none"}'
    yield _loss_line(plan)


def _loss_line(plan: FleetPlan) -> str:
    losses = _losses(plan)
    broken = ', '.join(name for name, left in losses.items() if not left)
    if broken:
        return f'no path is left without one of: {broken}'
    name = min(losses, key=losses.__getitem__)
    return (
        'a path is left after the loss of any one engine;'
        f' at worst {losses[name]:.1f} tokens a second, without {name}'
    )


def _engine_line(engine: PlannedEngine) -> str:
    held = engine.held
    cover = 'covered' if engine.has_cover else 'not covered in its replica'
    held_layers = held.held_last - held.held_first + 1
    return ' '.join(
        (
            engine.name.ljust(NAME_WIDTH),
            engine.kind.ljust(KIND_WIDTH),
            f'runs {held.first_layer}-{held.last_layer},',
            f'holds {held.held_first}-{held.held_last}',
            f'({held_layers} of {held.memory_layers} layers),',
            f'{engine.stage_ms:.2f} ms, {cover}',
        )
    )


def _plain_replica(replica: PlannedReplica) -> dict[str, Any]:
    return {
        'slowest_ms': round(replica.slowest_ms, 3),
        'engines': [_plain_engine(each) for each in replica.engines],
    }


def _plain_engine(engine: PlannedEngine) -> dict[str, Any]:
    held = engine.held
    return {
        'name': engine.name,
        'kind': engine.kind,
        'availability_zone': engine.availability_zone,
        'first_layer': held.first_layer,
        'last_layer': held.last_layer,
        'held_first': held.held_first,
        'held_last': held.held_last,
        'memory_layers': held.memory_layers,
        'stage_ms': round(engine.stage_ms, 3),
        'has_cover': engine.has_cover,
    }


def _losses(plan: FleetPlan) -> dict[str, float]:
    """
    Return tokens per second after the loss of each engine.

    The figure is 0 if no path is left.
    """
    bounds = {name: bound_without(plan, name) for name in engine_names(plan)}
    return {
        name: round(bound.tokens_per_s, 3) if isfinite(bound.token_ms) else 0
        for name, bound in bounds.items()
    }


def _joined(layers: tuple[int, ...]) -> str:
    if not layers:
        return 'none'
    return f'{layers[0]} to {layers[-1]}, {len(layers)} in all'
