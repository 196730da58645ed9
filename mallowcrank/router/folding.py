"""
Folds the agent's messages into the router's view, as pure functions.
"""

from collections.abc import Mapping
from dataclasses import replace
from types import MappingProxyType
from typing import Any

from mallowcrank.codec import from_plain
from mallowcrank.view import (
    ModelSettings,
    Peer,
    ServiceSettings,
    Target,
    View,
    WorkspaceSettings,
)

KINDS = MappingProxyType(
    {
        'targets': Target,
        'models': ModelSettings,
        'services': ServiceSettings,
        'workspaces': WorkspaceSettings,
        'peers': Peer,
    }
)


def read_snapshot(message: Mapping[str, Any]) -> View:
    """
    Return the view that a `snapshot` holds.

    :raises cattrs.BaseValidationError: when the message is malformed.
    """
    return from_plain(message['view'], View)


def fold_snapshot(view: View, message: Mapping[str, Any]) -> View:
    """
    Apply a `snapshot` to a view. If its settings are older than the view's,
    only its targets and peers are applied.

    :raises cattrs.BaseValidationError: when the message is malformed.
    """
    snapshot = read_snapshot(message)
    if snapshot.version >= view.version:
        return snapshot
    return replace(view, targets=snapshot.targets, peers=snapshot.peers)


def fold_change(view: View, message: Mapping[str, Any]) -> View:
    """
    Apply a `change` to a view. The version of the settings never goes back.

    :raises cattrs.BaseValidationError: when the message is malformed.
    """
    changed = {
        name: _fold(getattr(view, name), message, name)
        for name in KINDS
        if message.get(name) or name in (message.get('gone') or {})
    }
    version = max(view.version, message.get('version', view.version))
    return replace(view, version=version, **changed)


def _fold(
    current: Mapping[str, Any], message: Mapping[str, Any], name: str
) -> dict[str, Any]:
    entries = dict(current)
    for key, plain in (message.get(name) or {}).items():
        entries[key] = from_plain(plain, KINDS[name])
    for key in (message.get('gone') or {}).get(name, ()):
        entries.pop(key, None)
    return entries
