"""
Gossip between gateways: small status datagrams, several per second.

A status holds a gateway's addresses, whether it accepts callers, its version
of the desired state and the memory that its requests have reserved. A silent
gateway leaves the directory within seconds, independently of the store.

Each gateway sends its status to all others, to a limited number of them at
each interval.

The settings and the store name only some of the gateways. These pass on the
addresses of others.
"""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.datagrams import (
    GatewayStatus,
    pack_addresses,
    pack_status,
    read_addresses,
    read_status,
)
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.peer_table import Peer, PeerTable
from mallowcrank.gateway.settings import Address, GatewaySettings
from mallowcrank.gateway.status_rounds import (
    BROADCAST_INTERVAL_S,
    plan_rounds,
)

MAX_ADDRESSES = 64  # in a datagram, which then fits into an Ethernet frame


class Peers(asyncio.DatagramProtocol):
    """
    The other gateways, and the socket for datagrams to and from them.

    :ivar rounds: in which this gateway reaches the others.
    """

    def __init__(self, settings: GatewaySettings, journal: Journal) -> None:
        self._settings = settings
        self._journal = journal
        self._make_status: Callable[[], GatewayStatus] | None = None
        self._on_status: Callable[[GatewayStatus], None] = _ignore
        self._on_message: Callable[[bytes, Address], None] | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._table = PeerTable()
        self._random = Random()
        self.rounds = plan_rounds(0, 0)
        self._last_tick = monotonic_s()

    @property
    def liveness_timeout_s(self) -> float:
        """
        Return the seconds of silence after which no gateway is live.
        """
        return self.rounds.liveness_timeout_s

    def listen(
        self,
        make_status: Callable[[], GatewayStatus],
        on_status: Callable[[GatewayStatus], None],
        on_message: Callable[[bytes, Address], None] | None = None,
    ) -> None:
        """
        Set the callbacks for outgoing statuses and incoming datagrams.

        :param make_status: returns this gateway's current status.
        :param on_status: is called with each status that arrives.
        :param on_message: is called with each datagram that holds neither a
            status nor addresses, and its sender.
        """
        self._make_status = make_status
        self._on_status = on_status
        self._on_message = on_message

    def send(self, raw: bytes, recipient: Address) -> None:
        """
        Send a datagram to one gateway.
        """
        if self._transport:
            self._transport.sendto(raw, (recipient.ip, recipient.port))

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
        Record the content of a datagram, and answer a new gateway at once.
        """
        status = read_status(raw)
        if status is None:
            addresses = read_addresses(raw)
            self.add_candidates(addresses)
            if not addresses and self._on_message:
                self._on_message(raw, Address(*addr[:2]))
            return
        if status.gossip == self._settings.gossip:
            return
        if self._table.record(status, monotonic_s()):
            self._journal.say(
                'peers: heard', peer=status.host, incarnation=status.incarnation
            )
            self._send_status((status.gossip,))
            self.send(_address_sample(self.live(), self._random), status.gossip)
        self._on_status(status)

    def add_candidates(self, addresses: Iterable[Address]) -> None:
        """
        Add addresses at which other gateways may be listening.
        """
        mine = self._settings.gossip
        self._table.add_candidates(
            [address for address in addresses if address != mine], monotonic_s()
        )

    def broadcast(self) -> None:
        """
        Send this gateway's status to all gateways and candidates at once.
        """
        self._send_status(self._table.addresses)

    def live(self) -> list[Peer]:
        """
        Return the gateways whose last status is recent.
        """
        now = monotonic_s()
        return self._table.live(
            self._settings.zone,
            now - self.rounds.zone.liveness_timeout_s,
            now - self.rounds.other.liveness_timeout_s,
        )

    def count(self) -> int:
        """
        Return how many gateways may be running, including this one.
        """
        return 1 + len(self._table.addresses)

    async def run(self) -> None:
        """
        Broadcast the status until cancelled.
        """
        while True:
            self.tick()
            await asyncio.sleep(BROADCAST_INTERVAL_S)

    def tick(self) -> None:
        """
        Send the datagrams that are due; is called at each interval.

        Time in which this process was frozen doesn't count as silence of the
        others.
        """
        now = monotonic_s()
        frozen_s = now - self._last_tick - 2 * BROADCAST_INTERVAL_S
        self._last_tick = now
        if frozen_s > 0:
            self._table.shift(frozen_s)
        zone, others = self._table.split(self._settings.zone)
        self.rounds = plan_rounds(len(zone), len(others))
        live = self.live()
        for peer in self._table.drop_expired(now, 1 + len(live)):
            self._journal.say('peers: forgotten', peer=peer.last_status.host)
        self._send_status(
            address
            for group, group_round in (
                (zone, self.rounds.zone),
                (others, self.rounds.other),
            )
            for address in self._table.longest_unsent(
                group,
                group_round.recipients,
                # Those that a broadcast has reached in this round are spared.
                now - group_round.duration_s + BROADCAST_INTERVAL_S / 2,
            )
        )
        if live:
            recipient = self._random.choice(live).last_status.gossip
            self.send(_address_sample(live, self._random), recipient)

    def _send_status(self, addresses: Iterable[Address]) -> None:
        if not self._transport or not self._make_status:
            return
        raw = pack_status(self._make_status())
        now = monotonic_s()
        for address in addresses:
            self._table.record_send(address, now)
            self.send(raw, address)


def is_isolated(peers: Peers) -> bool:
    """
    Return whether a gateway hears fewer than half of the others.
    """
    return 2 * len(peers.live()) + 1 < peers.count()


def _address_sample(live: Iterable[Peer], random: Random) -> bytes:
    """
    Return a datagram of some addresses of gateways, chosen at random.
    """
    addresses = [peer.last_status.gossip for peer in live]
    return pack_addresses(
        random.sample(addresses, min(MAX_ADDRESSES, len(addresses)))
    )


def _ignore(status: GatewayStatus) -> None:
    """
    Do nothing; the default until a callback is set.
    """
