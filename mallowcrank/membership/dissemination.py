"""
The connections of one agent, with the facts to be sent on each.
"""

from collections.abc import Iterator

from mallowcrank.membership.events import Effect, Instant, Send
from mallowcrank.membership.facts import Fact
from mallowcrank.membership.keys import key_of
from mallowcrank.membership.links import HEARTBEAT_INTERVAL_S, Link
from mallowcrank.membership.messages import Beat, Delta
from mallowcrank.membership.store import FactStore

MAX_DELTA_FACTS = 400  # in one delta message


class Dissemination:
    """
    Forwards new facts on every connection but the one they arrived on.
    """

    def __init__(self, store: FactStore) -> None:
        self._store = store
        self._links: dict[int, Link] = {}

    @property
    def links(self) -> tuple[Link, ...]:
        """
        Return the open connections.
        """
        return tuple(self._links.values())

    @property
    def peers(self) -> frozenset[str]:
        """
        Return the names of the connected agents.
        """
        return frozenset(
            link.peer for link in self._links.values() if link.peer
        )

    def get(self, number: int) -> Link | None:
        """
        Return a connection.
        """
        return self._links.get(number)

    def is_responsive(self, name: str, now: Instant) -> bool:
        """
        Return whether an agent is connected and its link hasn't timed out.
        """
        return any(
            link.peer == name and not link.is_silent(now.steady)
            for link in self._links.values()
        )

    def timed_out(self, now: Instant) -> tuple[Link, ...]:
        """
        Return the connections that received no message within their timeout.
        """
        return tuple(link for link in self.links if link.is_silent(now.steady))

    def add(self, link: Link) -> None:
        """
        Add a connection.
        """
        self._links[link.number] = link

    def remove(self, number: int) -> Link | None:
        """
        Remove a connection, and return it if there was one.
        """
        return self._links.pop(number, None)

    def merge(self, fact: Fact, source: Link | None, now: Instant) -> bool:
        """
        Merge a fact, and queue it for the other connections if it is new.

        :param source: the connection that the fact arrived on, or `None` for
            a fact of this agent.
        :returns: whether the fact was new.
        """
        key = key_of(fact)
        if source is not None:
            source.unqueue(key, fact)
        if not self._store.merge(fact, now.wall):
            return False
        for link in self._links.values():
            if link is not source and link.peer:
                link.queue(key, fact)
        return True

    def flush(self) -> Iterator[Effect]:
        """
        Yield messages with the queued facts of all connections.
        """
        for link in self._links.values():
            facts = tuple(link.pending.values())
            link.pending.clear()
            for batch in split_batches(facts):
                yield Send(link.number, Delta(batch))

    def send_heartbeats(self, now: Instant) -> Iterator[Effect]:
        """
        Yield the heartbeats that are due.
        """
        for link in self._links.values():
            if (
                link.peer
                and now.steady - link.last_heartbeat >= HEARTBEAT_INTERVAL_S
            ):
                link.last_heartbeat = now.steady
                yield Send(link.number, Beat(self._store.root))


def split_batches(facts: tuple[Fact, ...]) -> Iterator[tuple[Fact, ...]]:
    """
    Yield the facts in batches, one for each message.
    """
    for start in range(0, len(facts), MAX_DELTA_FACTS):
        yield facts[start : start + MAX_DELTA_FACTS]
