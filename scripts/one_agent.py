"""
One agent at full size in virtual time, whose peers are played from outside.

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
from scripts.virtual_network import Used
from scripts.virtual_time import START

KEYS = KeyRing(1, {1: b'measured'})
TICKS_PER_S = 4
LINKS = 8
ZONES = 28
SUBNET = 250
MS_PER_S = 1000


def members(count: int) -> Iterator[Member]:
    """
    Yield agents, the first one being the one that is measured.
    """
    for number in range(count):
        yield Member(
            name=f'h{number}',
            incarnation=START * MS_PER_S + number,
            version=1,
            state=MemberState.ALIVE,
            address=address_of(number),
            availability_zone=f'az{number % ZONES}',
            stamp=START,
            router=f'h{number}',
            router_address=f'10.0.{number // SUBNET}.{number % SUBNET}:8000',
            router_incarnation='83e39ce43f0ebf47',
        )


def described(number: int) -> TargetFact:
    """
    Return what a target says of itself.
    """
    return TargetFact(
        name=f'e{number}',
        incarnation=START,
        leaving=False,
        version=1,
        gone=False,
        kind=TargetKind.ENGINE,
        address=f'10.1.{number // SUBNET}.{number % SUBNET}:9100',
        availability_zone=f'az{number % ZONES}',
        serves=f'model-{number % 17}',
        last_layer=31,
        step_ms=20,
        stamp=START,
    )


def listed(fact: TargetFact) -> Listing:
    """
    Return what the host list says of a target.
    """
    return Listing(
        fact.name,
        START,
        fact.incarnation,
        present=True,
        leaving=False,
        kind=fact.kind,
        address=fact.address,
        availability_zone=fact.availability_zone,
    )


class OneAgent:
    """
    One agent at full size; its peers are played from outside.
    """

    def __init__(self, agents: int, targets: int) -> None:
        self.now = float(START)
        self.used = Used()
        known = tuple(members(agents))
        self.agent = Membership(known[0], ())
        self._probes: list[StartProbe] = []
        self._facts = {
            fact.name: fact for fact in map(described, range(targets))
        }
        self.tell(Start())
        peers = known[1 : LINKS + 1]
        for link, peer in enumerate(peers):
            self.tell(Opened(link, ''))
            self.hear(link, Hello(peer.name, peer.incarnation, peer.address))
        lasting = (
            *known[1:],
            *self._facts.values(),
            *map(listed, self._facts.values()),
        )
        for start in range(0, len(lasting), 400):
            self.hear(0, Delta(lasting[start : start + 400]))
        self.links = len(peers)

    def hear(self, link: int, message: Message) -> None:
        """
        Let the agent receive a really packed frame.
        """
        frame = _pack(message)
        self.used.received += len(frame)
        received = self.used.timed(partial(_unpack, frame))
        for each in received:
            self.tell(Received(link, each))

    def tell(self, event: Event) -> None:
        """
        Let the agent take in an event.
        """
        now = Instant(self.now, self.now)
        effects = self.used.timed(partial(handle_event, event, self.agent, now))
        self.used.timed(partial(self.agent.pop_changed_targets, self.now))
        for effect in effects:
            if isinstance(effect, Send):
                frame = self.used.timed(partial(_pack, effect.message))
                self.used.sent += len(frame)
            elif isinstance(effect, StartProbe):
                self._probes.append(effect)

    def second(self, number: int) -> None:
        """
        Let one second pass, with what an ordinary second brings.
        """
        count = len(self._facts)
        for link in range(self.links):
            self.hear(link, Beat(self.agent.gossip.store.root))
        for tick in range(TICKS_PER_S):
            self.now += 1 / TICKS_PER_S
            turn = number * TICKS_PER_S + tick
            part = MAX_LOADS_PER_S // TICKS_PER_S
            loads = tuple(
                Load(
                    f'e{(turn * part + place) % count}',
                    self.now + place / 100,
                    turn % 16,
                )
                for place in range(part)
            )
            # Half of the connections bring the news, the others are told.
            for link in range(tick % 2, self.links, 2):
                self.hear(link, Delta(loads))
            self.tell(Tick())
        for probe in self._probes:
            self.used.probes += 1
            outcome = ProbeResult(probe.name, self._facts[probe.name], 3)
            self.tell(Probed(outcome))
        self._probes.clear()


def _pack(message: Message) -> bytes:
    return pack_frame(to_body(message), KEYS)


def _unpack(frame: bytes) -> list[Message]:
    return [from_body(body) for body in FrameReader(KEYS).feed(frame)]
