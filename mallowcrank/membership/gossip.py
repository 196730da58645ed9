"""
The gossip protocol between agents, as a state machine without sockets or
clocks.

Each agent keeps connections to a few others. New facts are forwarded on all
connections except the one that they arrived on. Heartbeats carry a digest, so
that both ends can detect and exchange missed facts.
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
    The gossip state of one agent.

    Every command returns the effects to execute, in order.

    :param local_member: this agent.
    :param seeds: addresses of the agents to contact first.
    """

    def __init__(self, local_member: Member, seeds: tuple[str, ...]) -> None:
        self._local_member = local_member
        self._store = FactStore()
        self._dissemination = Dissemination(self._store)
        self._suspicion = PeerSuspicion(local_member.name, self._store)
        self._connections = ConnectionManager(local_member, seeds, self._store)
        self._next_expiry_at: float = 0

    @property
    def local_member(self) -> Member:
        """
        Return this agent's own member fact.
        """
        return self._local_member

    @property
    def store(self) -> FactStore:
        """
        Return the known facts.
        """
        return self._store

    @property
    def links(self) -> tuple[Link, ...]:
        """
        Return the open connections.
        """
        return self._dissemination.links

    def publish(self, facts: Iterable[Fact], now: Instant) -> list[Effect]:
        """
        Publish facts that originate at this agent.
        """
        return self._merge_facts(facts, None, now)

    def update_local_member(self, member: Member, now: Instant) -> list[Effect]:
        """
        Publish a new version of this agent's own member fact.
        """
        self._local_member = replace(
            member, version=self._local_member.version + 1, stamp=now.wall
        )
        return self.publish((self._local_member,), now)

    def opened(self, number: int, address: str, now: Instant) -> list[Effect]:
        """
        Handle a new connection.

        :param address: the address that was dialed; empty for an accepted
            connection.
        """
        steady = now.steady
        self._connections.dial_finished(address)
        self._dissemination.add(Link(number, address, steady, steady, steady))
        return [hello_message(self._local_member, number)] if address else []

    def unreachable(self, address: str, now: Instant) -> list[Effect]:
        """
        Handle a failure to open a connection.
        """
        self._connections.dial_finished(address)
        return self.publish(self._suspicion.connect_failed(address, now), now)

    def closed(self, number: int, now: Instant) -> list[Effect]:
        """
        Handle a connection that was closed by either end.
        """
        link = self._dissemination.remove(number)
        if link is None or link.peer or not link.is_outgoing:
            return []
        return self.publish(
            self._suspicion.connect_failed(link.address, now), now
        )

    def received(
        self, number: int, message: Message, now: Instant
    ) -> list[Effect]:
        """
        Handle a received message.
        """
        link = self._dissemination.get(number)
        if link is None:
            return []
        link.last_received = now.steady
        if isinstance(message, Hello):
            return self._handle_hello(message, link, now)
        if isinstance(message, Delta):
            return self._merge_facts(message.facts, link, now)
        return handle_message(message, link, self._store, now)

    def tick(self, now: Instant) -> list[Effect]:
        """
        Run the periodic work; to be called a few times a second.
        """
        effects: list[Effect] = []
        for silent_link in self._dissemination.timed_out(now):
            effects.append(
                Close(silent_link.number, 'the connection is silent')
            )
            effects.extend(self.closed(silent_link.number, now))
        effects.extend(self._dissemination.flush())
        effects.extend(self._dissemination.send_heartbeats(now))
        for effect in self._connections.update_connections(self.links, now):
            if isinstance(effect, Close):
                self._dissemination.remove(effect.link)
            effects.append(effect)
        effects.extend(self.publish(self._suspicion.confirm_deaths(now), now))
        if now.steady >= self._next_expiry_at:
            self._next_expiry_at = now.steady + EXPIRY_INTERVAL_S
            self._store.remove_expired(now.wall)
        return effects

    def _handle_hello(
        self, message: Hello, link: Link, now: Instant
    ) -> list[Effect]:
        if message.name == self._local_member.name:
            self._dissemination.remove(link.number)
            return [Close(link.number, 'the agent called itself')]
        is_first = not self._dissemination.peers
        link.peer = message.name
        link.last_agreed = now.steady
        effects: list[Effect] = [
            Send(link.number, Delta((self._local_member,)))
        ]
        if not link.is_outgoing:
            effects.insert(0, hello_message(self._local_member, link.number))
        elif is_first:
            effects.append(Send(link.number, Digest(self._store.digest)))
        observed = self._suspicion.connected(message.name, now)
        return [*effects, *self.publish(observed, now)]

    def _merge_facts(
        self, facts: Iterable[Fact], source: Link | None, now: Instant
    ) -> list[Effect]:
        effects: list[Effect] = []
        is_urgent = False
        for fact in facts:
            if self._dissemination.merge(fact, source, now):
                effects.append(FactUpdated(fact))
                effects.extend(self._handle_new_fact(fact, now))
                is_urgent = is_urgent or not isinstance(fact, (Load, Demand))
        if is_urgent:
            effects.extend(self._dissemination.flush())
        return effects

    def _handle_new_fact(self, fact: Fact, now: Instant) -> list[Effect]:
        if isinstance(fact, Member):
            self._connections.members_changed()
        if needs_refutation(self._local_member, fact):
            next_incarnation = (
                max(fact.incarnation, self._local_member.incarnation) + 1
            )
            return self.update_local_member(
                replace(self._local_member, incarnation=next_incarnation), now
            )
        name = suspected_agent(fact)
        if not name or name == self._local_member.name:
            return []
        is_alive = self._dissemination.is_responsive(name, now)
        return self.publish(self._suspicion.suspect(name, is_alive, now), now)


def hello_message(local_member: Member, number: int) -> Send:
    """
    Return the effect that sends the first message on a connection.
    """
    return Send(
        number,
        Hello(
            local_member.name, local_member.incarnation, local_member.address
        ),
    )


def needs_refutation(local_member: Member, fact: Fact) -> bool:
    """
    Return whether a fact about this agent is wrong and has to be refuted.
    """
    if isinstance(fact, Member):
        return fact.name == local_member.name and fact != local_member
    return (
        suspected_agent(fact) == local_member.name
        and fact.incarnation >= local_member.incarnation
    )


def suspected_agent(fact: Fact) -> str:
    """
    Return the agent that an observation reports as failed, or an empty string.
    """
    if not isinstance(fact, Observation) or fact.verdict != Verdict.FAILED:
        return ''
    name = fact.subject.removeprefix(AGENT_PREFIX)
    return '' if name == fact.subject else name
