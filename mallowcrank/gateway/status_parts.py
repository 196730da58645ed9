"""
Part of a gateway's status: what it knows of requests that may crash targets.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from mallowcrank.chains.crash_evidence import Trait
from mallowcrank.gateway.targets import Lifetime

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class LostReport:
    """
    A request that was lost in the crash of a target.

    :param lifetime: of the target.
    :param age_s: seconds since the crash.
    :param lasted_s: seconds for which the target may have run it.
    :param traits: that other requests may share.
    """

    request: str
    lifetime: Lifetime
    age_s: float
    lasted_s: float
    traits: tuple[Trait, ...]


@dataclass(frozen=True, slots=True)
class AnsweredTrait:
    """
    A trait with which a request was answered.

    :param age_s: seconds since the last answer.
    """

    trait: Trait
    age_s: float


@dataclass(frozen=True, slots=True)
class SuspectsReport:
    """
    What a gateway knows of requests that may crash targets.

    :param answered: traits of these requests that were answered recently.
    :param confirmed: those that are to blame.
    """

    lost: tuple[LostReport, ...]
    answered: tuple[AnsweredTrait, ...]
    confirmed: tuple[Trait, ...]


def encode_suspects(report: SuspectsReport) -> list[Any]:
    """
    Encode a report of suspects as a part of a datagram.
    """
    return [
        [
            [
                lost.request,
                *lost.lifetime,
                round(lost.age_s * MS_PER_S),
                round(lost.lasted_s * MS_PER_S),
                [list(trait) for trait in lost.traits],
            ]
            for lost in report.lost
        ],
        [
            [list(answered.trait), round(answered.age_s * MS_PER_S)]
            for answered in report.answered
        ],
        [list(trait) for trait in report.confirmed],
    ]


def decode_suspects(fields: Sequence[Any]) -> SuspectsReport:
    """
    Decode a report of suspects.

    :raises ValueError: if an age is negative or not a number.
    """
    lost, answered, confirmed = fields
    return SuspectsReport(
        tuple(_decode_lost(*row) for row in lost),
        tuple(
            AnsweredTrait(_decode_trait(*trait), decode_age_s(age_ms))
            for trait, age_ms in answered
        ),
        tuple(_decode_trait(*trait) for trait in confirmed),
    )


def _decode_lost(
    request: Any,
    identity: Any,
    born_ms: Any,
    age_ms: Any,
    lasted_ms: Any,
    traits: Any,
) -> LostReport:
    return LostReport(
        str(request),
        Lifetime(str(identity), int(born_ms)),
        decode_age_s(age_ms),
        decode_age_s(lasted_ms),
        tuple(_decode_trait(*trait) for trait in traits),
    )


def _decode_trait(service: Any, name: Any, is_whole: Any) -> Trait:
    return Trait(str(service), str(name), bool(is_whole))


def decode_age_s(age_ms: Any) -> float:
    """
    Decode an age in milliseconds.

    :raises ValueError: if it is negative or not a number.
    """
    if int(age_ms) < 0:
        raise ValueError('no age')
    return int(age_ms) / MS_PER_S
