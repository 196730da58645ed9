"""
Effective settings: what follows from the tree by inheritance.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from mallowcrank.config.nodes import NodeValues, is_present, valid_values
from mallowcrank.config.schema import Scope, parse_range, scope_of
from mallowcrank.config.tree import Tree
from mallowcrank.config.workspaces import update_workspaces
from mallowcrank.view import ModelSettings, ServiceSettings, WorkspaceSettings

DEFAULT_LOG_RETENTION_S = 3600.0  # of the platform's log


@dataclass(frozen=True, slots=True)
class Placement:
    """
    What one target must hold.

    :param fencing: whether it checks fencing numbers: `checks`, `ignores` or
        `unstated`.
    :param first_layer: the first layer, or -1 where none is set.
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
    How a model's or service's replicas are laid out.

    :param ranges: the layers of each stage, both ends inclusive.
    """

    serves: str
    replicas: int = 0
    ranges: tuple[tuple[int, int], ...] = ()


@dataclass(frozen=True)
class EffectiveSettings:
    """
    The effective settings of all nodes.

    :param version: the tree's version.
    :param workspaces: by `BRANCH/WORKSPACE`.
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

    :param previous: those of an earlier tree: what rests on nodes that have
        not changed since is taken over.
    :param previous_tree: that earlier tree.
    """
    if previous is None or previous_tree is None:
        return _work_out(tree, EffectiveSettings(), tuple(tree.nodes))
    touched = _touched(previous_tree, tree)
    return _work_out(tree, previous, touched)


def _touched(before: Tree, after: Tree) -> tuple[str, ...]:
    changed = [
        node
        for node, entries in after.nodes.items()
        if before.nodes.get(node) is not entries
    ]
    gone = [node for node in before.nodes if node not in after.nodes]
    return (*changed, *gone)


def _work_out(
    tree: Tree, previous: EffectiveSettings, touched: Iterable[str]
) -> EffectiveSettings:
    by_scope: dict[Scope, list[str]] = {scope: [] for scope in Scope}
    for node in touched:
        scope = scope_of(node)
        if scope is not None:
            by_scope[scope].append(node)
    return EffectiveSettings(
        version=tree.version,
        models=_updated(previous.models, tree, by_scope[Scope.MODEL], _model),
        services=_updated(
            previous.services, tree, by_scope[Scope.SERVICE], _service
        ),
        workspaces=update_workspaces(previous.workspaces, tree, by_scope),
        plans=_updated(
            previous.plans,
            tree,
            (*by_scope[Scope.MODEL], *by_scope[Scope.SERVICE]),
            _plan,
        ),
        placements=_updated(
            previous.placements, tree, by_scope[Scope.TARGET], _placement
        ),
        retention_s=valid_values(tree, 'platform').get(
            'log_retention_s', DEFAULT_LOG_RETENTION_S
        ),
    )


def _updated(
    previous: Mapping[str, Any], tree: Tree, touched: Iterable[str], make: Any
) -> Mapping[str, Any]:
    if not touched:
        return previous
    updated = dict(previous)
    for node in touched:
        name = node.partition('.')[2]
        updated.pop(name, None)
        made = make(name, valid_values(tree, node))
        if is_present(tree, node) and made is not None:
            updated[name] = made
    return updated


def _model(name: str, node: NodeValues) -> ModelSettings | None:
    if 'layers' not in node:
        return None
    return ModelSettings(
        name=name, **_select(node, ('layers', 'version', 'max_tokens'))
    )


def _service(name: str, node: NodeValues) -> ServiceSettings:
    known = ('repeatable', 'reserved', 'urgent', 'timeout_s', 'silence_s')
    return ServiceSettings(name=name, **_select(node, known))


def _plan(name: str, node: NodeValues) -> Plan:
    ranges = tuple(map(parse_range, node.get('plan', ())))
    return Plan(name, ranges=ranges, **_select(node, ('replicas',)))


def _placement(name: str, node: NodeValues) -> Placement:
    first, last = parse_range(node.get('layers')) or (-1, -1)
    return Placement(
        target=name,
        first_layer=first,
        last_layer=last,
        **_select(node, ('serves', 'version', 'fencing')),
    )


def _select(node: NodeValues, names: Iterable[str]) -> dict[str, Any]:
    return {name: node[name] for name in names if name in node}
