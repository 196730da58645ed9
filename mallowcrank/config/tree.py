"""
The settings tree, as folded from the log.

A setting's path is its dotted TOML key, such as
`branches.shah-alam.workspaces.counter.streams`. The part before the last dot
is the path of its node.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from mallowcrank.config.outcomes import Outcome

NO_VERSION = -1  # a setting or tree that was never written

Entries = Mapping[str, 'Entry']
EMPTY_MAPPING: Mapping[str, Any] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Entry:
    """
    The value and version of one setting.

    :param value: a scalar, a list of scalars, or `None` if it was removed.
    :param version: the offset of the record that wrote it.
    :param record: the id of that record.
    """

    value: Any
    version: int
    record: str


@dataclass(frozen=True)
class Tree:
    """
    All settings at one offset of the log.

    :param version: the offset of the last accepted record.
    :param last: the offset of the last folded record, accepted or not.
    :param through: no record up to this offset is missing.
    :param floor: changes whose `read` is below this offset are stale.
    :param nodes: settings by node and by name.
    :param removed: removed settings by path, oldest first; their versions are
        still needed to detect conflicts.
    :param outcomes: outcomes of the latest records, oldest first.
    """

    version: int = NO_VERSION
    last: int = NO_VERSION
    through: int = NO_VERSION
    floor: int = NO_VERSION
    nodes: Mapping[str, Entries] = field(default_factory=dict)
    removed: Entries = field(default_factory=dict)
    outcomes: tuple[Outcome, ...] = ()


def split_path(path: str) -> tuple[str, str]:
    """
    Split a setting's path into its node and its name.
    """
    node, _, name = path.rpartition('.')
    return node, name


def find_entry(tree: Tree, path: str) -> Entry | None:
    """
    Return a setting, even if it was removed.

    :returns: `None` if it was never written, or its removal has expired.
    """
    node, name = split_path(path)
    entry = tree.nodes.get(node, EMPTY_MAPPING).get(name)
    return entry or tree.removed.get(path)


def version_of(tree: Tree, path: str) -> int:
    """
    Return the version of a setting, or `NO_VERSION` if it has none.
    """
    entry = find_entry(tree, path)
    return NO_VERSION if entry is None else entry.version


def iter_settings(tree: Tree) -> Iterator[tuple[str, Entry]]:
    """
    Yield the path and entry of each setting.
    """
    for node, entries in tree.nodes.items():
        for name, entry in entries.items():
            yield f'{node}.{name}', entry


def find_outcome(tree: Tree, record_id: str) -> Outcome | None:
    """
    Return the outcome of a recent record, or `None` if it is not known.
    """
    for outcome in reversed(tree.outcomes):
        if outcome.record == record_id:
            return outcome
    return None
