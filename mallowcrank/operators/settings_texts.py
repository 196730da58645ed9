"""
Formats settings, changes and outcomes as text.
"""

import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from mallowcrank.config.difference import Difference
from mallowcrank.config.outcomes import Outcome
from mallowcrank.config.schema import PRESENT, Scope
from mallowcrank.config.tree import EMPTY_MAPPING, Tree, find_entry
from mallowcrank.operators.waiting import Lag


def format_tree(tree: Tree) -> str:
    """
    Format settings as a file that can be edited and published.
    """
    lines = [f'base = {tree.version}']
    for node in sorted(tree.nodes):
        lines.extend(('', f'[{node}]'))
        lines.extend(
            f'{name} = {to_toml(entry.value)}'
            for name, entry in sorted(tree.nodes[node].items())
            if name != PRESENT
        )
    return '\n'.join(lines)


def to_toml(value: Any) -> str:
    """
    Format a scalar or a list of scalars as TOML.
    """
    return json.dumps(value, ensure_ascii=False)


def format_difference(difference: Difference) -> str:
    """
    Format a difference with one line per change.
    """
    if not difference.changes:
        return 'no changes'
    return '\n'.join(_change_lines(difference))


def _change_lines(difference: Difference) -> Iterator[str]:
    before = difference.old_values or EMPTY_MAPPING
    for change in sorted(difference.changes, key=lambda each: each.setting):
        old = before.get(change.setting)
        if change.value is None:
            yield f'- {change.setting} = {to_toml(old)}'
        elif old is None:
            yield f'+ {change.setting} = {to_toml(change.value)}'
        else:
            yield (
                f'~ {change.setting} = {to_toml(old)}'
                f' -> {to_toml(change.value)}'
            )


def format_outcome(outcome: Outcome) -> str:
    """
    Format a record's outcome; each conflict is on a line of its own.
    """
    columns = [f'{outcome.offset:>8}', f'{outcome.verdict:<9}', outcome.record]
    if outcome.changed:
        columns.append(f'{outcome.changed} settings')
    columns.extend(filter(None, (outcome.author, outcome.note, outcome.reason)))
    lines = [' '.join(columns)]
    lines.extend(
        f'         {each.setting}: {each.winner or "another record"} won '
        f'at offset {each.version}'
        for each in outcome.conflicts
    )
    return '\n'.join(lines)


def format_lags(lags: Iterable[Lag]) -> str:
    """
    Format lags with one line per router or agent.
    """
    lines: list[str] = []
    for lag in lags:
        state = 'is unknown' if lag.version is None else f'has {lag.version}'
        lines.append(f'{lag.name} {state} {lag.reason}'.rstrip())
    return '\n'.join(lines)


def format_effective(tree: Tree, node: str, values: Mapping[str, Any]) -> str:
    """
    Format a workspace's effective settings, each with its source.
    """
    lines = []
    for name, value in values.items():
        source = find_source(tree, node, name)
        lines.append(f'{name} = {to_toml(value)}  # {source}')
    return '\n'.join(lines)


def find_source(tree: Tree, node: str, name: str) -> str:
    """
    Return the node and version that a workspace's setting comes from.
    """
    branch = '.'.join(node.split('.')[:2])
    sources = {
        'name': (),
        'branch': (),
        'branch_share': (f'{branch}.share',),
        'share': (f'{node}.share',),
    }
    nodes = (node, branch, str(Scope.ORGANISATION))
    paths = sources.get(name, tuple(f'{each}.{name}' for each in nodes))
    for path in paths:
        entry = find_entry(tree, path)
        if entry is not None and entry.value is not None:
            return f'{path.rpartition(".")[0]}, version {entry.version}'
    return 'default' if paths else 'its path'
