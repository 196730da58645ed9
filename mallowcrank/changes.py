"""
What differs between two views, by name, so that only that is applied.
"""

from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Any

from mallowcrank.view import View

NO_NAMES: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ViewChanges:
    """
    The names of entries that are new, changed or gone; others are the same.
    """

    targets: frozenset[str] = NO_NAMES
    models: frozenset[str] = NO_NAMES
    services: frozenset[str] = NO_NAMES
    workspaces: frozenset[str] = NO_NAMES
    peers: frozenset[str] = NO_NAMES


def compare_views(before: View, after: View) -> ViewChanges:
    """
    Find what differs between two whole views: O(entries).
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
    Return what a `change` of the feed names: O(changed entries).
    """
    gone = message.get('gone') or {}
    return ViewChanges(
        **{
            field.name: frozenset(
                (*message.get(field.name, ()), *gone.get(field.name, ()))
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
