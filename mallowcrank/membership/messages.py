"""
The messages that agents exchange.
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

    :param address: `IP:PORT` where the sender accepts connections.
    """

    name: str
    incarnation: int
    address: str


@dataclass(frozen=True, slots=True)
class Beat:
    """
    The heartbeat of a connection.

    :param root: the digest of all facts of the sender that digests cover.
    """

    root: int


@dataclass(frozen=True, slots=True)
class Digest:
    """
    The digest of each bucket.

    The receiver sends its facts in the buckets that differ.

    :param is_reply: whether it was sent in reply to another digest.
    """

    buckets: tuple[int, ...]
    is_reply: bool = False


@dataclass(frozen=True, slots=True)
class Delta:
    """
    Facts that may be new to the receiver.
    """

    facts: tuple[Fact, ...]


@dataclass(frozen=True, slots=True)
class Post:
    """
    A message of another part of the agent that expects no answer.
    """

    topic: str
    body: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Ask:
    """
    A request of another part of the agent.

    :param number: identifies the request in its answer.
    """

    number: int
    topic: str
    body: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Answer:
    """
    The answer to a request.

    :param number: the number of the request.
    :param body: the answer, or `None` if there is none.
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
    A peer's message can't be parsed.
    """


def to_body(message: Message) -> dict[str, Any]:
    """
    Convert a message to the body of a frame.
    """
    if isinstance(message, Delta):
        rows = [write_row(fact) for fact in message.facts]
        return {'type': 'delta', 'facts': rows}
    return {'type': type(message).__name__.lower(), **codec.to_plain(message)}


def from_body(body: Mapping[str, Any]) -> Message:
    """
    Parse a message from the body of a frame.

    :raises BadMessageError: when it can't be parsed.
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
