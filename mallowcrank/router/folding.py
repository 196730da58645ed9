"""
Folds the agent's messages into the router's view, as pure functions.
"""

from collections.abc import Mapping
from dataclasses import fields, replace
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
    gone = message.get('gone') or {}
    changed: dict[str, Any] = {}
    for field in fields(View):
        kind = KINDS.get(field.name)
        if kind is None:
            continue
        entries = dict(getattr(view, field.name))
        for name, plain in message.get(field.name, {}).items():
            entries[name] = from_plain(plain, kind)
        for name in gone.get(field.name, ()):
            entries.pop(name, None)
        changed[field.name] = entries
    version = max(view.version, message.get('version', view.version))
    return replace(view, version=version, **changed)
