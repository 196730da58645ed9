"""
Differences between two views, as `change` messages of the feed.
"""

from collections.abc import Mapping
from typing import Any

from mallowcrank.codec import to_plain
from mallowcrank.view import View

MEMBER_FIELDS = ('targets', 'peers')
VIEW_FIELDS = ('targets', 'models', 'services', 'workspaces', 'peers')


def find_changes(before: View, after: View) -> dict[str, Any]:
    """
    Return a `change` message, or an empty dict if nothing changed.
    """
    changes: dict[str, Any] = {}
    gone: dict[str, list[str]] = {}
    for name in VIEW_FIELDS:
        old, new = getattr(before, name), getattr(after, name)
        if old is new:
            continue
        changed = _changed_entries(old, new)
        if changed:
            changes[name] = to_plain(changed)
        removed = [key for key in old if key not in new]
        if removed:
            gone[name] = removed
    if not changes and not gone and before.version == after.version:
        return {}
    return {
        'type': 'change',
        'version': after.version,
        **changes,
        'gone': gone,
    }


def without_settings(changes: Mapping[str, Any]) -> dict[str, Any]:
    """
    Return a `change` message reduced to its targets and peers.
    """
    gone = changes.get('gone', {})
    return {
        'type': 'change',
        **{name: changes[name] for name in MEMBER_FIELDS if name in changes},
        'gone': {name: gone[name] for name in MEMBER_FIELDS if name in gone},
    }


def _changed_entries(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> dict[str, Any]:
    return {
        key: entry
        for key, entry in new.items()
        if (known := old.get(key)) is not entry and known != entry
    }
