"""
Membership in the group of gateways, and which of them leads.

The leader places layers. Membership is a lease in a group of the store; the
owner of the group's first partition is the leader. A new leader fences off
earlier ones by the group's generation. Two leaders for a moment do no harm:
orders are absolute and name the state that they were made for.
"""

import asyncio
from collections.abc import Sequence
from http import HTTPStatus
from math import inf
from random import Random

from mallowcrank.gateway.addresses import parse_address
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.datagrams import GatewayStatus
from mallowcrank.gateway.followers import Backoff
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.peers import Peers, is_isolated
from mallowcrank.gateway.ports import DecodeFailure, Vocabulary
from mallowcrank.gateway.settings import Address, GatewaySettings
from mallowcrank.gateway.store_client import StoreClient, StoreResponse

GROUP = 'mallowcrank'
RENEWAL_INTERVAL_S = 1.0
LEASE_S = 3.0  # three renewals
# Of members that own no partition, as there are more members than partitions:
# none of them leads before its next renewal.
SPARE_RENEWAL_INTERVAL_S = 4.0
SPARE_LEASE_S = 12.0
MIN_TAKEOVER_DELAY_S = 1.2
# Between reads of the members, unless isolated; more of them read less often,
# as they tell each other whom they know.
MEMBERS_INTERVAL_S = 10
MEMBERS_READERS = 8
OUTAGE_LEASE_S = 20  # the last leader goes on during a store outage
LEADER_PARTITION = 0
SEPARATOR = '/'


def should_take_over(
    mine: str,
    others: Sequence[GatewayStatus],
    leaderless_s: float,
    liveness_timeout_s: float = 0,
) -> bool:
    """
    Return whether a gateway acts as the leader while there is none.

    The store names a new leader only when a lease ends, and none during an
    outage. Until then the gateway whose host sorts first acts, among those
    that reach each other and targets, and accept callers. Two acting gateways do no harm:
    orders are absolute and name the state that they were made for.

    :param mine: this gateway's host.
    :param others: the statuses of the other live gateways.
    :param leaderless_s: seconds for which this gateway has known no leader.
    :param liveness_timeout_s: seconds for which a live leader may be silent.
    """
    delay_s = max(MIN_TAKEOVER_DELAY_S, liveness_timeout_s)
    if leaderless_s < delay_s or any(
        status.leader_generation for status in others
    ):
        return False
    candidates = [
        status.host
        for status in others
        if status.accepts_callers and not status.is_cut_off
    ]
    return all(mine < host for host in candidates)


def member_name(settings: GatewaySettings, incarnation: str) -> str:
    """
    Return a gateway's name in the group, which contains its gossip address.
    """
    return SEPARATOR.join((settings.host, incarnation, str(settings.gossip)))


