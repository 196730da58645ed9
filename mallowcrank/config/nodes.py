"""
Reads nodes of the tree according to this release's schema.

Unknown settings and settings with invalid values are ignored, as if they had
never been set.
"""

from collections.abc import Mapping
from typing import Any

from mallowcrank.config.schema import PRESENT, find_problem, scope_of
from mallowcrank.config.tree import EMPTY_MAPPING, Entries, Tree

NodeValues = Mapping[str, Any]


def valid_values(tree: Tree, node: str) -> NodeValues:
    """
    Return the values of a node that the schema allows, by setting name.
    """
    scope = scope_of(node)
    entries: Entries = tree.nodes.get(node, EMPTY_MAPPING)
    if scope is None:
        return EMPTY_MAPPING
    return {
        name: entry.value
        for name, entry in entries.items()
        if not find_problem(scope, name, entry.value)
    }


def is_present(tree: Tree, node: str) -> bool:
    """
    Return whether a node exists.
    """
    entry = tree.nodes.get(node, EMPTY_MAPPING).get(PRESENT)
    return entry is not None and entry.value is True


def workspace_name(node: str) -> str:
    """
    Return the name of a workspace, `BRANCH/WORKSPACE`, from its node's path.
    """
    _, branch, _, workspace = node.split('.')
    return f'{branch}/{workspace}'


def workspace_node(name: str) -> str:
    """
    Return the path of a workspace's node.

    :param name: `BRANCH/WORKSPACE`.
    """
    branch, _, workspace = name.partition('/')
    return f'branches.{branch}.workspaces.{workspace}'
