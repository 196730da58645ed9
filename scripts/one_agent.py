"""
One agent at full size in virtual time, with simulated peers.

The state machine, messages and frames are the product's own.
"""

from collections.abc import Iterator
from functools import partial

from mallowcrank.membership.events import Instant, Send, StartProbe
from mallowcrank.membership.facts import (
    Listing,
    Load,
    Member,
    MemberState,
    TargetFact,
)
from mallowcrank.membership.handling import handle_event
from mallowcrank.membership.inbox import (
    Event,
    Opened,
    Probed,
    Received,
    Start,
    Tick,
)
from mallowcrank.membership.membership import Membership
from mallowcrank.membership.messages import (
    Beat,
    Delta,
    Hello,
    Message,
    from_body,
    to_body,
)
from mallowcrank.membership.reports import ProbeResult
from mallowcrank.membership.routers import MAX_LOADS_PER_S
from mallowcrank.view import TargetKind
from mallowcrank.wire import FrameReader, KeyRing, pack_frame
from scripts.virtual_agents import address_of
from scripts.virtual_network import ResourceUsage
from scripts.virtual_time import START_S

KEYS = KeyRing(1, {1: b'measured'})
TICKS_PER_S = 4
LINKS = 8
ZONES = 28
SUBNET = 250
MS_PER_S = 1000


def members(count: int) -> Iterator[Member]:
    """
    Yield agents; the first one is the one that is measured.
    """
    for number in range(count):
        yield Member(
            name=f'h{number}',
            incarnation=START_S * MS_PER_S + number,
            version=1,
            state=MemberState.ALIVE,
            address=address_of(number),
            availability_zone=f'az{number % ZONES}',
            stamp=START_S,
            router=f'h{number}',
            router_address=f'10.0.{number // SUBNET}.{number % SUBNET}:8000',
            router_incarnation='83e39ce43f0ebf47',
        )


def target_fact(number: int) -> TargetFact:
    """
    Return the facts that a target reports about itself.
    """
    return TargetFact(
        name=f'e{number}',
        incarnation=START_S,
        leaving=False,
        version=1,
        gone=False,
        kind=TargetKind.ENGINE,
        address=f'10.1.{number // SUBNET}.{number % SUBNET}:9100',
        availability_zone=f'az{number % ZONES}',
        serves=f'model-{number % 17}',
        last_layer=31,
        step_ms=20,
        stamp=START_S,
    )


def target_listing(fact: TargetFact) -> Listing:
    """
    Return a target's entry in the host list.
    """
    return Listing(
        fact.name,
        START_S,
        fact.incarnation,
        present=True,
        leaving=False,
        kind=fact.kind,
        address=fact.address,
        availability_zone=fact.availability_zone,
    )


class OneAgent:
    """
    Runs one agent at full size with simulated peers.

    :param agents: number of agents, including this one.
    :param targets: number of targets.
    """

    def __init__(self, agents: int, targets: int) -> None:
        self.now = float(START_S)
        self.usage = ResourceUsage()
        known = tuple(members(agents))
        self.agent = Membership(known[0], ())
        self._probes: list[StartProbe] = []
        self._facts = {
            fact.name: fact for fact in map(target_fact, range(targets))
        }
        self.handle(Start())
        peers = known[1 : LINKS + 1]
        for link, peer in enumerate(peers):
            self.handle(Opened(link, ''))
            self.receive(link, Hello(peer.name, peer.incarnation, peer.address))
        facts = (
            *known[1:],
            *self._facts.values(),
            *map(target_listing, self._facts.values()),
        )
        for start in range(0, len(facts), 400):
            self.receive(0, Delta(facts[start : start + 400]))
        self.links = len(peers)

    def receive(self, link: int, message: Message) -> None:
        """
        Pass a message to the agent as a frame in the product's own encoding.
        """
        frame = _pack(message)
        self.usage.received += len(frame)
        received = self.usage.measure(partial(_unpack, frame))
        for each in received:
            self.handle(Received(link, each))

    def handle(self, event: Event) -> None:
        """
        Pass an event to the agent and record the effects.
        """
        now = Instant(self.now, self.now)
        effects = self.usage.measure(
            partial(handle_event, event, self.agent, now)
        )
        self.usage.measure(partial(self.agent.pop_changed_targets, self.now))
        for effect in effects:
            if isinstance(effect, Send):
                frame = self.usage.measure(partial(_pack, effect.message))
                self.usage.sent += len(frame)
            elif isinstance(effect, StartProbe):
                self._probes.append(effect)

    def run_second(self, number: int) -> None:
        """
        Simulate one second with its usual messages, ticks and probes.

        :param number: of the second; determines the loads.
        """
        count = len(self._facts)
        for link in range(self.links):
            self.receive(link, Beat(self.agent.gossip.store.root))
        for tick in range(TICKS_PER_S):
            self.now += 1 / TICKS_PER_S
            turn = number * TICKS_PER_S + tick
            loads_per_tick = MAX_LOADS_PER_S // TICKS_PER_S
            loads = tuple(
                Load(
                    f'e{(turn * loads_per_tick + offset) % count}',
                    self.now + offset / 100,
                    turn % 16,
                )
                for offset in range(loads_per_tick)
            )
            # Half of the links bring the loads; the agent forwards them on the
            # others.
            for link in range(tick % 2, self.links, 2):
                self.receive(link, Delta(loads))
            self.handle(Tick())
        for probe in self._probes:
            self.usage.probes += 1
            outcome = ProbeResult(probe.name, self._facts[probe.name], 3)
            self.handle(Probed(outcome))
        self._probes.clear()


def _pack(message: Message) -> bytes:
    return pack_frame(to_body(message), KEYS)


def _unpack(frame: bytes) -> list[Message]:
    return [from_body(body) for body in FrameReader(KEYS).feed(frame)]
