"""
The gossip between agents, as a state machine with no socket or clock in it.

Every agent keeps connections to a few others. What is news is passed on over
all of them but the one that it came by; heartbeats carry a digest, by which
two ends find what either missed.
"""

from collections.abc import Iterable
from dataclasses import replace

from mallowcrank.membership.connections import ConnectionManager
from mallowcrank.membership.dissemination import Dissemination
from mallowcrank.membership.events import (
    Close,
    Effect,
    FactUpdated,
    Instant,
    Send,
)
from mallowcrank.membership.facts import (
    AGENT_PREFIX,
    Demand,
    Fact,
    Load,
    Member,
    Observation,
    Verdict,
)
from mallowcrank.membership.links import Link
from mallowcrank.membership.message_handling import handle_message
from mallowcrank.membership.messages import Delta, Digest, Hello, Message
from mallowcrank.membership.store import FactStore
from mallowcrank.membership.suspicion import PeerSuspicion

EXPIRY_INTERVAL_S = 60


class Gossip:
    """
    One agent's part in the gossip.

    Every command returns what has to be done, in order.

    :param me: this agent.
    :param seeds: addresses of agents to start from.
    """

    def __init__(self, me: Member, seeds: tuple[str, ...]) -> None:
        self._me = me
        self._store = FactStore()
        self._spread = Dissemination(self._store)
        self._suspicion = PeerSuspicion(me.name, self._store)
        self._weaver = ConnectionManager(me, seeds, self._store)
        self._forget_at: float = 0

    @property
    def local_member(self) -> Member:
        """
        Return this agent as it makes itself known.
        """
        return self._me

    @property
    def store(self) -> FactStore:
        """
        Return the facts that are known.
        """
        return self._store

    @property
    def links(self) -> tuple[Link, ...]:
        """
        Return the open connections.
        """
        return self._spread.links

    def publish(self, facts: Iterable[Fact], now: Instant) -> list[Effect]:
        """
        Spread facts of this agent's own.
        """
        return self._learn(facts, None, now)

    def update_local_member(self, member: Member, now: Instant) -> list[Effect]:
        """
        Spread a change of this agent itself, or make it known at the start.
        """
        self._me = replace(member, version=self._me.version + 1, stamp=now.wall)
        return self.publish((self._me,), now)

    def opened(self, number: int, address: str, now: Instant) -> list[Effect]:
        """
        A connection is open.

        :param address: where it was opened to; empty for an accepted one.
        """
        steady = now.steady
        self._weaver.dial_finished(address)
        self._spread.add(Link(number, address, steady, steady, steady))
        return [hello_message(self._me, number)] if address else []

    def unreachable(self, address: str, now: Instant) -> list[Effect]:
        """
        A connection could not be opened.
        """
        self._weaver.dial_finished(address)
        return self.publish(self._suspicion.connect_failed(address, now), now)

    def closed(self, number: int, now: Instant) -> list[Effect]:
        """
        A connection ended, by either end.
        """
        link = self._spread.remove(number)
        if link is None or link.peer or not link.is_outgoing:
            return []
        return self.publish(
            self._suspicion.connect_failed(link.address, now), now
        )

    def received(
        self, number: int, message: Message, now: Instant
    ) -> list[Effect]:
        """
        A message came in.
        """
        link = self._spread.get(number)
        if link is None:
            return []
        link.last_received = now.steady
        if isinstance(message, Hello):
            return self._greet(message, link, now)
        if isinstance(message, Delta):
            return self._learn(message.facts, link, now)
        return handle_message(message, link, self._store, now)

    def tick(self, now: Instant) -> list[Effect]:
        """
        Do what is due; to be called a few times a second.
        """
        effects: list[Effect] = []
        for silent in self._spread.timed_out(now):
            effects.append(Close(silent.number, 'the connection is silent'))
            effects.extend(self.closed(silent.number, now))
        effects.extend(self._spread.flush())
        effects.extend(self._spread.send_heartbeats(now))
        for effect in self._weaver.update_connections(self.links, now):
            if isinstance(effect, Close):
                self._spread.remove(effect.link)
            effects.append(effect)
        effects.extend(self.publish(self._suspicion.confirm_deaths(now), now))
        if now.steady >= self._forget_at:
            self._forget_at = now.steady + EXPIRY_INTERVAL_S
            self._store.remove_expired(now.wall)
        return effects

    def _greet(self, message: Hello, link: Link, now: Instant) -> list[Effect]:
        if message.name == self._me.name:
            self._spread.remove(link.number)
            return [Close(link.number, 'the agent called itself')]
        is_first = not self._spread.peers
        link.peer = message.name
        link.last_agreed = now.steady
        effects: list[Effect] = [Send(link.number, Delta((self._me,)))]
        if not link.is_outgoing:
            effects.insert(0, hello_message(self._me, link.number))
        elif is_first:
            effects.append(Send(link.number, Digest(self._store.digest)))
        reached = self._suspicion.connected(message.name, now)
        return [*effects, *self.publish(reached, now)]

    def _learn(
        self, facts: Iterable[Fact], source: Link | None, now: Instant
    ) -> list[Effect]:
        effects: list[Effect] = []
        is_urgent = False
        for fact in facts:
            if self._spread.merge(fact, source, now):
                effects.append(FactUpdated(fact))
                effects.extend(self._react(fact, now))
                is_urgent = is_urgent or not isinstance(fact, (Load, Demand))
        if is_urgent:
            effects.extend(self._spread.flush())
        return effects

    def _react(self, fact: Fact, now: Instant) -> list[Effect]:
        if isinstance(fact, Member):
            self._weaver.members_changed()
        if needs_refutation(self._me, fact):
            newer = max(fact.incarnation, self._me.incarnation) + 1
            return self.update_local_member(
                replace(self._me, incarnation=newer), now
            )
        name = suspected_agent(fact)
        if not name or name == self._me.name:
            return []
        hears = self._spread.is_responsive(name, now)
        return self.publish(self._suspicion.suspect(name, hears, now), now)


def hello_message(me: Member, number: int) -> Send:
    """
    Return the first message on a connection.
    """
    return Send(number, Hello(me.name, me.incarnation, me.address))


def needs_refutation(me: Member, fact: Fact) -> bool:
    """
    Tell whether a fact says of this agent what is not so.
    """
    if isinstance(fact, Member):
        return fact.name == me.name and fact != me
    return (
        suspected_agent(fact) == me.name and fact.incarnation >= me.incarnation
    )


def suspected_agent(fact: Fact) -> str:
    """
    Return the agent that an observer can't reach, or an empty string.
    """
    if not isinstance(fact, Observation) or fact.verdict != Verdict.FAILED:
        return ''
    name = fact.subject.removeprefix(AGENT_PREFIX)
    return '' if name == fact.subject else name
