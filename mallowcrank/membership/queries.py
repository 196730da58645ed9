"""
Queries on a store of facts.
"""

from collections.abc import Collection

from mallowcrank.membership.facts import (
    Demand,
    Hold,
    Listing,
    Load,
    Member,
    MemberState,
    Observation,
    TargetFact,
)
from mallowcrank.membership.keys import observations_of
from mallowcrank.membership.store import FactStore


def member(store: FactStore, name: str) -> Member | None:
    """
    Return an agent by name.
    """
    return store.get(('m', name))


def members(store: FactStore) -> tuple[Member, ...]:
    """
    Return all known agents.
    """
    return store.of_kind('m')


def live_agents(store: FactStore) -> dict[str, str]:
    """
    Return the live agents with their availability zones.
    """
    return {
        each.name: each.availability_zone
        for each in members(store)
        if each.state == MemberState.ALIVE
    }


def target(store: FactStore, name: str) -> TargetFact | None:
    """
    Return the description that a target reported.
    """
    return store.get(('t', name))


def targets(store: FactStore) -> tuple[TargetFact, ...]:
    """
    Return the descriptions of all targets that reported one.
    """
    return store.of_kind('t')


def listing(store: FactStore, name: str) -> Listing | None:
    """
    Return a target's entry in the host list.
    """
    return store.get(('h', name))


def listings(store: FactStore) -> tuple[Listing, ...]:
    """
    Return the entries of all targets in the host list.
    """
    return store.of_kind('h')


def hold(store: FactStore, name: str) -> Hold | None:
    """
    Return the last known hold on a target.
    """
    return store.get(('x', name))


def load(store: FactStore, name: str) -> int:
    """
    Return the last known load of a target, or of a `router:NAME`.
    """
    known: Load | None = store.get(('l', name))
    return known.load if known else 0


def demand(store: FactStore, router: str) -> Demand | None:
    """
    Return the last known demand of a router's callers.
    """
    return store.get(('d', router))


def observations(store: FactStore, subject: str) -> tuple[Observation, ...]:
    """
    Return all observations of a subject.
    """
    return store.of_kind(observations_of(subject))


def other_addresses(
    store: FactStore, name: str, connected: Collection[str]
) -> tuple[str, ...]:
    """
    Return the addresses of other agents, connected ones first.

    :param name: the agent to leave out.
    :param connected: names of the agents that it is connected to.
    """
    others = [
        each
        for each in members(store)
        if each.name != name and each.state != MemberState.DEAD
    ]
    others.sort(key=lambda each: each.name not in connected)
    return tuple(each.address for each in others)
