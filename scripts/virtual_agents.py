"""
Membership of many agents in one process and in virtual time.

The state machines, messages and frames are the product's own; sockets, clocks
and targets are simulated.
"""

from collections import Counter
from dataclasses import dataclass, replace
from functools import partial, singledispatchmethod

from mallowcrank.membership.events import (
    Close,
    Connect,
    DeliverMessage,
    Effect,
    FactUpdated,
    ReadHostList,
    Send,
    StartProbe,
)
from mallowcrank.membership.facts import Member, MemberState, TargetFact
from mallowcrank.membership.handling import handle_event
from mallowcrank.membership.inbox import (
    Closed,
    Event,
    Listed,
    Opened,
    Probed,
    Received,
    Start,
    Tick,
    Unreachable,
)
from mallowcrank.membership.membership import Membership
from mallowcrank.membership.messages import Message
from mallowcrank.membership.probing import PROBE_TIMEOUT_S
from mallowcrank.membership.reports import ProbeResult
from mallowcrank.ports import ListedHost
from mallowcrank.view import TargetKind
from scripts.virtual_network import (
    LATENCY_S,
    ConnectionEnd,
    ResourceUsage,
    VirtualNetwork,
)
from scripts.virtual_time import VirtualTime

CONNECT_TIMEOUT_S = 1
TICK_S = 0.25
SUBNET = 250  # hosts numbered by one byte of an address


@dataclass
class VirtualTarget:
    """
    Actual state of a target.

    :param fact: what it reports about itself.
    :param answers: whether it answers probes; else they time out.
    :param probes: number of probes answered.
    """

    fact: TargetFact
    answers: bool = True
    load: int = 0
    probes: int = 0


class VirtualFleet:
    """
    The agents and targets of one run.

    :param zones: number of availability zones, which are assigned to agents
        and targets round-robin.
    """

    def __init__(self, zones: int = 3) -> None:
        self.time = VirtualTime()
        self.network = VirtualNetwork(self.time, self._receive)
        self.agents: dict[str, Membership] = {}
        self.targets: dict[str, VirtualTarget] = {}
        self.host_list: dict[str, ListedHost] = {}
        self.host_list_available = True
        self.delivered: list[tuple[str, DeliverMessage]] = []
        self._effects = EffectExecutor(self)
        self._zones = zones
        self.names: dict[str, str] = {}

    def count_states(self, target: str) -> Counter[str]:
        """
        Count the states of a target in the views of the running agents.
        """
        return Counter(
            agent.target(
                agent.gossip.store.get(('t', target)), self.time.now
            ).state
            for name, agent in self.agents.items()
            if name not in self.network.stopped
        )

    def all_agree(self, member: str, state: MemberState) -> bool:
        """
        Tell whether all other running agents record an agent in a state.
        """
        return all(
            agent.gossip.store.get(('m', member)).state == state
            for name, agent in self.agents.items()
            if name != member and name not in self.network.stopped
        )

    def is_settled(self) -> bool:
        """
        Tell whether all agents know all agents and targets.
        """
        stores = [agent.gossip.store for agent in self.agents.values()]
        return all(
            len(store.of_kind('m')) >= len(self.agents)
            and len(store.of_kind('t')) >= len(self.targets)
            for store in stores
        )

    def add_agent(self, number: int, seeds: tuple[int, ...] = (0,)) -> str:
        """
        Start or restart an agent.

        :param seeds: numbers of the agents that it joins through.
        """
        name = f'h{number}'
        local_member = Member(
            name=name,
            incarnation=int(self.time.now * 1000),
            version=0,
            state=MemberState.ALIVE,
            address=address_of(number),
            availability_zone=f'az{number % self._zones}',
        )
        agent = Membership(
            local_member, tuple(address_of(each) for each in seeds)
        )
        self.agents[name] = agent
        self.network.usage[name] = ResourceUsage()
        self.network.stopped.discard(name)
        self.names[local_member.address] = name
        self.dispatch(name, Start())
        self._tick(name, agent)
        return name

    def add_target(self, number: int) -> str:
        """
        Start a target and put it on the host list.
        """
        name = f'e{number}'
        zone = f'az{number % self._zones}'
        address = f'10.1.{number // SUBNET}.{number % SUBNET}:9100'
        fact = TargetFact(
            name=name,
            incarnation=1,
            leaving=False,
            version=0,
            gone=False,
            kind=TargetKind.ENGINE,
            address=address,
            availability_zone=zone,
            serves='assistant',
            last_layer=31,
        )
        self.targets[name] = VirtualTarget(fact)
        self.host_list[name] = ListedHost(name, address, zone, 'engine')
        return name

    def change_target(self, name: str, **changes: object) -> None:
        """
        Change the facts that a target reports about itself.
        """
        changed = self.targets[name]
        changed.fact = replace(changed.fact, **changes)

    def dispatch(self, name: str, event: Event) -> None:
        """
        Pass an event to an agent and apply the effects.
        """
        if name in self.network.stopped:
            return
        agent = self.agents[name]
        usage = self.network.usage[name]
        for effect in usage.measure(
            partial(handle_event, event, agent, self.time.instant)
        ):
            self._effects.apply(effect, name)

    def dispatch_later(self, seconds: float, name: str, event: Event) -> None:
        """
        Pass an event to an agent after a delay in seconds.
        """
        self.time.call_later(seconds, partial(self.dispatch, name, event))

    def _tick(self, name: str, agent: Membership) -> None:
        if self.agents.get(name) is agent:
            self.dispatch(name, Tick())
            self.time.call_later(TICK_S, partial(self._tick, name, agent))

    def _receive(self, end: ConnectionEnd, message: Message) -> None:
        self.dispatch(end.owner, Received(end.number, message))


