"""
The actor that owns the membership state and executes its effects.
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
    DeliverMessage,
    Effect,
    FactUpdated,
    Instant,
    ReadHostList,
    Send,
    StartProbe,
)
from mallowcrank.membership.facts import Member, TargetFact
from mallowcrank.membership.handling import handle_event
from mallowcrank.membership.inbox import Event
from mallowcrank.membership.membership import Membership
from mallowcrank.membership.messages import Message
from mallowcrank.metrics import Metrics
from mallowcrank.timeline import Timeline
from mallowcrank.view import Peer, Target

log = PartLog('members')


@dataclass(frozen=True)
class MembershipView:
    """
    A snapshot of targets and peers for this host's router.

    Each change replaces the whole snapshot.
    """

    targets: Mapping[str, Target] = field(default_factory=dict)
    peers: Mapping[str, Peer] = field(default_factory=dict)


@dataclass(frozen=True)
class ActorDependencies:
    """
    The callbacks and services that the actor uses.

    :param connect: opens a connection to an address.
    :param send: sends a message on a numbered connection.
    :param close: closes a numbered connection.
    :param probe: starts a probe.
    :param read_list: reads the host list.
    :param handle_message: handles a message that another part of an agent
        sent on a numbered connection.
    :param publish_view: receives the snapshot after each change, and whether
        more than loads and demands has changed.
    """

    connect: Callable[[str], None]
    send: Callable[[int, Message], None]
    close: Callable[[int], None]
    probe: Callable[[StartProbe], None]
    read_list: Callable[[], None]
    handle_message: Callable[[DeliverMessage], None]
    publish_view: Callable[[MembershipView, bool], None]
    clock: Clock
    timeline: Timeline
    metrics: Metrics


class MembershipActor(ThreadingActor):
    """
    Runs one agent's membership state machine.
    """

    def __init__(
        self, membership: Membership, dependencies: ActorDependencies
    ) -> None:
        super().__init__()
        self._membership = membership
        self._dependencies = dependencies
        self._effects = EffectExecutor(dependencies)
        self._view = MembershipView()

    # Commands

    @keep_running(log)
    def handle_event(self, event: Event) -> None:
        """
        Apply an event and execute the resulting effects.
        """
        clock = self._dependencies.clock
        now = Instant(clock.steady(), clock.now())
        for effect in handle_event(event, self._membership, now):
            self._effects.execute(effect)
        self._publish_changes(now.wall)

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
        connected = {link.peer for link in gossip.links}
        return queries.other_addresses(
            gossip.store, gossip.local_member.name, connected
        )

    def target_fact(self, name: str) -> TargetFact | None:
        """
        Return the description that a target reported.
        """
        return self._membership.gossip.store.get(('t', name))

    def _publish_changes(self, wall: float) -> None:
        before = self._view
        changed = self._membership.pop_changed_targets(wall)
        targets, peers = before.targets, before.peers
        if any(targets.get(name) != changed[name] for name in changed):
            targets = {**targets, **changed}
        if self._membership.pop_peers_changed():
            peers = self._membership.peers()
        if targets is not before.targets or peers != before.peers:
            self._view = MembershipView(targets, peers)
            is_urgent = any(
                differs_beyond_load(before.targets.get(name), target)
                for name, target in changed.items()
            ) or peers_differ_beyond_load(before.peers, peers)
            self._dependencies.publish_view(self._view, is_urgent)


def differs_beyond_load(before: Target | None, after: Target) -> bool:
    """
    Return whether anything but a target's load has changed.
    """
    return before is None or replace(before, load=after.load) != after


def peers_differ_beyond_load(
    before: Mapping[str, Peer], after: Mapping[str, Peer]
) -> bool:
    """
    Return whether anything but the routers' loads and demands has changed.
    """
    if before is after:
        return False
    return before.keys() != after.keys() or any(
        replace(before[name], load=peer.load, demand=peer.demand) != peer
        for name, peer in after.items()
    )


class EffectExecutor:
    """
    Executes the effects that the state machine returns.
    """

    def __init__(self, dependencies: ActorDependencies) -> None:
        self._dependencies = dependencies

    @singledispatchmethod
    def execute(self, effect: Effect) -> None:
        """
        Execute one effect.

        :raises TypeError: when it is not an effect.
        """
        raise TypeError(f'not an effect: {effect!r}')

    @execute.register
    def _(self, effect: Connect) -> None:
        self._dependencies.connect(effect.address)

    @execute.register
    def _(self, effect: Close) -> None:
        self._record(effect.reason)
        self._dependencies.close(effect.link)

    @execute.register
    def _(self, effect: Send) -> None:
        self._dependencies.send(effect.link, effect.message)

    @execute.register
    def _(self, effect: StartProbe) -> None:
        self._dependencies.probe(effect)

    @execute.register
    def _(self, effect: ReadHostList) -> None:
        self._dependencies.read_list()

    @execute.register
    def _(self, effect: DeliverMessage) -> None:
        self._dependencies.handle_message(effect)

    @execute.register
    def _(self, effect: FactUpdated) -> None:
        fact = effect.fact
        if isinstance(fact, Member):
            self._record(f'agent {fact.name} is {fact.state}')
        elif isinstance(fact, TargetFact) and (fact.gone or fact.leaving):
            what = 'gone' if fact.gone else 'leaving'
            self._record(f'target {fact.name} is {what}', fact.name)

    def _record(self, what: str, target: str = '') -> None:
        log.say(f'{what.capitalize()}.')
        self._dependencies.timeline.record('members', what, target=target)
        self._dependencies.metrics.incr('members.changes')
