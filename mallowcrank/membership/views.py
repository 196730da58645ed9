"""
Views of targets and routers, combined from all facts about them.
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
    All facts about one target.

    :param is_suspected: whether this agent itself suspects the target.
    """

    fact: TargetFact
    listing: Listing | None
    hold: Hold | None
    is_suspected: bool


def state_of(known: KnownTarget, wall: float) -> TargetState:
    """
    Return the state of a target as routers receive it.

    A target's own announcement that it is leaving is valid for its
    incarnation. The host list lags and may refer to an older incarnation, so
    its entry is valid only up to the incarnation that its reader knew.

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
    entry = known.listing
    return (
        entry is not None
        and entry.present
        and entry.leaving
        and entry.incarnation >= known.fact.incarnation
    )


def _is_held(hold: Hold | None, wall: float) -> bool:
    return hold is not None and hold.active and wall < hold.until


def target_of(known: KnownTarget, load: int, wall: float) -> Target:
    """
    Return a target in the form that routers receive.

    :param wall: seconds since the epoch.
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
    Return a router in the form that other routers receive.
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
    Yield the entries of the host list that have changed.

    :param hosts: the whole list.
    :param wall: when the list was read, in seconds since the epoch.
    """
    listed_hosts = {host.name: host for host in hosts}
    for host in listed_hosts.values():
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
        if known.present and known.name not in listed_hosts:
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
