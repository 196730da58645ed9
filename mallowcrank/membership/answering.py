"""
Answers to messages that change no facts.
"""

from collections.abc import Iterable, Mapping
from functools import singledispatch
from typing import Any

from mallowcrank.membership.events import Effect, Heard, Instant, Send
from mallowcrank.membership.links import Link
from mallowcrank.membership.messages import (
    Answer,
    Ask,
    Beat,
    Delta,
    Digest,
    Message,
    Post,
)
from mallowcrank.membership.spread import split
from mallowcrank.membership.store import FactStore


@singledispatch
def answer(
    message: Message, link: Link, store: FactStore, now: Instant
) -> list[Effect]:
    """
    Return what a message asks for.
    """
    raise TypeError(f'not a message: {message!r}')


@answer.register
def _(
    message: Beat, link: Link, store: FactStore, now: Instant
) -> list[Effect]:
    differs = link.compare(store.root, message.root, now.steady)
    if differs and link.is_outgoing:
        return [Send(link.number, Digest(store.digest))]
    return []


@answer.register
def _(
    message: Digest, link: Link, store: FactStore, now: Instant
) -> list[Effect]:
    facts = tuple(store.differing(message.buckets))
    effects: list[Effect] = [
        Send(link.number, Delta(part)) for part in split(facts)
    ]
    if not message.is_reply:
        mine = Digest(store.digest, is_reply=True)
        effects.insert(0, Send(link.number, mine))
    return effects


@answer.register(Post)
@answer.register(Ask)
@answer.register(Answer)
def _(
    message: Message, link: Link, store: FactStore, now: Instant
) -> list[Effect]:
    return [Heard(link.number, message)]


def post(
    links: Iterable[Link], topic: str, body: Mapping[str, Any]
) -> list[Effect]:
    """
    Send a message of another part to all connected agents at once.
    """
    return [Send(link.number, Post(topic, body)) for link in links if link.peer]
