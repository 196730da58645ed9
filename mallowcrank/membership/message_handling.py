"""
Replies to messages that change no facts.
"""

from collections.abc import Iterable, Mapping
from functools import singledispatch
from typing import Any

from mallowcrank.membership.dissemination import split_batches
from mallowcrank.membership.events import DeliverMessage, Effect, Instant, Send
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
from mallowcrank.membership.store import FactStore


@singledispatch
def handle_message(
    message: Message, link: Link, store: FactStore, now: Instant
) -> list[Effect]:
    """
    Return the effects that a message causes.

    :raises TypeError: when it is not a message.
    """
    raise TypeError(f'not a message: {message!r}')


@handle_message.register
def _(
    message: Beat, link: Link, store: FactStore, now: Instant
) -> list[Effect]:
    needs_digest = link.compare(store.root, message.root, now.steady)
    if needs_digest and link.is_outgoing:
        return [Send(link.number, Digest(store.digest))]
    return []


@handle_message.register
def _(
    message: Digest, link: Link, store: FactStore, now: Instant
) -> list[Effect]:
    facts = tuple(store.facts_differing_from(message.buckets))
    effects: list[Effect] = [
        Send(link.number, Delta(batch)) for batch in split_batches(facts)
    ]
    if not message.is_reply:
        reply = Digest(store.digest, is_reply=True)
        effects.insert(0, Send(link.number, reply))
    return effects


@handle_message.register(Post)
@handle_message.register(Ask)
@handle_message.register(Answer)
def _(
    message: Message, link: Link, store: FactStore, now: Instant
) -> list[Effect]:
    return [DeliverMessage(link.number, message)]


def broadcast(
    links: Iterable[Link], topic: str, body: Mapping[str, Any]
) -> list[Effect]:
    """
    Send a message of another part to all connected agents.
    """
    return [Send(link.number, Post(topic, body)) for link in links if link.peer]
