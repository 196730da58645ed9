"""
Checks a whole tree: settings that refer to each other must be consistent.
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
    Return all findings about a complete set of settings.

    :param settings: values by path.
    :param locations: `FILE:LINE` by path, for settings that a file contains.
    """
    nodes: dict[str, dict[str, Any]] = {}
    for path, value in settings.items():
        node, name = split_path(path)
        nodes.setdefault(node, {})[name] = value
    findings: list[Finding] = []
    for node in nodes:
        for check in _CHECKS:
            findings.extend(
                _make_finding(problem, locations)
                for problem in check(node, nodes)
            )
    return tuple(findings)


@dataclass(frozen=True, slots=True)
class Problem:
    """
    An inconsistency at a path.

    :param text: what is wrong, as a short sentence.
    :param advice: how to correct it.
    """

    path: str
    text: str
    advice: str


def _make_finding(problem: Problem, locations: Mapping[str, str]) -> Finding:
    path = problem.path
    location = locations.get(path) or locations.get(f'{path}.{PRESENT}')
    if location is None:
        return Finding(path, problem.text, problem.advice)
    return Finding(location, f'{path}: {problem.text}', problem.advice)


Problems = Iterator[Problem]


def _check_required(node: str, nodes: Nodes) -> Problems:
    scope = scope_of(node)
    if scope is None or PRESENT not in nodes[node]:
        return
    for name, setting in SCHEMA[scope].items():
        if setting.required and name not in nodes[node]:
            advice = f'set it to {setting.kind}'
            yield Problem(node, f'{name} is missing', advice)


def _check_parent(node: str, nodes: Nodes) -> Problems:
    if PRESENT not in nodes[node]:
        problem = 'it was removed, but some of its settings were not'
        yield Problem(node, problem, 'unset the whole node')
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
    served = nodes.keys() & {f'models.{serves}', f'services.{serves}'}
    if serves is not None and not served:
        yield Problem(
            f'{node}.serves',
            f'unknown model or service {serves!r}',
            f'add [models.{serves}] or [services.{serves}]',
        )
    layers = nodes.get(f'models.{serves}', {}).get('layers')
    layer_range = parse_range(nodes[node].get('layers'))
    if layer_range and layers and layer_range[1] >= layers:
        problem = f'the model has no layer {layer_range[1]}'
        yield Problem(
            f'{node}.layers', problem, f'end the range at layer {layers - 1}'
        )


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

    :param plan: ranges of layers in order, such as `["0-11", "12-23"]`.
    :param layers: the number of layers of the model.
    """
    covered = -1
    for text in plan:
        first, last = parse_range(text) or (0, -1)
        if first > covered + 1:
            return f'layers {covered + 1}-{first - 1} are not covered'
        covered = max(covered, last)
    if covered != layers - 1:
        return f'it ends at layer {covered}, the model at layer {layers - 1}'
    return ''


_CHECKS: tuple[Callable[[str, Nodes], Problems], ...] = (
    _check_required,
    _check_parent,
    _check_names,
    _check_target,
    _check_plan,
)
