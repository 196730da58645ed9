"""
Computes the effective settings of all nodes, with inheritance applied.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from mallowcrank.config.nodes import NodeValues, is_present, valid_values
from mallowcrank.config.schema import Scope, parse_range, scope_of
from mallowcrank.config.tree import Tree
from mallowcrank.config.workspaces import update_workspaces
from mallowcrank.view import ModelSettings, ServiceSettings, WorkspaceSettings

DEFAULT_LOG_RETENTION_S = 3600.0


@dataclass(frozen=True, slots=True)
class Placement:
    """
    The model or service, version and layers that a target must hold.

    :param fencing: whether the target checks fencing numbers: `checks`,
        `ignores` or `unstated`.
    :param first_layer: the first layer, or -1 if no layers are set.
    :param last_layer: the last layer, inclusive, or -1 if no layers are set.
    """

    target: str
    serves: str = ''
    version: str = ''
    first_layer: int = -1
    last_layer: int = -1
    fencing: str = 'unstated'


@dataclass(frozen=True, slots=True)
class Plan:
    """
    The replicas of a model or service, and how layers are split into stages.

    :param serves: the model's or service's name.
    :param ranges: the first and last layer of each stage, both inclusive.
    """

    serves: str
    replicas: int = 0
    ranges: tuple[tuple[int, int], ...] = ()


@dataclass(frozen=True)
class EffectiveSettings:
    """
    The effective settings of all nodes.

    :param version: the tree's version, or -1 if no record was accepted yet.
    :param workspaces: settings by `BRANCH/WORKSPACE`.
    :param retention_s: how long the platform's log keeps a record, in seconds.
    """

    version: int = -1
    models: Mapping[str, ModelSettings] = field(default_factory=dict)
    services: Mapping[str, ServiceSettings] = field(default_factory=dict)
    workspaces: Mapping[str, WorkspaceSettings] = field(default_factory=dict)
    plans: Mapping[str, Plan] = field(default_factory=dict)
    placements: Mapping[str, Placement] = field(default_factory=dict)
    retention_s: float = DEFAULT_LOG_RETENTION_S


def compute_effective(
    tree: Tree,
    previous: EffectiveSettings | None = None,
    previous_tree: Tree | None = None,
) -> EffectiveSettings:
    """
    Return the effective settings of a tree.

    :param previous: effective settings of an earlier tree; those that depend
        only on unchanged nodes are reused.
    :param previous_tree: the tree that `previous` was computed from.
    """
    if previous is None or previous_tree is None:
        return _update(tree, EffectiveSettings(), tuple(tree.nodes))
    changed_nodes = _find_changed_nodes(previous_tree, tree)
    return _update(tree, previous, changed_nodes)


def _find_changed_nodes(old_tree: Tree, new_tree: Tree) -> tuple[str, ...]:
    changed = [
        node
        for node, entries in new_tree.nodes.items()
        if old_tree.nodes.get(node) is not entries
    ]
    removed = [node for node in old_tree.nodes if node not in new_tree.nodes]
    return (*changed, *removed)


def _update(
    tree: Tree, previous: EffectiveSettings, changed_nodes: Iterable[str]
) -> EffectiveSettings:
    by_scope: dict[Scope, list[str]] = {scope: [] for scope in Scope}
    for node in changed_nodes:
        scope = scope_of(node)
        if scope is not None:
            by_scope[scope].append(node)
    return EffectiveSettings(
        version=tree.version,
        models=_rebuild(
            previous.models, tree, by_scope[Scope.MODEL], _build_model
        ),
        services=_rebuild(
            previous.services, tree, by_scope[Scope.SERVICE], _build_service
        ),
        workspaces=update_workspaces(previous.workspaces, tree, by_scope),
        plans=_rebuild(
            previous.plans,
            tree,
            (*by_scope[Scope.MODEL], *by_scope[Scope.SERVICE]),
            _build_plan,
        ),
        placements=_rebuild(
            previous.placements, tree, by_scope[Scope.TARGET], _build_placement
        ),
        retention_s=valid_values(tree, 'platform').get(
            'log_retention_s', DEFAULT_LOG_RETENTION_S
        ),
    )


def _rebuild(
    previous: Mapping[str, Any],
    tree: Tree,
    changed_nodes: Iterable[str],
    build: Any,
) -> Mapping[str, Any]:
    if not changed_nodes:
        return previous
    updated = dict(previous)
    for node in changed_nodes:
        name = node.partition('.')[2]
        updated.pop(name, None)
        built = build(name, valid_values(tree, node))
        if is_present(tree, node) and built is not None:
            updated[name] = built
    return updated


def _build_model(name: str, values: NodeValues) -> ModelSettings | None:
    if 'layers' not in values:
        return None
    return ModelSettings(
        name=name, **_select(values, ('layers', 'version', 'max_tokens'))
    )


def _build_service(name: str, values: NodeValues) -> ServiceSettings:
    names = ('repeatable', 'reserved', 'urgent', 'timeout_s', 'silence_s')
    return ServiceSettings(name=name, **_select(values, names))


def _build_plan(name: str, values: NodeValues) -> Plan:
    ranges = tuple(map(parse_range, values.get('plan', ())))
    return Plan(name, ranges=ranges, **_select(values, ('replicas',)))


def _build_placement(name: str, values: NodeValues) -> Placement:
    first, last = parse_range(values.get('layers')) or (-1, -1)
    return Placement(
        target=name,
        first_layer=first,
        last_layer=last,
        **_select(values, ('serves', 'version', 'fencing')),
    )


def _select(values: NodeValues, names: Iterable[str]) -> dict[str, Any]:
    return {name: values[name] for name in names if name in values}
