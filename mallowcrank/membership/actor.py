"""
The actor that holds membership and does what its state machine asks for.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from functools import singledispatchmethod

from pykka import ThreadingActor

from mallowcrank.actors import keep_running
from mallowcrank.clock import Clock
from mallowcrank.logs import PartLog
from mallowcrank.membership import queries
from mallowcrank.membership.events import (
    Close,
    Connect,
    Effect,
    Heard,
    Instant,
    Learnt,
    ReadList,
    Send,
    StartProbe,
)
from mallowcrank.membership.facts import Member, TargetFact
from mallowcrank.membership.handling import take
from mallowcrank.membership.inbox import Event
from mallowcrank.membership.membership import Membership
from mallowcrank.membership.messages import Message
from mallowcrank.metrics import Metrics
from mallowcrank.timeline import Timeline
from mallowcrank.view import Peer, Target

log = PartLog('members')


@dataclass(frozen=True)
class Known:
    """
    What this host's router is told; replaced as a whole at each change.
    """

    targets: Mapping[str, Target] = field(default_factory=dict)
    peers: Mapping[str, Peer] = field(default_factory=dict)


@dataclass(frozen=True)
class Outside:
    """
    What the actor works with.

    :param connect: opens a connection to an address.
    :param send: sends a message on a numbered connection.
    :param close: closes a numbered connection.
    :param probe: starts a probe.
    :param read_list: reads the host list.
    :param hear: takes another part's message from a numbered connection.
    :param show: takes what is known after each change, and whether more than
        loads and demands has changed.
    """

    connect: Callable[[str], None]
    send: Callable[[int, Message], None]
    close: Callable[[int], None]
    probe: Callable[[StartProbe], None]
    read_list: Callable[[], None]
    hear: Callable[[Heard], None]
    show: Callable[[Known, bool], None]
    clock: Clock
    timeline: Timeline
    metrics: Metrics


class MembershipActor(ThreadingActor):
    """
    One agent's membership.
    """

    def __init__(self, membership: Membership, outside: Outside) -> None:
        super().__init__()
        self._membership = membership
        self._outside = outside
        self._effects = Effects(outside)
        self._known = Known()

    # Commands

    @keep_running(log)
    def take(self, event: Event) -> None:
        """
        Take in an event.
        """
        clock = self._outside.clock
        now = Instant(clock.steady(), clock.now())
        for effect in take(event, self._membership, now):
            self._effects.follow(effect)
        self._show(now.wall)

    # Queries

    def members(self) -> tuple[Member, ...]:
        """
        Return all known agents.
        """
        return self._membership.gossip.store.of_kind('m')

    def addresses(self) -> tuple[str, ...]:
        """
        Return the addresses of other agents, connected ones first.
        """
        gossip = self._membership.gossip
        linked = {link.peer for link in gossip.links}
        return queries.other_addresses(gossip.store, gossip.me.name, linked)

    def fact(self, name: str) -> TargetFact | None:
        """
        Return a target's own description.
        """
        return self._membership.gossip.store.get(('t', name))

    def _show(self, wall: float) -> None:
        before = self._known
        changed = self._membership.take_changed(wall)
        targets, peers = before.targets, before.peers
        if any(targets.get(name) != changed[name] for name in changed):
            targets = {**targets, **changed}
        if self._membership.take_peers_changed():
            peers = self._membership.peers()
        if targets is not before.targets or peers != before.peers:
            self._known = Known(targets, peers)
            is_urgent = any(
                is_news(before.targets.get(name), target)
                for name, target in changed.items()
            ) or are_peers_news(before.peers, peers)
            self._outside.show(self._known, is_urgent)


def is_news(before: Target | None, after: Target) -> bool:
    """
    Tell whether more of a target than its load has changed.
    """
    return before is None or replace(before, load=after.load) != after


def are_peers_news(
    before: Mapping[str, Peer], after: Mapping[str, Peer]
) -> bool:
    """
    Tell whether more of any router than its load and demand has changed.
    """
    if before is after:
        return False
    return before.keys() != after.keys() or any(
        replace(before[name], load=peer.load, demand=peer.demand) != peer
        for name, peer in after.items()
    )


class Effects:
    """
    Does what the state machine asks for.
    """

    def __init__(self, outside: Outside) -> None:
        self._outside = outside

    @singledispatchmethod
    def follow(self, effect: Effect) -> None:
        """
        Do one thing.
        """
        raise TypeError(f'not an effect: {effect!r}')

    @follow.register
    def _(self, effect: Connect) -> None:
        self._outside.connect(effect.address)

    @follow.register
    def _(self, effect: Close) -> None:
        self._note(effect.reason)
        self._outside.close(effect.link)

    @follow.register
    def _(self, effect: Send) -> None:
        self._outside.send(effect.link, effect.message)

    @follow.register
    def _(self, effect: StartProbe) -> None:
        self._outside.probe(effect)

    @follow.register
    def _(self, effect: ReadList) -> None:
        self._outside.read_list()

    @follow.register
    def _(self, effect: Heard) -> None:
        self._outside.hear(effect)

    @follow.register
    def _(self, effect: Learnt) -> None:
        fact = effect.fact
        if isinstance(fact, Member):
            self._note(f'agent {fact.name} is {fact.state}')
        elif isinstance(fact, TargetFact) and (fact.gone or fact.leaving):
            what = 'gone' if fact.gone else 'leaving'
            self._note(f'target {fact.name} is {what}', fact.name)

    def _note(self, what: str, target: str = '') -> None:
        log.say(f'{what.capitalize()}.')
        self._outside.timeline.record('members', what, target=target)
        self._outside.metrics.incr('members.changes')
