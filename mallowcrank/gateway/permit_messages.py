"""
Datagrams between gateways: a request for a permit to send a request to a
target, and its answer.
"""

from dataclasses import dataclass
from enum import IntEnum, unique
from typing import Any

import msgpack

from mallowcrank.gateway.datagrams import (
    DECODE_ERRORS,
    decode_limit,
    encode_limit,
)
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.limits.named import LimitReport

PERMIT_REQUEST_FORMAT = 3
PERMIT_ANSWER_FORMAT = 4
MS_PER_S = 1000


@unique
class Verdict(IntEnum):
    """
    The answer to a request for a permit.
    """

    GRANTED = 1
    DENIED = 2
    NOT_ASSIGNED = 3  # another gateway issues the permits for the target


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """
    One gateway's request to the one that issues a target's permits.

    :param number: of the request, at the gateway that sends it.
    :param limit: what it knows of the target's limit.
    :param max_wait_s: how long the permit may lie in the future, in seconds; 0
        if the request to the target can go elsewhere.
    """

    number: int
    lifetime: Lifetime
    limit: LimitReport
    max_wait_s: float


@dataclass(frozen=True, slots=True)
class PermitAnswer:
    """
    The answer to a request for a permit.

    :param wait_s: seconds until the permit is valid, or until there may be
        one.
    :param return_s: seconds after which a refused caller should retry.
    """

    number: int
    verdict: Verdict
    wait_s: float
    return_s: float


def pack_permit_request(request: PermitRequest) -> bytes:
    """
    Encode a request for a permit.
    """
    return msgpack.packb(
        [
            PERMIT_REQUEST_FORMAT,
            request.number,
            list(request.lifetime),
            encode_limit(request.limit),
            round(request.max_wait_s * MS_PER_S),
        ]
    )


def pack_permit_answer(answer: PermitAnswer) -> bytes:
    """
    Encode the answer to a request for a permit.
    """
    return msgpack.packb(
        [
            PERMIT_ANSWER_FORMAT,
            answer.number,
            int(answer.verdict),
            round(answer.wait_s * MS_PER_S),
            round(answer.return_s * MS_PER_S),
        ]
    )


def read_permit_message(raw: bytes) -> PermitRequest | PermitAnswer | None:
    """
    Decode a datagram.

    :returns: none if the datagram is malformed or of another kind.
    """
    try:
        return _decode(msgpack.unpackb(raw))
    except DECODE_ERRORS:
        return None


def _decode(fields: list[Any]) -> PermitRequest | PermitAnswer | None:
    if fields[0] == PERMIT_REQUEST_FORMAT:
        identity, born_ms = fields[2]
        return PermitRequest(
            number=int(fields[1]),
            lifetime=Lifetime(str(identity), int(born_ms)),
            limit=decode_limit(fields[3]),
            max_wait_s=max(0, int(fields[4])) / MS_PER_S,
        )
    if fields[0] == PERMIT_ANSWER_FORMAT:
        return PermitAnswer(
            number=int(fields[1]),
            verdict=Verdict(fields[2]),
            wait_s=max(0, int(fields[3])) / MS_PER_S,
            return_s=max(0, int(fields[4])) / MS_PER_S,
        )
    return None
