"""
Effective settings of workspaces, by inheritance.
"""

from collections.abc import Iterable, Mapping

from mallowcrank.config.nodes import (
    NodeValues,
    is_present,
    valid_values,
    workspace_name,
)
from mallowcrank.config.schema import PRESENT, Scope, scope_of
from mallowcrank.config.tree import Tree
from mallowcrank.view import WorkspaceSettings

Workspaces = Mapping[str, WorkspaceSettings]
Touched = Mapping[Scope, list[str]]


def update_workspaces(
    previous: Workspaces, tree: Tree, touched: Touched
) -> Workspaces:
    """
    Return the effective settings of all workspaces.

    :param previous: those of an earlier tree.
    :param touched: nodes that have changed since, by scope.
    """
    nodes = _workspace_nodes(tree, touched)
    if not nodes:
        return previous
    updated = dict(previous)
    root = valid_values(tree, Scope.ORGANISATION)
    branches: dict[str, NodeValues | None] = {}
    for node in nodes:
        branch = node.split('.')[1]
        if branch not in branches:
            branches[branch] = _branch(tree, branch)
        made = _workspace(tree, node, root, branches[branch])
        name = workspace_name(node)
        updated.pop(name, None)
        if made is not None:
            updated[name] = made
    return updated


def _workspace_nodes(tree: Tree, touched: Touched) -> Iterable[str]:
    """
    Return the workspaces that rest on touched nodes.
    """
    everywhere = bool(touched[Scope.ORGANISATION])
    branches = {node.split('.')[1] for node in touched[Scope.BRANCH]}
    nodes = set(touched[Scope.WORKSPACE])
    if not everywhere and not branches:
        return nodes
    for node in tree.nodes:
        if scope_of(node) is not Scope.WORKSPACE:
            continue
        if everywhere or node.split('.')[1] in branches:
            nodes.add(node)
    return nodes


def _branch(tree: Tree, branch: str) -> NodeValues | None:
    node = f'branches.{branch}'
    return valid_values(tree, node) if is_present(tree, node) else None


def _workspace(
    tree: Tree, node: str, root: NodeValues, branch: NodeValues | None
) -> WorkspaceSettings | None:
    if branch is None or not is_present(tree, node):
        return None
    own = valid_values(tree, node)
    merged = {**root, **branch, 'share': 1, **own}
    merged.pop(PRESENT, None)
    merged['branch_share'] = branch.get('share', 1)
    for names in ('models', 'services'):
        merged[names] = tuple(merged.get(names, ()))
    return WorkspaceSettings(
        name=workspace_name(node), branch=node.split('.')[1], **merged
    )
