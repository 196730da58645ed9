"""
What differs between two views, by name, so that only that is applied.
"""

from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Any

from mallowcrank.view import View

NONE: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ViewChanges:
    """
    The names of entries that are new, changed or gone; others are the same.
    """

    targets: frozenset[str] = NONE
    models: frozenset[str] = NONE
    services: frozenset[str] = NONE
    workspaces: frozenset[str] = NONE
    peers: frozenset[str] = NONE


def compare_views(before: View, after: View) -> ViewChanges:
    """
    Find what differs between two whole views: O(entries).
    """
    return ViewChanges(
        **{
            field.name: _differing(
                getattr(before, field.name), getattr(after, field.name)
            )
            for field in fields(ViewChanges)
        }
    )


def named_changes(message: Mapping[str, Any]) -> ViewChanges:
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


def _differing(
    before: Mapping[str, Any], after: Mapping[str, Any]
) -> frozenset[str]:
    if before is after:
        return NONE
    changed = [
        name for name, entry in after.items() if before.get(name) is not entry
    ]
    return frozenset((*changed, *(before.keys() - after.keys())))
