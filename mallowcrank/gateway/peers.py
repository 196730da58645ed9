"""
Word between gateways: small datagrams, some a second.

A datagram says who is there, whether it takes callers, which desired state
it knows, and what its requests have reserved. All of it is repeated, so that
a lost one costs nothing. A gateway that falls silent is out of the directory
within a second, whatever the store says.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgpack

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.settings import Address, GatewaySettings
from mallowcrank.gateway.targets import HeldLayers

FORMAT = 1
MALFORMED = (ValueError, TypeError, IndexError, AttributeError)
PERIOD_S = 0.25  # between datagrams to each gateway
SILENT_S = 0.9  # some datagrams may be lost
FORGOTTEN_S = 30  # a gateway that is silent so long counts as gone
MOST_TOLD = 24  # gateways that one datagram goes to


@dataclass(frozen=True, slots=True)
class Word:
    """
    What one gateway says.

    :param incarnation: drawn at its start.
    :param takes_callers: whether the directory may name it.
    :param desired_version: the newest that it knows.
    :param holding: the generation in which it holds the duty, or 0.
    :param reserved: tokens x layers by engine.
    :param silent: targets that did not answer it.
    :param paces: factors on the usual times of targets that are slow.
    :param layers: what targets told that their entries may not show yet.
    """

    host: str
    incarnation: str
    zone: str
    front: Address
    gossip: Address
    peers: Address
    takes_callers: bool
    desired_version: int
    holding: int
    reserved: Mapping[str, float]
    silent: tuple[str, ...] = ()
    paces: Mapping[str, float] = field(default_factory=dict)
    layers: Mapping[str, HeldLayers] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Peer:
    """
    A gateway as it was last heard.

    :param heard: steady time, in seconds.
    """

    word: Word
    heard: float


def pack_word(word: Word) -> bytes:
    """
    Encode a datagram.
    """
    return msgpack.packb(
        [
            FORMAT,
            word.host,
            word.incarnation,
            word.zone,
            word.front.ip,
            [word.front.port, word.gossip.port, word.peers.port],
            word.takes_callers,
            word.desired_version,
            word.holding,
            {name: int(used) for name, used in word.reserved.items()},
            list(word.silent),
            dict(word.paces),
            {
                name: [held.first, held.end, held.version]
                for name, held in word.layers.items()
            },
        ]
    )


def read_word(raw: bytes) -> Word | None:
    """
    Decode a datagram; none where it is of another kind.
    """
    try:
        return _word(msgpack.unpackb(raw))
    except MALFORMED:
        return None


def _word(fields: list[Any]) -> Word | None:
    if fields[0] != FORMAT:
        return None
    ip = str(fields[4])
    told = fields[12].items()
    front, gossip, peers = (int(port) for port in fields[5])
    return Word(
        host=str(fields[1]),
        incarnation=str(fields[2]),
        zone=str(fields[3]),
        front=Address(ip, front),
        gossip=Address(ip, gossip),
        peers=Address(ip, peers),
        takes_callers=bool(fields[6]),
        desired_version=int(fields[7]),
        holding=int(fields[8]),
        reserved={str(key): float(used) for key, used in fields[9].items()},
        silent=tuple(str(each) for each in fields[10]),
        layers={str(key): HeldLayers(*held) for key, held in told},
        paces={str(key): float(pace) for key, pace in fields[11].items()},
    )


class Peers(asyncio.DatagramProtocol):
    """
    All gateways that this one hears.
    """

    def __init__(self, settings: GatewaySettings, journal: Journal) -> None:
        self._settings = settings
        self._journal = journal
        self._tell: Callable[[], Word] | None = None
        self._hear: Callable[[Word], None] = _ignore
        self._transport: asyncio.DatagramTransport | None = None
        self._heard: dict[Address, Peer] = {}
        self._hinted: dict[Address, float] = {}
        self._last_tick = monotonic_s()

    def listen(
        self, tell: Callable[[], Word], hear: Callable[[Word], None]
    ) -> None:
        """
        Set what is told to others, and who takes in their words.
        """
        self._tell = tell
        self._hear = hear

    def close(self) -> None:
        """
        Fall silent.
        """
        if self._transport:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """
        Take in the open socket.
        """
        self._transport = transport

    def datagram_received(self, raw: bytes, addr: tuple[str, int]) -> None:
        """
        Take in a datagram.
        """
        word = read_word(raw)
        if word is None or word.gossip == self._settings.gossip:
            return
        known = self._heard.get(word.gossip)
        if known is None or known.word.incarnation != word.incarnation:
            self._journal.say(
                'peers: heard', peer=word.host, incarnation=word.incarnation
            )
            self._send_to((word.gossip,))
        self._heard[word.gossip] = Peer(word, monotonic_s())
        self._hear(word)

    def hint(self, addresses: Iterable[Address]) -> None:
        """
        Tell addresses at which gateways may be.
        """
        now = monotonic_s()
        for address in addresses:
            if address != self._settings.gossip:
                self._hinted[address] = now

    def tell_all(self) -> None:
        """
        Send a datagram to all gateways.
        """
        now = monotonic_s()
        self._forget(now)
        self._send_to(
            sorted({*self._heard, *self._hinted}, key=str)[:MOST_TOLD]
        )

    def live(self) -> list[Peer]:
        """
        Return the gateways that were heard lately.
        """
        now = monotonic_s()
        return [
            peer for peer in self._heard.values() if now - peer.heard < SILENT_S
        ]

    def count(self) -> int:
        """
        Return how many gateways may be at work, this one included.
        """
        return 1 + len(self._heard)

    async def run(self) -> None:
        """
        Speak for good.
        """
        while True:
            self._allow_for_freeze()
            self.tell_all()
            await asyncio.sleep(PERIOD_S)

    def _allow_for_freeze(self) -> None:
        """
        Count no silence for the time in which this process stood still.
        """
        now = monotonic_s()
        stood_s = now - self._last_tick - 2 * PERIOD_S
        self._last_tick = now
        if stood_s > 0:
            self._heard = {
                address: Peer(peer.word, peer.heard + stood_s)
                for address, peer in self._heard.items()
            }

    def _forget(self, now: float) -> None:
        for address, peer in list(self._heard.items()):
            if now - peer.heard > FORGOTTEN_S:
                self._heard.pop(address)
                self._journal.say('peers: forgotten', peer=peer.word.host)
        for address, hinted_at in list(self._hinted.items()):
            if now - hinted_at > FORGOTTEN_S:
                self._hinted.pop(address)

    def _send_to(self, addresses: Iterable[Address]) -> None:
        if not self._transport or not self._tell:
            return
        raw = pack_word(self._tell())
        for address in addresses:
            self._transport.sendto(raw, (address.ip, address.port))


def _ignore(word: Word) -> None:
    """
    Stand in until a listener is set.
    """
