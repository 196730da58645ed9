"""
What gateways tell each other of the targets' entries.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import inf, isfinite
from typing import Any

import msgpack

from mallowcrank.gateway.ports import LogPosition
from mallowcrank.gateway.status_parts import MS_PER_S, decode_age_s


@dataclass(frozen=True, slots=True)
class EntriesStatus:
    """
    How far a gateway has followed the targets' entries.

    :param position: of the next record; records before it are applied.
    :param read_for_s: seconds for which its reads have succeeded; 0 if they
        fail.
    """

    position: LogPosition
    read_for_s: float


@dataclass(frozen=True, slots=True)
class EntriesView:
    """
    What a gateway knows of the targets' entries.

    :param position: up to which it knows them.
    :param digest: of what all entries say there.
    :param age_s: seconds since it has read so itself; infinite if another
        gateway has told it.
    """

    position: LogPosition
    digest: int
    age_s: float


@dataclass(frozen=True, slots=True)
class EntriesSnapshot:
    """
    All entries of targets, as one gateway knows them.

    :param position: up to which it has read.
    :param entries: by identity, encoded as in the store.
    :param lapsed: seconds for which entries have been missing that may return,
        by identity.
    """

    position: LogPosition
    entries: Mapping[str, bytes]
    lapsed: Mapping[str, float]


def pack_snapshot(snapshot: EntriesSnapshot) -> bytes:
    """
    Encode a snapshot.
    """
    return msgpack.packb(
        [list(snapshot.position), snapshot.entries, snapshot.lapsed]
    )


def read_snapshot(raw: bytes) -> EntriesSnapshot:
    """
    Decode a snapshot.

    :raises ValueError: if it is malformed; other errors of decoding, too.
    """
    (era, offset), entries, lapsed = msgpack.unpackb(raw)
    return EntriesSnapshot(
        LogPosition(int(era), int(offset)),
        {str(key): bytes(entry) for key, entry in entries.items()},
        {str(key): max(0, float(age_s)) for key, age_s in lapsed.items()},
    )


def encode_entries(entries: EntriesStatus) -> list[int]:
    """
    Encode how far entries were followed as a part of a datagram.
    """
    return [*entries.position, round(entries.read_for_s * MS_PER_S)]


def decode_entries(fields: Sequence[Any]) -> EntriesStatus:
    """
    Decode how far entries were followed.

    :raises ValueError: if a number is negative or none.
    """
    era, offset, read_for_ms = fields
    if min(era, offset, read_for_ms) < 0:
        raise ValueError('no position')
    return EntriesStatus(
        LogPosition(int(era), int(offset)), int(read_for_ms) / MS_PER_S
    )


def encode_view(view: EntriesView) -> list[int | None]:
    """
    Encode a view of the entries as a part of a datagram.
    """
    age_ms = round(view.age_s * MS_PER_S) if isfinite(view.age_s) else None
    return [*view.position, view.digest, age_ms]


def decode_view(fields: Sequence[Any]) -> EntriesView:
    """
    Decode a view of the entries.

    :raises ValueError: if a number is negative or none.
    """
    era, offset, digest, age_ms = fields
    if min(era, offset, digest) < 0:
        raise ValueError('no view')
    age_s = inf if age_ms is None else decode_age_s(age_ms)
    return EntriesView(LogPosition(int(era), int(offset)), int(digest), age_s)
