"""
What became of a configuration record.
"""

from dataclasses import dataclass
from enum import StrEnum, unique


@unique
class Verdict(StrEnum):
    """
    The fold's decision on one record.
    """

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    STALE = 'stale'
    MALFORMED = 'malformed'


@dataclass(frozen=True, slots=True)
class Conflict:
    """
    A setting that another record changed first.

    :param version: the offset of the record that won.
    :param winner: its id.
    """

    setting: str
    version: int
    winner: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """
    The fold's decision on one record, the same on every agent.

    :param record: the record's id.
    :param offset: the record's place in the log.
    :param time: seconds since the epoch, by the log's clock.
    :param reason: a short sentence, where it was not accepted.
    :param changed: how many settings it changed.
    """

    record: str
    offset: int
    verdict: Verdict
    time: float = 0
    author: str = ''
    note: str = ''
    reason: str = ''
    changed: int = 0
    conflicts: tuple[Conflict, ...] = ()
