"""
Parts of a gateway's status: how far it has followed the targets' entries, and
what it knows of parts of prompts that may crash engines.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgpack

from mallowcrank.chains.suspect_parts import PromptPart
from mallowcrank.gateway.ports import LogPosition

MS_PER_S = 1000


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
class LostReport:
    """
    A request that was lost in the crash of an engine.

    :param engine: identity of the engine.
    :param age_s: seconds since the crash.
    :param parts: of its prompt, which other requests may share.
    """

    request: str
    engine: str
    age_s: float
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class AnsweredPart:
    """
    A part of a prompt with which a request was answered.

    :param age_s: seconds since the begin of the last answer.
    """

    part: PromptPart
    age_s: float


@dataclass(frozen=True, slots=True)
class PartsReport:
    """
    What a gateway knows of parts of prompts that may crash engines.

    :param answered: parts of these requests that were answered recently.
    :param confirmed: those that are to blame.
    """

    lost: tuple[LostReport, ...]
    answered: tuple[AnsweredPart, ...]
    confirmed: tuple[PromptPart, ...]


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


def encode_parts(report: PartsReport) -> list[Any]:
    """
    Encode a report of parts of prompts as a part of a datagram.
    """
    return [
        [
            [
                lost.request,
                lost.engine,
                round(lost.age_s * MS_PER_S),
                [list(part) for part in lost.parts],
            ]
            for lost in report.lost
        ],
        [
            [*answered.part, round(answered.age_s * MS_PER_S)]
            for answered in report.answered
        ],
        [list(part) for part in report.confirmed],
    ]


def decode_parts(fields: Sequence[Any]) -> PartsReport:
    """
    Decode a report of parts of prompts.

    :raises ValueError: if an age is negative or not a number.
    """
    lost, answered, confirmed = fields
    return PartsReport(
        tuple(
            LostReport(
                str(request),
                str(engine),
                _decode_age_s(age_ms),
                tuple(_decode_part(*part) for part in parts),
            )
            for request, engine, age_ms, parts in lost
        ),
        tuple(
            AnsweredPart(_decode_part(service, name), _decode_age_s(age_ms))
            for service, name, age_ms in answered
        ),
        tuple(_decode_part(*part) for part in confirmed),
    )


def _decode_part(service: Any, name: Any) -> PromptPart:
    return PromptPart(str(service), str(name))


def _decode_age_s(age_ms: Any) -> float:
    if int(age_ms) < 0:
        raise ValueError('no age')
    return int(age_ms) / MS_PER_S
