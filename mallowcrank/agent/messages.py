"""
What agents say to each other about settings.
"""

from dataclasses import dataclass, field
from enum import StrEnum, unique
from typing import Any

RECORD_TOPIC = 'config.record'
TREE_TOPIC = 'config.tree'
NO_TREE = -2  # in place of the last folded record


@dataclass(frozen=True, slots=True)
class RecordMessage:
    """
    A record that spreads.

    :param after: the offset of the folded record before it.
    """

    offset: int
    time: float
    after: int
    body: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OfferedRecord:
    """
    A record that an operator's client has appended.

    :param time: seconds since the epoch, by the client's clock.
    :param after: the offset of the folded record before it, or `None` where
        the client has not read the log up to it.
    """

    offset: int
    time: float
    after: int | None = None
    body: dict[str, Any] = field(default_factory=dict)


@unique
class FetchNeed(StrEnum):
    """
    Whether an agent has to ask its peers for settings.
    """

    NONE = 'none'
    OUTAGE = 'the log is out, so that a missed record is not read there'
    URGENT = 'settings are missing'


@dataclass(frozen=True, slots=True)
class TreeQuestion:
    """
    Asks for a tree that has folded more.

    :param last: the last record that the asker's tree has folded, or
        `NO_TREE`.
    """

    last: int


@dataclass(frozen=True, slots=True)
class TreeAnswer:
    """
    What a peer holds.

    :param last: the last record that its tree has folded, or `NO_TREE`.
    :param through: no record up to this offset is missing there.
    :param tree: packed by `mallowcrank.config.snapshots.pack_tree` and
        compressed by zlib; empty where the asker has folded as much.
    """

    last: int
    through: int = -1
    tree: bytes = b''
