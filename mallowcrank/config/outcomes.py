"""
Outcomes of configuration records.
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

    :param setting: the setting's path.
    :param version: the offset of the record that changed the setting.
    :param winner: that record's id.
    """

    setting: str
    version: int
    winner: str


@dataclass(frozen=True, slots=True)
class Outcome:
    """
    The fold's decision on one record; every agent reaches the same one.

    :param record: the record's id.
    :param offset: the record's offset in the log.
    :param time: the record's time, in seconds since the epoch, by the log's
        clock.
    :param reason: why the record was not accepted, as a short sentence.
    :param changed: the number of settings that the record changed.
    :param conflicts: the settings that another record changed first.
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
