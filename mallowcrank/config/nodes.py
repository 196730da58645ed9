"""
One node of the tree, as a reader that knows the schema sees it.

A setting that the reader does not know, or whose value it can't use, counts
as not written.
"""

from collections.abc import Mapping
from typing import Any

from mallowcrank.config.schema import PRESENT, find_problem, scope_of
from mallowcrank.config.tree import EMPTY_MAPPING, Entries, Tree

NodeValues = Mapping[str, Any]


def valid_values(tree: Tree, node: str) -> NodeValues:
    """
    Return a node's values that the schema allows, by name.
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
    Tell whether a node exists.
    """
    entry = tree.nodes.get(node, EMPTY_MAPPING).get(PRESENT)
    return entry is not None and entry.value is True


def workspace_name(node: str) -> str:
    """
    Return `BRANCH/WORKSPACE` of a workspace's node.
    """
    _, branch, _, workspace = node.split('.')
    return f'{branch}/{workspace}'


def workspace_node(name: str) -> str:
    """
    Return the node of `BRANCH/WORKSPACE`.
    """
    branch, _, workspace = name.partition('/')
    return f'branches.{branch}.workspaces.{workspace}'
