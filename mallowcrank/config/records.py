"""
Configuration records.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum, unique
from typing import Any

from mallowcrank.config.tree import NO_VERSION


@unique
class RecordType(StrEnum):
    """
    The record types that settings follow from.
    """

    CONFIG = 'config'
    RESTORE = 'restore'
    SNAPSHOT = 'snapshot'


@dataclass(frozen=True, slots=True)
class Change:
    """
    A change of one setting.

    :param setting: its path.
    :param base: the version that the change was based on.
    :param value: the new value; `None` removes the setting.
    """

    setting: str
    base: int = NO_VERSION
    value: Any = None


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """
    Changes that are accepted together or not at all.

    :param id: unique, made by the writer.
    :param read: no record up to this offset was unknown to the writer.
    """

    id: str
    changes: tuple[Change, ...]
    read: int = NO_VERSION
    author: str = ''
    note: str = ''


@dataclass(frozen=True, slots=True)
class RestoreRecord:
    """
    A whole tree that replaces what was there.

    It is accepted only if no record of settings lies between `read` and its
    own place.
    """

    id: str
    settings: Mapping[str, Any] = field(default_factory=dict)
    read: int = NO_VERSION
    author: str = ''
    note: str = ''


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """
    A folded tree.

    :param through: the offset that the tree reaches.
    :param version: the tree's version.
    :param digest: the content's hash in hexadecimal.
    :param tree: the packed tree in base64.
    """

    id: str
    through: int
    version: int
    digest: str
    tree: str
    writer: str = ''


@dataclass(frozen=True, slots=True)
class MalformedRecord:
    """
    The sentinel for a record that can't be read.
    """

    id: str
    reason: str


ParsedRecord = ConfigRecord | RestoreRecord | SnapshotRecord | MalformedRecord
