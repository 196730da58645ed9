"""
Computes the effective settings of workspaces from their branch and the
organisation.
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
ChangedNodes = Mapping[Scope, list[str]]


def update_workspaces(
    previous: Workspaces, tree: Tree, changed_nodes: ChangedNodes
) -> Workspaces:
    """
    Return the effective settings of all workspaces.

    :param previous: effective settings of an earlier tree.
    :param changed_nodes: paths of nodes changed since that tree, by scope.
    """
    nodes = _find_affected_workspaces(tree, changed_nodes)
    if not nodes:
        return previous
    updated = dict(previous)
    root = valid_values(tree, Scope.ORGANISATION)
    branches: dict[str, NodeValues | None] = {}
    for node in nodes:
        branch = node.split('.')[1]
        if branch not in branches:
            branches[branch] = _branch_values(tree, branch)
        built = _build_workspace(tree, node, root, branches[branch])
        name = workspace_name(node)
        updated.pop(name, None)
        if built is not None:
            updated[name] = built
    return updated


def _find_affected_workspaces(
    tree: Tree, changed_nodes: ChangedNodes
) -> Iterable[str]:
    """
    Return the nodes of workspaces that depend on changed nodes.
    """
    all_affected = bool(changed_nodes[Scope.ORGANISATION])
    branches = {node.split('.')[1] for node in changed_nodes[Scope.BRANCH]}
    nodes = set(changed_nodes[Scope.WORKSPACE])
    if not all_affected and not branches:
        return nodes
    for node in tree.nodes:
        if scope_of(node) is not Scope.WORKSPACE:
            continue
        if all_affected or node.split('.')[1] in branches:
            nodes.add(node)
    return nodes


def _branch_values(tree: Tree, branch: str) -> NodeValues | None:
    node = f'branches.{branch}'
    return valid_values(tree, node) if is_present(tree, node) else None


def _build_workspace(
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
