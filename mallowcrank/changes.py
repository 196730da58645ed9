"""
The differences between two views, so that only those are applied.
"""

from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Any

from mallowcrank.view import View

NO_NAMES: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ViewChanges:
    """
    The names of entries that were added, changed or removed.
    """

    targets: frozenset[str] = NO_NAMES
    models: frozenset[str] = NO_NAMES
    services: frozenset[str] = NO_NAMES
    workspaces: frozenset[str] = NO_NAMES
    peers: frozenset[str] = NO_NAMES


def compare_views(before: View, after: View) -> ViewChanges:
    """
    Compare two complete views, in O(entries).
    """
    return ViewChanges(
        **{
            field.name: _changed_names(
                getattr(before, field.name), getattr(after, field.name)
            )
            for field in fields(ViewChanges)
        }
    )


def parse_changes(message: Mapping[str, Any]) -> ViewChanges:
    """
    Read the changes from a `change` message of the feed, in O(changes).

    :param message: the message, with removed names by kind under `gone`.
    """
    removed = message.get('gone') or {}
    return ViewChanges(
        **{
            field.name: frozenset(
                (*message.get(field.name, ()), *removed.get(field.name, ()))
            )
            for field in fields(ViewChanges)
        }
    )


def _changed_names(
    before: Mapping[str, Any], after: Mapping[str, Any]
) -> frozenset[str]:
    if before is after:
        return NO_NAMES
    changed = [
        name for name, entry in after.items() if before.get(name) is not entry
    ]
    return frozenset((*changed, *(before.keys() - after.keys())))
