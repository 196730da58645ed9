"""
Gossip between gateways: small status datagrams, several per second.

A datagram holds a gateway's addresses, whether it accepts callers, its version
of the desired state and the memory that its requests have reserved. Each one
is complete, so that a lost datagram does no harm. A silent gateway leaves the
directory within a second, independently of the store.
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

FORMAT_VERSION = 1
DECODE_ERRORS = (ValueError, TypeError, IndexError, AttributeError)
BROADCAST_INTERVAL_S = 0.25
LIVENESS_TIMEOUT_S = 0.9  # allows for a few lost datagrams
EXPIRY_S = 30  # a gateway that is silent for longer counts as gone
MAX_RECIPIENTS = 24


@dataclass(frozen=True, slots=True)
class GatewayStatus:
    """
    The status that one gateway sends to the others.

    :param incarnation: random id of the process.
    :param front: where callers connect.
    :param gossip: where it receives datagrams.
    :param peers: where it answers other gateways over TCP.
    :param accepts_callers: whether the directory may list it.
    :param desired_version: its newest version of the desired state.
    :param leader_generation: the generation in which it leads, or 0.
    :param reserved: tokens x layers by engine.
    :param unresponsive_targets: identities of targets that don't answer it.
    :param paces: factors on the usual times of slow targets, by identity.
    :param layers: layers that targets reported and that their entries may
        not show yet, by identity.
    """

    host: str
    incarnation: str
    zone: str
    front: Address
    gossip: Address
    peers: Address
    accepts_callers: bool
    desired_version: int
    leader_generation: int
    reserved: Mapping[str, float]
    unresponsive_targets: tuple[str, ...] = ()
    paces: Mapping[str, float] = field(default_factory=dict)
    layers: Mapping[str, HeldLayers] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Peer:
    """
    Another gateway, with its last status.

    :param received_at: steady time of that status, in seconds.
    """

    last_status: GatewayStatus
    received_at: float


def pack_status(status: GatewayStatus) -> bytes:
    """
    Encode a status as a datagram.
    """
    return msgpack.packb(
        [
            FORMAT_VERSION,
            status.host,
            status.incarnation,
            status.zone,
            status.front.ip,
            [status.front.port, status.gossip.port, status.peers.port],
            status.accepts_callers,
            status.desired_version,
            status.leader_generation,
            {name: int(used) for name, used in status.reserved.items()},
            list(status.unresponsive_targets),
            dict(status.paces),
            {
                name: [held.first, held.end, held.version]
                for name, held in status.layers.items()
            },
        ]
    )


def read_status(raw: bytes) -> GatewayStatus | None:
    """
    Decode a datagram.

    :returns: the status, or None if the datagram is malformed or of another
        format version.
    """
    try:
        return _decode(msgpack.unpackb(raw))
    except DECODE_ERRORS:
        return None


def _decode(fields: list[Any]) -> GatewayStatus | None:
    if fields[0] != FORMAT_VERSION:
        return None
    ip = str(fields[4])
    reported_layers = fields[12].items()
    front, gossip, peers = (int(port) for port in fields[5])
    return GatewayStatus(
        host=str(fields[1]),
        incarnation=str(fields[2]),
        zone=str(fields[3]),
        front=Address(ip, front),
        gossip=Address(ip, gossip),
        peers=Address(ip, peers),
        accepts_callers=bool(fields[6]),
        desired_version=int(fields[7]),
        leader_generation=int(fields[8]),
        reserved={str(key): float(used) for key, used in fields[9].items()},
        unresponsive_targets=tuple(str(each) for each in fields[10]),
        layers={str(key): HeldLayers(*held) for key, held in reported_layers},
        paces={str(key): float(pace) for key, pace in fields[11].items()},
    )


class Peers(asyncio.DatagramProtocol):
    """
    The other gateways, and the socket for datagrams to and from them.
    """

    def __init__(self, settings: GatewaySettings, journal: Journal) -> None:
        self._settings = settings
        self._journal = journal
        self._make_status: Callable[[], GatewayStatus] | None = None
        self._on_status: Callable[[GatewayStatus], None] = _ignore
        self._transport: asyncio.DatagramTransport | None = None
        self._known: dict[Address, Peer] = {}
        self._candidates: dict[Address, float] = {}
        self._last_tick = monotonic_s()

    def listen(
        self,
        make_status: Callable[[], GatewayStatus],
        on_status: Callable[[GatewayStatus], None],
    ) -> None:
        """
        Set the callbacks for outgoing and incoming statuses.

        :param make_status: returns this gateway's current status.
        :param on_status: is called with each status that arrives.
        """
        self._make_status = make_status
        self._on_status = on_status

    def close(self) -> None:
        """
        Close the socket.
        """
        if self._transport:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """
        Keep the open socket.
        """
        self._transport = transport

    def datagram_received(self, raw: bytes, addr: tuple[str, int]) -> None:
        """
        Record the status in a datagram, and answer a new gateway at once.
        """
        status = read_status(raw)
        if status is None or status.gossip == self._settings.gossip:
            return
        known = self._known.get(status.gossip)
        if known is None or known.last_status.incarnation != status.incarnation:
            self._journal.say(
                'peers: heard', peer=status.host, incarnation=status.incarnation
            )
            self._send_to((status.gossip,))
        self._known[status.gossip] = Peer(status, monotonic_s())
        self._on_status(status)

    def add_candidates(self, addresses: Iterable[Address]) -> None:
        """
        Add addresses at which other gateways may be listening.
        """
        now = monotonic_s()
        for address in addresses:
            if address != self._settings.gossip:
                self._candidates[address] = now

    def broadcast(self) -> None:
        """
        Send this gateway's status to all gateways and candidates.
        """
        now = monotonic_s()
        self._drop_expired(now)
        self._send_to(
            sorted({*self._known, *self._candidates}, key=str)[:MAX_RECIPIENTS]
        )

    def live(self) -> list[Peer]:
        """
        Return the gateways whose last status is recent.
        """
        now = monotonic_s()
        return [
            peer
            for peer in self._known.values()
            if now - peer.received_at < LIVENESS_TIMEOUT_S
        ]

    def count(self) -> int:
        """
        Return how many gateways may be running, including this one.
        """
        return 1 + len(self._known)

    async def run(self) -> None:
        """
        Broadcast the status until cancelled.
        """
        while True:
            self.tick()
            await asyncio.sleep(BROADCAST_INTERVAL_S)

    def tick(self) -> None:
        """
        Send the statuses that are due; is called at each interval.
        """
        self._discount_freeze()
        self.broadcast()

    def _discount_freeze(self) -> None:
        """
        Don't count time in which this process was frozen as silence.
        """
        now = monotonic_s()
        frozen_s = now - self._last_tick - 2 * BROADCAST_INTERVAL_S
        self._last_tick = now
        if frozen_s > 0:
            self._known = {
                address: Peer(peer.last_status, peer.received_at + frozen_s)
                for address, peer in self._known.items()
            }

    def _drop_expired(self, now: float) -> None:
        for address, peer in list(self._known.items()):
            if now - peer.received_at > EXPIRY_S:
                self._known.pop(address)
                self._journal.say(
                    'peers: forgotten', peer=peer.last_status.host
                )
        for address, added_at in list(self._candidates.items()):
            if now - added_at > EXPIRY_S:
                self._candidates.pop(address)

    def _send_to(self, addresses: Iterable[Address]) -> None:
        if not self._transport or not self._make_status:
            return
        raw = pack_status(self._make_status())
        for address in addresses:
            self._transport.sendto(raw, (address.ip, address.port))


def _ignore(status: GatewayStatus) -> None:
    """
    Do nothing; the default until a callback is set.
    """
