"""
The joined view: host list, descriptions, holds and suspicion in one.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from mallowcrank.membership import queries
from mallowcrank.membership.facts import (
    Demand,
    Hold,
    Listing,
    Member,
    MemberState,
    TargetFact,
)
from mallowcrank.membership.store import FactStore
from mallowcrank.ports import ListedHost
from mallowcrank.view import Peer, Target, TargetKind, TargetState


@dataclass(frozen=True, slots=True)
class KnownTarget:
    """
    All that is known of one target.

    :param suspected: whether this host itself finds it failed.
    """

    fact: TargetFact
    listing: Listing | None
    hold: Hold | None
    is_suspected: bool


def state_of(known: KnownTarget, wall: float) -> TargetState:
    """
    Return what a router is told of a target.

    The target's own word that it is leaving holds for its incarnation. What
    the list says holds for the incarnation that the list's reader knew, as
    the list lags and may mean the one before.

    :param wall: seconds since the epoch.
    """
    if known.fact.gone:
        return TargetState.GONE
    if (
        known.fact.leaving
        or _is_listed_leaving(known)
        or _is_held(known.hold, wall)
    ):
        return TargetState.LEAVING
    return TargetState.SUSPECT if known.is_suspected else TargetState.LIVE


def _is_listed_leaving(known: KnownTarget) -> bool:
    listed = known.listing
    return (
        listed is not None
        and listed.present
        and listed.leaving
        and listed.incarnation >= known.fact.incarnation
    )


def _is_held(hold: Hold | None, wall: float) -> bool:
    return hold is not None and hold.active and wall < hold.until


def target_of(known: KnownTarget, load: int, wall: float) -> Target:
    """
    Return a target as a router is told of it.
    """
    fact = known.fact
    return Target(
        name=fact.name,
        kind=fact.kind,
        address=fact.address,
        availability_zone=fact.availability_zone,
        serves=fact.serves,
        incarnation=fact.incarnation,
        state=state_of(known, wall),
        first_layer=fact.first_layer,
        last_layer=fact.last_layer,
        step_ms=fact.step_ms,
        slots=fact.slots,
        load=load,
        version=fact.model_version,
    )


def peer_of(known: Member, load: int, demand: Demand | None) -> Peer:
    """
    Return a router as other routers are told of it.
    """
    has_demand = demand is not None and known.state == MemberState.ALIVE
    return Peer(
        name=known.router,
        address=known.router_address,
        availability_zone=known.availability_zone,
        incarnation=known.router_incarnation,
        leaving=known.router_leaving or known.state == MemberState.LEAVING,
        load=load,
        demand=dict(demand.parts) if has_demand else {},
    )


def changed_listings(
    store: FactStore, hosts: Iterable[ListedHost], wall: float
) -> Iterator[Listing]:
    """
    Yield what the host list says that is not known yet.

    :param hosts: the whole list.
    :param wall: seconds since the epoch when it was read.
    """
    listed = {host.name: host for host in hosts}
    for host in listed.values():
        known = queries.listing(store, host.name)
        fact = queries.target(store, host.name)
        listing = Listing(
            host.name,
            wall,
            fact.incarnation if fact else 0,
            present=True,
            leaving=host.leaving,
            kind=TargetKind(host.kind),
            address=host.address,
            availability_zone=host.availability_zone,
        )
        if known is None or _is_changed(known, listing):
            yield listing
    for known in queries.listings(store):
        if known.present and known.name not in listed:
            yield Listing(
                known.name,
                wall,
                known.incarnation,
                present=False,
                leaving=known.leaving,
                kind=known.kind,
                address=known.address,
                availability_zone=known.availability_zone,
            )


def _is_changed(known: Listing, listing: Listing) -> bool:
    return (
        known.present,
        known.leaving,
        known.address,
        known.kind,
        known.availability_zone,
    ) != (
        listing.present,
        listing.leaving,
        listing.address,
        listing.kind,
        listing.availability_zone,
    )
