"""
Computes how a draft differs from the settings in force.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from mallowcrank.config.files import Draft
from mallowcrank.config.outcomes import Conflict
from mallowcrank.config.records import Change
from mallowcrank.config.tree import (
    NO_VERSION,
    Entry,
    Tree,
    find_entry,
    iter_settings,
    version_of,
)


@dataclass(frozen=True)
class Difference:
    """
    The changes that a draft makes to the settings in force.

    :param old_values: current values of changed settings that exist, by path.
    :param conflicts: settings that another record changed after the draft's
        base version.
    """

    changes: tuple[Change, ...] = ()
    old_values: Mapping[str, Any] | None = None
    conflicts: tuple[Conflict, ...] = ()


def find_difference(tree: Tree, draft: Draft, *, whole: bool) -> Difference:
    """
    Return the changes that a draft requests.

    :param whole: whether settings that the draft doesn't list are removed.
    """
    current = dict(iter_settings(tree))
    changes = (
        *_find_writes(tree, current, draft),
        *_find_removals(current, draft, whole=whole),
    )
    return Difference(
        changes=changes,
        old_values={
            change.setting: current[change.setting].value
            for change in changes
            if change.setting in current
        },
        conflicts=tuple(_find_conflicts(tree, changes, draft.base)),
    )


def values_after(tree: Tree, difference: Difference) -> dict[str, Any]:
    """
    Return all values by path, with the changes of a difference applied.
    """
    values = {path: entry.value for path, entry in iter_settings(tree)}
    for change in difference.changes:
        if change.value is None:
            values.pop(change.setting, None)
        else:
            values[change.setting] = change.value
    return values


def _find_writes(
    tree: Tree, current: Mapping[str, Entry], draft: Draft
) -> Iterator[Change]:
    for path, value in draft.settings.items():
        entry = current.get(path)
        if entry is None or not _are_equal(entry.value, value):
            yield Change(path, version_of(tree, path), value)


def _find_removals(
    current: Mapping[str, Entry], draft: Draft, *, whole: bool
) -> Iterator[Change]:
    for path, entry in current.items():
        if path in draft.settings:
            continue
        if whole or any(_covers(prefix, path) for prefix in draft.unset):
            yield Change(path, entry.version, None)


def _covers(prefix: str, path: str) -> bool:
    return path == prefix or path.startswith(f'{prefix}.')


def _are_equal(old: Any, new: Any) -> bool:
    """
    Return whether two values are equal.

    A list equals a tuple with the same items, but `1` doesn't equal `true`.
    """
    if isinstance(old, list | tuple):
        return isinstance(new, list | tuple) and list(old) == list(new)
    return old == new and isinstance(old, bool) == isinstance(new, bool)


def _find_conflicts(
    tree: Tree, changes: tuple[Change, ...], base: int | None
) -> Iterator[Conflict]:
    for change in changes:
        entry = find_entry(tree, change.setting)
        version = NO_VERSION if entry is None else entry.version
        if base is not None and version > base:
            yield Conflict(change.setting, version, entry.record)
