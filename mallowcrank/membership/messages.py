"""
What agents say to each other.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from mallowcrank import codec
from mallowcrank.membership.facts import Fact
from mallowcrank.membership.rows import read_row, write_row


@dataclass(frozen=True, slots=True)
class Hello:
    """
    The first message on a connection, from both ends.

    :param address: `IP:PORT` where the sender takes connections.
    """

    name: str
    incarnation: int
    address: str


@dataclass(frozen=True, slots=True)
class Beat:
    """
    The heartbeat of a connection.

    :param root: the digest of all lasting facts that the sender knows.
    """

    root: int


@dataclass(frozen=True, slots=True)
class Digest:
    """
    The digest of each bucket; the receiver sends what differs.

    :param is_reply: whether it answers another digest.
    """

    buckets: tuple[int, ...]
    is_reply: bool = False


@dataclass(frozen=True, slots=True)
class Delta:
    """
    Facts that are news to the receiver.
    """

    facts: tuple[Fact, ...]


@dataclass(frozen=True, slots=True)
class Post:
    """
    A message of another part, passed along at once.
    """

    topic: str
    body: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Ask:
    """
    A question of another part.
    """

    number: int
    topic: str
    body: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Answer:
    """
    The answer to a question; an empty body where there is none.
    """

    number: int
    body: Mapping[str, Any] | None = None


Message = Hello | Beat | Digest | Delta | Post | Ask | Answer

_KINDS = MappingProxyType(
    {
        kind.__name__.lower(): kind
        for kind in (Hello, Beat, Digest, Post, Ask, Answer)
    }
)


class BadMessageError(Exception):
    """
    A peer's message can't be read.
    """


def to_body(message: Message) -> dict[str, Any]:
    """
    Turn a message into a frame's body.
    """
    if isinstance(message, Delta):
        rows = [write_row(fact) for fact in message.facts]
        return {'type': 'delta', 'facts': rows}
    return {'type': type(message).__name__.lower(), **codec.to_plain(message)}


def from_body(body: Mapping[str, Any]) -> Message:
    """
    Build a message out of a frame's body.

    :raises BadMessageError: when it can't be read.
    """
    try:
        return _read(body)
    except Exception as error:
        raise BadMessageError(f'the message is malformed: {error}') from error


def _read(body: Mapping[str, Any]) -> Message:
    if body['type'] == 'delta':
        facts = (read_row(row) for row in body['facts'])
        return Delta(tuple(fact for fact in facts if fact is not None))
    return codec.from_plain(body, _KINDS[body['type']])