class Leadership:
    """
    This gateway's membership in the group, and its leadership.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        member: str,
        link: StoreClient,
        vocabulary: Vocabulary,
        peers: Peers,
        journal: Journal,
    ) -> None:
        self._member = member
        self._link = link
        self._store_calls = vocabulary.store
        self._peers = peers
        self._journal = journal
        self._backoff = Backoff(Random())
        self._generation = 0
        self._era = 0  # of the store, in which the generation holds
        self._is_leader = False
        self._has_left = False
        self._renewal_lock = asyncio.Lock()
        self._renewed_at = -OUTAGE_LEASE_S
        self._known_generation = -1
        self._members_read_at = -inf
        self._min_lease_s = settings.min_lease_s
        self._is_spare = False

    @property
    def leader_generation(self) -> int:
        """
        Return the generation in which this gateway leads, or 0.
        """
        if not self._is_leader:
            return 0
        renewed_ago_s = monotonic_s() - self._renewed_at
        allowed_s = (
            OUTAGE_LEASE_S if self._link.unavailable_since else self.lease_s
        )
        return self._generation if renewed_ago_s < allowed_s else 0

    @property
    def renewal_interval_s(self) -> float:
        """
        Return the seconds until the next renewal.
        """
        return (
            SPARE_RENEWAL_INTERVAL_S if self._is_spare else RENEWAL_INTERVAL_S
        )

    @property
    def lease_s(self) -> float:
        """
        Return the seconds after which the membership lapses.
        """
        lease_s = SPARE_LEASE_S if self._is_spare else LEASE_S
        return max(lease_s, self._min_lease_s)

    def handle_status(self, status: GatewayStatus) -> None:
        """
        Step down if another gateway leads in a later generation.

        The store may give out a generation again in a later era.
        """
        if not self._is_leader or not status.leader_generation:
            return
        era = status.entries.position.era if status.entries else self._era
        if (era, status.leader_generation) > (self._era, self._generation):
            self._step_down('another gateway leads', by=status.host)

    async def run(self) -> None:
        """
        Renew the membership until this gateway leaves the group.
        """
        while not self._has_left:
            if await self.renew():
                self._backoff.reset()
                await asyncio.sleep(self.renewal_interval_s)
            else:
                await self._backoff.wait()

    async def renew(self) -> bool:
        """
        Renew the lease once, unless this gateway has left the group.

        :returns: whether this gateway is a member.
        """
        async with self._renewal_lock:
            return not self._has_left and await self._renew()

    async def leave(self) -> None:
        """
        Leave the group, and renew no more: a renewal would join it again.
        """
        self._is_leader = False
        self._has_left = True
        async with self._renewal_lock:
            self._is_leader = False
            await self._link.call(
                'leave', self._store_calls.leave(GROUP, self._member)
            )

    async def _renew(self) -> bool:
        sent_at = monotonic_s()
        answer = await self._link.call(
            'join',
            self._store_calls.join(
                GROUP,
                self._member,
                int(self.lease_s * 1000),
                self._generation,
            ),
        )
        if not isinstance(answer, StoreResponse):
            return False
        joined = self._store_calls.decode_membership(answer.body)
        if answer.status != HTTPStatus.OK or isinstance(joined, DecodeFailure):
            return False
        self._generation = joined.generation
        self._era = answer.era
        self._renewed_at = sent_at
        self._is_spare = not joined.owned
        owns_leadership = any(
            part == LEADER_PARTITION for _, part in joined.owned
        )
        if owns_leadership and not self._is_leader:
            await self._become_leader()
        elif self._is_leader and not owns_leadership:
            self._step_down('the store named another leader')
        if self._should_read_members(joined.generation):
            await self._read_members(joined.generation)
        return True

    async def _become_leader(self) -> None:
        answer = await self._link.call(
            'fence', self._store_calls.fence(GROUP, self._generation)
        )
        if not isinstance(answer, StoreResponse):
            return
        if answer.status == HTTPStatus.CONFLICT:
            self._journal.say('duty: fenced', generation=self._generation)
            return
        self._is_leader = True
        self._journal.say('duty: gained', generation=self._generation)

    def _step_down(self, reason: str, **fields: object) -> None:
        self._is_leader = False
        self._journal.say(
            'duty: lost', why=reason, generation=self._generation, **fields
        )

    def _should_read_members(self, generation: int) -> bool:
        """
        Return whether members may have come that this gateway doesn't know.

        Gateways that hear each other pass on the addresses of new ones.
        """
        if generation == self._known_generation:
            return False
        read_ago_s = monotonic_s() - self._members_read_at
        interval_s = MEMBERS_INTERVAL_S * max(
            1, self._peers.count() / MEMBERS_READERS
        )
        return read_ago_s > interval_s or is_isolated(self._peers)

    async def _read_members(self, generation: int) -> None:
        answer = await self._link.call(
            'owners', self._store_calls.owners(GROUP)
        )
        if not isinstance(answer, StoreResponse):
            return
        members = self._store_calls.decode_owners(answer.body)
        if answer.status != HTTPStatus.OK or isinstance(members, DecodeFailure):
            return
        self._known_generation = generation
        self._members_read_at = monotonic_s()
        self._peers.add_candidates(
            address for address in map(_address, members) if address
        )


def _address(member: str) -> Address | None:
    try:
        return parse_address(member.rpartition(SEPARATOR)[2])
    except ValueError:
        return None