class EffectExecutor:
    """
    Applies the effects that the agents of a fleet request.
    """

    def __init__(self, fleet: VirtualFleet) -> None:
        self._fleet = fleet

    @singledispatchmethod
    def apply(self, effect: Effect, name: str) -> None:
        """
        Apply an effect that an agent requests.

        :raises TypeError: for an unknown effect.
        """
        raise TypeError(f'unknown effect: {effect!r}')

    @apply.register
    def _(self, effect: FactUpdated, name: str) -> None:
        """
        Do nothing; only the agent's own state is affected.
        """

    @apply.register
    def _(self, effect: DeliverMessage, name: str) -> None:
        self._fleet.delivered.append((name, effect))

    @apply.register
    def _(self, effect: ReadHostList, name: str) -> None:
        if self._fleet.host_list_available:
            hosts = tuple(self._fleet.host_list.values())
            self._fleet.dispatch_later(LATENCY_S, name, Listed(hosts))

    @apply.register
    def _(self, effect: StartProbe, name: str) -> None:
        self._fleet.network.usage[name].probes += 1
        probed = self._fleet.targets[effect.name]
        outcome = ProbeResult(effect.name, reason='timeout')
        wait_s: float = PROBE_TIMEOUT_S
        if probed.answers and self._fleet.network.reaches(name, effect.name):
            probed.probes += 1
            outcome = ProbeResult(effect.name, probed.fact, probed.load)
            wait_s = 2 * LATENCY_S
        self._fleet.dispatch_later(wait_s, name, Probed(outcome))

    @apply.register
    def _(self, effect: Connect, name: str) -> None:
        other = self._fleet.names.get(effect.address, '')
        if other in self._fleet.agents and self._fleet.network.reaches(
            name, other
        ):
            self._fleet.time.call_later(
                LATENCY_S, lambda: self._open(name, other, effect.address)
            )
            return
        self._fleet.dispatch_later(
            CONNECT_TIMEOUT_S, name, Unreachable(effect.address)
        )

    @apply.register
    def _(self, effect: Close, name: str) -> None:
        other = self._fleet.network.close(ConnectionEnd(name, effect.link))
        if other is not None:
            self._fleet.dispatch_later(
                LATENCY_S, other.owner, Closed(other.number)
            )

    @apply.register
    def _(self, effect: Send, name: str) -> None:
        self._fleet.network.send(
            ConnectionEnd(name, effect.link), effect.message
        )

    def _open(self, name: str, other: str, address: str) -> None:
        near, far = self._fleet.network.connect(name, other)
        self._fleet.dispatch(other, Opened(far.number, ''))
        self._fleet.dispatch(name, Opened(near.number, address))


def address_of(number: int) -> str:
    """
    Return the address of a numbered agent.
    """
    return f'10.0.{number // SUBNET}.{number % SUBNET}:7000'
