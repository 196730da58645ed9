"""
Messages about settings between agents.
"""

from dataclasses import dataclass, field
from enum import StrEnum, unique
from typing import Any

RECORD_TOPIC = 'config.record'
TREE_TOPIC = 'config.tree'
NO_TREE = -2  # the `last` of an agent without a tree


@dataclass(frozen=True, slots=True)
class RecordMessage:
    """
    A record that is spread by gossip.

    :param time: seconds since the epoch.
    :param after: the offset of the folded record before this one.
    """

    offset: int
    time: float
    after: int
    body: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OfferedRecord:
    """
    A record that an operator's client has appended to the log.

    :param time: seconds since the epoch, by the client's clock.
    :param after: the offset of the folded record before this one, or `None`
        if the client has not read the log up to this record.
    """

    offset: int
    time: float
    after: int | None = None
    body: dict[str, Any] = field(default_factory=dict)


@unique
class FetchNeed(StrEnum):
    """
    Why an agent has to fetch settings from its peers.
    """

    NONE = 'none'
    OUTAGE = 'the log is out, so that a missed record is not read there'
    URGENT = 'settings are missing'


@dataclass(frozen=True, slots=True)
class TreeQuestion:
    """
    Requests a tree that contains later records.

    :param last: the offset of the last record folded into the sender's tree,
        or `NO_TREE`.
    """

    last: int


@dataclass(frozen=True, slots=True)
class TreeAnswer:
    """
    Answers a `TreeQuestion`.

    :param last: the offset of the last record folded into the peer's tree, or
        `NO_TREE`.
    :param through: the peer misses no record up to this offset.
    :param tree: packed by `mallowcrank.config.snapshots.pack_tree` and
        compressed by zlib; empty if it contains no later records.
    """

    last: int
    through: int = -1
    tree: bytes = b''
