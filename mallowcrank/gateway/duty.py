"""
Who is in the group of gateways, and who of them holds the duty of placing.

Membership is a lease in the store's group; its first partition is the duty.
A new holder shuts out those before it by the group's generation. Orders are
absolute and name the state that they were made for, so that two holders for
a moment do no harm.
"""

import asyncio
from collections.abc import Sequence
from http import HTTPStatus
from random import Random

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.followers import Pauses
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.peers import Peers, Word
from mallowcrank.gateway.ports import DecodeFailure, Vocabulary
from mallowcrank.gateway.settings import Address, GatewaySettings
from mallowcrank.gateway.store_client import StoreClient, StoreResponse

GROUP = 'mallowcrank'
PERIOD_S = 1.0  # between renewals
LEASE_S = 3.0  # three renewals
TAKEOVER_S = 1.2  # without word of a holder; it speaks four times a second
ALONE_S = 20  # the last holder goes on while the store answers nobody
DUTY_PARTITION = 0
SEPARATOR = '/'


def takes_over(mine: str, others: Sequence[Word], alone_s: float) -> bool:
    """
    Return whether a gateway acts for a holder that nobody knows.

    The duty is passed on when a lease ends, and not at all while the store
    answers nobody. Until then the first of the gateways that hear each other
    acts, those aside that stop or know too little to take callers. Two of
    them do no harm: orders are absolute and name the state that they were
    made for.

    :param alone_s: how long this gateway has known no holder.
    """
    if alone_s < TAKEOVER_S or any(word.holding for word in others):
        return False
    able = [word.host for word in others if word.takes_callers]
    return all(mine < host for host in able)


def member_name(settings: GatewaySettings, incarnation: str) -> str:
    """
    Return the name in the group, which tells others where to speak to it.
    """
    return SEPARATOR.join((settings.host, incarnation, str(settings.gossip)))


class Duty:
    """
    This gateway's part in the group.
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
        self._calls = vocabulary.store
        self._peers = peers
        self._journal = journal
        self._pauses = Pauses(Random())
        self._generation = 0
        self._holds = False
        self._has_left = False
        self._turn = asyncio.Lock()
        self._renewed_at = -ALONE_S
        self._known_generation = -1
        self._lease_s = max(LEASE_S, settings.min_lease_s)

    @property
    def holding(self) -> int:
        """
        Return the generation in which this gateway holds the duty, or 0.
        """
        if not self._holds:
            return 0
        since_s = monotonic_s() - self._renewed_at
        allowed_s = ALONE_S if self._link.unavailable_since else self._lease_s
        return self._generation if since_s < allowed_s else 0

    def hear(self, word: Word) -> None:
        """
        Give the duty up where another one holds it later.
        """
        if self._holds and word.holding > self._generation:
            self._lose('another holds it', by=word.host)

    async def run(self) -> None:
        """
        Stay in the group until it is left.
        """
        while not self._has_left:
            if await self.renew():
                self._pauses.clear()
                await asyncio.sleep(PERIOD_S)
            else:
                await self._pauses.wait()

    async def renew(self) -> bool:
        """
        Renew the lease once, unless the group was left.

        :returns: whether this gateway is a member.
        """
        async with self._turn:
            return not self._has_left and await self._renew()

    async def leave(self) -> None:
        """
        Leave the group for good: a renewal would join it again.
        """
        self._holds = False
        self._has_left = True
        async with self._turn:
            self._holds = False
            await self._link.call(
                'leave', self._calls.leave(GROUP, self._member)
            )

    async def _renew(self) -> bool:
        asked_at = monotonic_s()
        answer = await self._link.call(
            'join',
            self._calls.join(
                GROUP,
                self._member,
                int(self._lease_s * 1000),
                self._generation,
            ),
        )
        if not isinstance(answer, StoreResponse):
            return False
        joined = self._calls.decode_membership(answer.body)
        if answer.status != HTTPStatus.OK or isinstance(joined, DecodeFailure):
            return False
        self._generation = joined.generation
        self._renewed_at = asked_at
        holds = any(part == DUTY_PARTITION for _, part in joined.owned)
        if holds and not self._holds:
            await self._gain()
        elif self._holds and not holds:
            self._lose('passed on')
        if joined.generation != self._known_generation:
            await self._learn_members(joined.generation)
        return True

    async def _gain(self) -> None:
        answer = await self._link.call(
            'fence', self._calls.fence(GROUP, self._generation)
        )
        if not isinstance(answer, StoreResponse):
            return
        if answer.status == HTTPStatus.CONFLICT:
            self._journal.say('duty: fenced', generation=self._generation)
            return
        self._holds = True
        self._journal.say('duty: gained', generation=self._generation)

    def _lose(self, why: str, **fields: object) -> None:
        self._holds = False
        self._journal.say(
            'duty: lost', why=why, generation=self._generation, **fields
        )

    async def _learn_members(self, generation: int) -> None:
        answer = await self._link.call('owners', self._calls.owners(GROUP))
        if not isinstance(answer, StoreResponse):
            return
        members = self._calls.decode_owners(answer.body)
        if answer.status != HTTPStatus.OK or isinstance(members, DecodeFailure):
            return
        self._known_generation = generation
        self._peers.hint(
            address for address in map(_address, members) if address
        )
        self._peers.tell_all()


def _address(member: str) -> Address | None:
    ip, _, port = member.rpartition(SEPARATOR)[2].rpartition(':')
    return Address(ip, int(port)) if ip and port.isdigit() else None
