"""
The difference between a draft and the settings in force.
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
    What a draft would change.

    :param old_values: the present values by path, where there are any.
    :param conflicts: settings that others changed after the draft's base.
    """

    changes: tuple[Change, ...] = ()
    old_values: Mapping[str, Any] | None = None
    conflicts: tuple[Conflict, ...] = ()


def find_difference(tree: Tree, draft: Draft, *, whole: bool) -> Difference:
    """
    Return the changes that a draft asks for.

    :param whole: whether what the draft doesn't name is removed.
    """
    present = dict(iter_settings(tree))
    changes = (
        *_written(tree, present, draft),
        *_removed(present, draft, whole=whole),
    )
    return Difference(
        changes=changes,
        old_values={
            change.setting: present[change.setting].value
            for change in changes
            if change.setting in present
        },
        conflicts=tuple(_newer(tree, changes, draft.base)),
    )


def values_after(tree: Tree, difference: Difference) -> dict[str, Any]:
    """
    Return all values by path as they would be after a difference.
    """
    values = {path: entry.value for path, entry in iter_settings(tree)}
    for change in difference.changes:
        if change.value is None:
            values.pop(change.setting, None)
        else:
            values[change.setting] = change.value
    return values


def _written(
    tree: Tree, present: Mapping[str, Entry], draft: Draft
) -> Iterator[Change]:
    for path, value in draft.settings.items():
        known = present.get(path)
        if known is None or not _is_same(known.value, value):
            yield Change(path, version_of(tree, path), value)


def _removed(
    present: Mapping[str, Entry], draft: Draft, *, whole: bool
) -> Iterator[Change]:
    for path, entry in present.items():
        if path in draft.settings:
            continue
        if whole or any(_covers(each, path) for each in draft.unset):
            yield Change(path, entry.version, None)


def _covers(unset: str, path: str) -> bool:
    return path == unset or path.startswith(f'{unset}.')


def _is_same(known: Any, value: Any) -> bool:
    """
    Compare values; `1` and `true` are not the same, a list and a tuple are.
    """
    if isinstance(known, list | tuple):
        return isinstance(value, list | tuple) and list(known) == list(value)
    return known == value and isinstance(known, bool) == isinstance(value, bool)


def _newer(
    tree: Tree, changes: tuple[Change, ...], base: int | None
) -> Iterator[Conflict]:
    for change in changes:
        entry = find_entry(tree, change.setting)
        version = NO_VERSION if entry is None else entry.version
        if base is not None and version > base:
            yield Conflict(change.setting, version, entry.record)
