"""
The gateways that one gateway knows, and how long ago it heard them.

A part of the gateways that is taken for all of them is a fault in whatever is
divided among them. So addresses that may belong to a gateway count until they
have been silent for long, and longer still if most others are silent too: then
this gateway may be the one that is cut off.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from heapq import nsmallest
from math import inf

from mallowcrank.gateway.datagrams import GatewayStatus
from mallowcrank.gateway.settings import Address

EXPIRY_S = 30  # a gateway that is silent for longer counts as gone
ISOLATED_EXPIRY_S = 300  # if less than half of the gateways are heard


@dataclass(frozen=True, slots=True)
class Peer:
    """
    Another gateway, with its last status.

    :param received_at: steady time of that status, in seconds.
    """

    last_status: GatewayStatus
    received_at: float


class PeerTable:
    """
    The gateways that were heard, and candidates that were only named.
    """

    def __init__(self) -> None:
        self._heard: dict[Address, Peer] = {}
        self._candidates: dict[Address, float] = {}
        self._sent_at: dict[Address, float] = {}

    @property
    def addresses(self) -> set[Address]:
        """
        Return the addresses of all gateways and candidates.
        """
        return {*self._heard, *self._candidates}

    def live(
        self, zone: str, zone_since: float, other_since: float
    ) -> list[Peer]:
        """
        Return the gateways whose last status is recent.

        :param zone_since: for those of a zone; steady time, in seconds.
        :param other_since: for the others, if earlier; in seconds.
        """
        return [
            peer
            for peer in self._heard.values()
            if peer.received_at > zone_since
            or (
                peer.received_at > other_since and peer.last_status.zone != zone
            )
        ]

    def split(self, zone: str) -> tuple[set[Address], set[Address]]:
        """
        Return the addresses of the gateways of a zone, and all others.
        """
        inside = {
            address
            for address, peer in self._heard.items()
            if peer.last_status.zone == zone
        }
        return inside, self.addresses - inside

    def longest_unsent(
        self, addresses: Iterable[Address], limit: int, sent_before: float
    ) -> list[Address]:
        """
        Return those of some gateways to which the last status was sent longest
        ago.

        :param sent_before: steady time in seconds; gateways to which a status
            was sent later are left out.
        """
        return nsmallest(
            limit,
            (
                address
                for address in addresses
                if self._sent_at.get(address, -inf) < sent_before
            ),
            key=lambda address: (
                self._sent_at.get(address, -inf),
                str(address),
            ),
        )

    def record_send(self, address: Address, now: float) -> None:
        """
        Record that a status was sent to a gateway.

        :param now: steady time, in seconds.
        """
        self._sent_at[address] = now

    def add_candidates(self, addresses: Iterable[Address], now: float) -> None:
        """
        Add addresses at which other gateways may be listening.

        :param now: steady time, in seconds.
        """
        for address in addresses:
            self._candidates[address] = now

    def record(self, status: GatewayStatus, now: float) -> bool:
        """
        Record a gateway's status.

        :param now: steady time, in seconds.
        :returns: whether the gateway or its incarnation is new.
        """
        before = self._heard.get(status.gossip)
        self._heard[status.gossip] = Peer(status, now)
        return (
            before is None
            or before.last_status.incarnation != status.incarnation
        )

    def shift(self, seconds: float) -> None:
        """
        Count all gateways as heard later, after a freeze of this process.
        """
        self._heard = {
            address: replace(peer, received_at=peer.received_at + seconds)
            for address, peer in self._heard.items()
        }

    def drop_expired(self, now: float, live_count: int) -> list[Peer]:
        """
        Drop the gateways and candidates that count as gone.

        :param now: steady time, in seconds.
        :param live_count: number of gateways heard recently, including this
            one.
        :returns: the gateways that were dropped.
        """
        is_isolated = 2 * live_count < 1 + len(self.addresses)
        expiry_s = ISOLATED_EXPIRY_S if is_isolated else EXPIRY_S
        gone_since = now - expiry_s
        expired = [
            peer
            for peer in self._heard.values()
            if peer.received_at < gone_since
        ]
        for peer in expired:
            self._heard.pop(peer.last_status.gossip)
        self._candidates = {
            address: added_at
            for address, added_at in self._candidates.items()
            if added_at >= gone_since
        }
        known = self.addresses
        self._sent_at = {
            address: sent_at
            for address, sent_at in self._sent_at.items()
            if address in known
        }
        return expired
