"""
The tree of settings, as folded from the log.

A setting's path is that of its TOML key, such as
`branches.shah-alam.workspaces.counter.streams`. The part before the last dot
names its node.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from mallowcrank.config.outcomes import Outcome

NO_VERSION = -1  # of a setting or tree that was never written

Entries = Mapping[str, 'Entry']
EMPTY_MAPPING: Mapping[str, Any] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Entry:
    """
    One setting.

    :param value: a scalar, a list of them, or `None` once it was removed.
    :param version: the offset of the record that wrote it.
    :param record: that record's id.
    """

    value: Any
    version: int
    record: str


@dataclass(frozen=True)
class Tree:
    """
    All settings at one point of the log.

    :param version: the offset of the last accepted record.
    :param last: the offset of the last folded record, accepted or not.
    :param through: no record up to this offset is missing.
    :param floor: a record whose writer had read less far is too old.
    :param nodes: the settings, by node and by name.
    :param removed: removed settings by path, the oldest first; kept so that
        their versions are not forgotten.
    :param outcomes: what became of the latest records, the oldest first.
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
    Return a setting, a removed one too, or `None` if it was never written.
    """
    node, name = split_path(path)
    found = tree.nodes.get(node, EMPTY_MAPPING).get(name)
    return found or tree.removed.get(path)


def version_of(tree: Tree, path: str) -> int:
    """
    Return the version of a setting.
    """
    found = find_entry(tree, path)
    return NO_VERSION if found is None else found.version


def iter_settings(tree: Tree) -> Iterator[tuple[str, Entry]]:
    """
    Yield all settings with their paths.
    """
    for node, entries in tree.nodes.items():
        for name, entry in entries.items():
            yield f'{node}.{name}', entry


def find_outcome(tree: Tree, record_id: str) -> Outcome | None:
    """
    Return what became of a recent record, by its id.
    """
    for outcome in reversed(tree.outcomes):
        if outcome.record == record_id:
            return outcome
    return None
