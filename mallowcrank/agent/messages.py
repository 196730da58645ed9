"""
What agents say to each other about settings.
"""

from dataclasses import dataclass, field
from typing import Any

RECORD_TOPIC = 'config.record'
TREE_TOPIC = 'config.tree'


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
class TreeQuestion:
    """
    Asks for a tree that reaches further.

    :param through: what the asker reaches.
    """

    through: int


@dataclass(frozen=True, slots=True)
class TreeAnswer:
    """
    A whole tree.

    :param tree: packed by `mallowcrank.config.snapshots.pack_tree` and
        compressed by zlib; empty where it reaches no further.
    """

    through: int
    version: int
    tree: bytes = b''
