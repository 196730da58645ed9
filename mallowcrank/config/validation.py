"""
Checks of a whole tree: settings that point at one another must agree.
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from mallowcrank.config.schema import (
    PRESENT,
    SCHEMA,
    Scope,
    parse_range,
    scope_of,
)
from mallowcrank.config.tree import split_path
from mallowcrank.findings import Finding

Nodes = Mapping[str, Mapping[str, Any]]


def check_tree(
    settings: Mapping[str, Any], locations: Mapping[str, str]
) -> tuple[Finding, ...]:
    """
    Return all findings about settings as they would be in force.

    :param settings: values by path.
    :param locations: `FILE:LINE` by path, for settings that a file gives.
    """
    nodes: dict[str, dict[str, Any]] = {}
    for path, value in settings.items():
        node, name = split_path(path)
        nodes.setdefault(node, {})[name] = value
    found: list[Finding] = []
    for node in nodes:
        for check in _CHECKS:
            found.extend(
                _finding(problem, locations) for problem in check(node, nodes)
            )
    return tuple(found)


@dataclass(frozen=True, slots=True)
class Problem:
    """
    What is wrong at a path.
    """

    path: str
    text: str
    advice: str


def _finding(problem: Problem, places: Mapping[str, str]) -> Finding:
    path = problem.path
    place = places.get(path) or places.get(f'{path}.{PRESENT}')
    if place is None:
        return Finding(path, problem.text, problem.advice)
    return Finding(place, f'{path}: {problem.text}', problem.advice)


Problems = Iterator[Problem]


def _check_required(node: str, nodes: Nodes) -> Problems:
    scope = scope_of(node)
    if scope is None or PRESENT not in nodes[node]:
        return
    for name, setting in SCHEMA[scope].items():
        if setting.required and name not in nodes[node]:
            advice = f'give {setting.kind}'
            yield Problem(node, f'{name} is missing', advice)


def _check_parent(node: str, nodes: Nodes) -> Problems:
    if PRESENT not in nodes[node]:
        problem = 'it was removed, but not all of it'
        yield Problem(node, problem, 'unset it whole')
    branch = '.'.join(node.split('.')[:2])
    if scope_of(node) is Scope.WORKSPACE and branch not in nodes:
        problem = f'its branch {branch} does not exist'
        yield Problem(node, problem, 'add the branch')


def _check_names(node: str, nodes: Nodes) -> Problems:
    for kind in ('models', 'services'):
        for name in nodes[node].get(kind, ()):
            if f'{kind}.{name}' not in nodes:
                yield Problem(
                    f'{node}.{kind}',
                    f'{name!r} is not among the {kind}',
                    f'add [{kind}.{name}]',
                )


def _check_target(node: str, nodes: Nodes) -> Problems:
    if scope_of(node) is not Scope.TARGET:
        return
    serves = nodes[node].get('serves')
    known = nodes.keys() & {f'models.{serves}', f'services.{serves}'}
    if serves is not None and not known:
        yield Problem(
            f'{node}.serves',
            f'there is no model or service {serves!r}',
            f'add [models.{serves}] or [services.{serves}]',
        )
    layers = nodes.get(f'models.{serves}', {}).get('layers')
    held = parse_range(nodes[node].get('layers'))
    if held and layers and held[1] >= layers:
        problem = f'the model has no layer {held[1]}'
        yield Problem(f'{node}.layers', problem, f'end at {layers - 1}')


def _check_plan(node: str, nodes: Nodes) -> Problems:
    plan = nodes[node].get('plan')
    if plan is None or scope_of(node) is not Scope.MODEL:
        return
    problem = find_plan_problem(plan, nodes[node].get('layers', 0))
    if problem:
        yield Problem(f'{node}.plan', problem, 'cover all layers in order')


def find_plan_problem(plan: Any, layers: int) -> str:
    """
    Return why a layer plan does not cover a model, or an empty string.
    """
    reached = -1
    for text in plan:
        first, last = parse_range(text) or (0, -1)
        if first > reached + 1:
            return f'layers {reached + 1}-{first - 1} are in no range'
        reached = max(reached, last)
    if reached != layers - 1:
        return f'it ends at layer {reached} and the model at {layers - 1}'
    return ''


_CHECKS: tuple[Callable[[str, Nodes], Problems], ...] = (
    _check_required,
    _check_parent,
    _check_names,
    _check_target,
    _check_plan,
)
