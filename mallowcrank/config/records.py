"""
Configuration records, as they are stored in the log.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum, unique
from typing import Any

from mallowcrank.config.tree import NO_VERSION


@unique
class RecordType(StrEnum):
    """
    The types of configuration records.
    """

    CONFIG = 'config'
    RESTORE = 'restore'
    SNAPSHOT = 'snapshot'


@dataclass(frozen=True, slots=True)
class Change:
    """
    A change of one setting.

    :param setting: the setting's path.
    :param base: the version of the setting that the change is based on.
    :param value: the new value; `None` removes the setting.
    """

    setting: str
    base: int = NO_VERSION
    value: Any = None


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """
    Changes that are accepted together or not at all.

    :param id: a unique id that the writer generates.
    :param read: the writer knew all records up to this offset.
    :param author: who published the changes.
    :param note: why they were published.
    """

    id: str
    changes: tuple[Change, ...]
    read: int = NO_VERSION
    author: str = ''
    note: str = ''


@dataclass(frozen=True, slots=True)
class RestoreRecord:
    """
    A complete set of settings that replaces the whole tree.

    The record is accepted only if no record that may change the settings lies
    between `read` and its own offset.

    :param id: a unique id that the writer generates.
    :param settings: values by path.
    :param read: the writer knew all records up to this offset.
    :param author: who published the settings.
    :param note: why they were published.
    """

    id: str
    settings: Mapping[str, Any] = field(default_factory=dict)
    read: int = NO_VERSION
    author: str = ''
    note: str = ''


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """
    A folded tree, with which an agent can start without older records.

    :param through: the tree covers all records up to this offset.
    :param version: the tree's version.
    :param digest: the hash of the tree's content, in hexadecimal.
    :param tree: the packed tree, compressed and encoded in base64.
    :param writer: the host that wrote the snapshot.
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
    The sentinel for a record that is not valid.

    :param reason: why it is not valid, as a short sentence.
    """

    id: str
    reason: str


ParsedRecord = ConfigRecord | RestoreRecord | SnapshotRecord | MalformedRecord
