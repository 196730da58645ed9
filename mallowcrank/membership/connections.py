"""
Management of an agent's connections to its neighbours in the overlay.
"""

from collections.abc import Collection, Iterator

from mallowcrank.membership import queries
from mallowcrank.membership.events import Close, Connect, Effect, Instant
from mallowcrank.membership.facts import Member, MemberState
from mallowcrank.membership.links import Link
from mallowcrank.membership.overlay import neighbours
from mallowcrank.membership.store import FactStore

DIAL_RETRY_S = 0.5  # minimum time between dials of one address
RECONNECT_INTERVAL_S = 10  # between dials of dead agents and seeds
ISOLATED_INTERVAL_S = 1  # the same for an agent without connections
UNUSED_LINK_TTL_S = 10  # minimum age to close a link the overlay doesn't need


class ConnectionManager:
    """
    Keeps connections to this agent's neighbours in the overlay.

    To heal partitions, it also dials dead agents and seeds from time to time.

    :param local_member: this agent.
    :param seeds: addresses of the agents to contact first.
    """

    def __init__(
        self, local_member: Member, seeds: tuple[str, ...], store: FactStore
    ) -> None:
        self._local_member = local_member
        self._seeds = frozenset(seeds) - {local_member.address}
        self._store = store
        self._neighbours: set[str] | None = None
        self._dialing: set[str] = set()
        self._dialed_at: dict[str, float] = {}
        self._next_reconnect_at: float = 0
        self._reconnect_count = 0

    def members_changed(self) -> None:
        """
        Invalidate the cached neighbours.
        """
        self._neighbours = None

    def dial_finished(self, address: str) -> None:
        """
        Handle the end of a dial, successful or not.
        """
        self._dialing.discard(address)

    def update_connections(
        self, links: Collection[Link], now: Instant
    ) -> Iterator[Effect]:
        """
        Yield the effects that adapt the connections to the overlay.
        """
        if self._neighbours is None:
            live = queries.live_agents(self._store)
            self._neighbours = neighbours(self._local_member.name, live)
        for name in self._neighbours - {link.peer for link in links}:
            known = queries.member(self._store, name)
            if known is not None:
                yield from self._dial(known.address, links, now)
        for link in links:
            if self._is_unneeded(link, now):
                yield Close(link.number, 'the overlay has changed')
        yield from self._reconnect_lost(links, now)

    def _is_unneeded(self, link: Link, now: Instant) -> bool:
        return (
            link.is_outgoing
            and bool(link.peer)
            and link.peer not in (self._neighbours or ())
            and now.steady - link.opened_at > UNUSED_LINK_TTL_S
        )

    def _reconnect_lost(
        self, links: Collection[Link], now: Instant
    ) -> Iterator[Effect]:
        if now.steady < self._next_reconnect_at:
            return
        is_isolated = not any(link.peer for link in links)
        wait_s = ISOLATED_INTERVAL_S if is_isolated else RECONNECT_INTERVAL_S
        self._next_reconnect_at = now.steady + wait_s
        addresses = self._lost_addresses()
        if addresses:
            self._reconnect_count += 1
            address = addresses[self._reconnect_count % len(addresses)]
            yield from self._dial(address, links, now)

    def _lost_addresses(self) -> tuple[str, ...]:
        live, dead = set(), set()
        for each in queries.members(self._store):
            if each.state == MemberState.ALIVE:
                live.add(each.address)
            elif each.state == MemberState.DEAD:
                dead.add(each.address)
        return tuple(sorted((dead | self._seeds) - live))

    def _dial(
        self, address: str, links: Collection[Link], now: Instant
    ) -> Iterator[Effect]:
        is_pending = address in self._dialing or any(
            link.address == address for link in links
        )
        since_dialed_s = now.steady - self._dialed_at.get(address, 0)
        if is_pending or since_dialed_s < DIAL_RETRY_S:
            return
        self._dialing.add(address)
        self._dialed_at[address] = now.steady
        yield Connect(address)
