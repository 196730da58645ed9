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
    Build a view out of a `snapshot`.

    :raises cattrs.BaseValidationError: when the shape is wrong.
    """
    return from_plain(message['view'], View)


def fold_snapshot(view: View, message: Mapping[str, Any]) -> View:
    """
    Take over a `snapshot`. Where its settings are older than those held, only
    its targets and peers are taken.

    :raises cattrs.BaseValidationError: when the shape is wrong.
    """
    given = read_snapshot(message)
    if given.version >= view.version:
        return given
    return replace(view, targets=given.targets, peers=given.peers)


def fold_change(view: View, message: Mapping[str, Any]) -> View:
    """
    Fold a `change` into a view. The settings' version never goes back.

    :raises cattrs.BaseValidationError: when the shape is wrong.
    """
    changed = {
        name: _fold(getattr(view, name), message, name)
        for name in KINDS
        if message.get(name) or name in (message.get('gone') or {})
    }
    version = max(view.version, message.get('version', view.version))
    return replace(view, version=version, **changed)


def _fold(
    known: Mapping[str, Any], message: Mapping[str, Any], name: str
) -> dict[str, Any]:
    entries = dict(known)
    for key, plain in (message.get(name) or {}).items():
        entries[key] = from_plain(plain, KINDS[name])
    for key in (message.get('gone') or {}).get(name, ()):
        entries.pop(key, None)
    return entries
