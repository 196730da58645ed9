"""
Expiry of facts.
"""

from functools import singledispatch

from mallowcrank.membership.facts import (
    Demand,
    Fact,
    Hold,
    Listing,
    Load,
    Member,
    MemberState,
    Observation,
    TargetFact,
)

TOMBSTONE_TTL_S = 3600  # for dead, gone, unlisted or outdated subjects
OBSERVATION_TTL_S = 30
NEVER = float('inf')


@singledispatch
def expires_at(fact: Fact) -> float:
    """
    Return when a fact expires, in seconds since the epoch.
    """
    return NEVER


@expires_at.register
def _(fact: Member) -> float:
    return (
        fact.stamp + TOMBSTONE_TTL_S
        if fact.state == MemberState.DEAD
        else NEVER
    )


@expires_at.register
def _(fact: TargetFact) -> float:
    return fact.stamp + TOMBSTONE_TTL_S if fact.gone else NEVER


@expires_at.register
def _(fact: Listing) -> float:
    return NEVER if fact.present else fact.stamp + TOMBSTONE_TTL_S


@expires_at.register
def _(fact: Hold) -> float:
    return fact.until + TOMBSTONE_TTL_S


@expires_at.register
def _(fact: Observation) -> float:
    return fact.stamp + OBSERVATION_TTL_S


@expires_at.register
def _(fact: Load) -> float:
    return fact.stamp + TOMBSTONE_TTL_S


@expires_at.register
def _(fact: Demand) -> float:
    return fact.stamp + TOMBSTONE_TTL_S


def is_in_digest(fact: Fact) -> bool:
    """
    Return whether digests cover a fact.

    Observations, loads and demands are short-lived and not reconciled.
    """
    return not isinstance(fact, (Observation, Load, Demand))
