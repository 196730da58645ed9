"""
The order of facts with the same key.

It is a total order, so that all agents converge to the same fact regardless of
the order of arrival.
"""

from dataclasses import astuple
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

Rank = tuple[float, ...]

_SEVERITY = (MemberState.ALIVE, MemberState.LEAVING, MemberState.DEAD)


@singledispatch
def rank_of(fact: Fact) -> Rank:
    """
    Return the rank of a fact among facts with the same key.

    :raises TypeError: when it is not a fact.
    """
    raise TypeError(f'not a fact: {fact!r}')


@rank_of.register
def _(fact: Member) -> Rank:
    return (fact.incarnation, _SEVERITY.index(fact.state), fact.version)


@rank_of.register
def _(fact: TargetFact) -> Rank:
    return (fact.incarnation, fact.leaving, fact.version, fact.gone)


@rank_of.register
def _(fact: Listing) -> Rank:
    return (fact.stamp,)


@rank_of.register
def _(fact: Hold) -> Rank:
    return (fact.fence, fact.number)


@rank_of.register
def _(fact: Observation) -> Rank:
    return (fact.incarnation, fact.stamp)


@rank_of.register
def _(fact: Load) -> Rank:
    return (fact.stamp,)


@rank_of.register
def _(fact: Demand) -> Rank:
    return (fact.stamp,)


def is_newer(fact: Fact, than: Fact | None) -> bool:
    """
    Return whether a fact replaces another one with the same key.

    Different facts of equal rank are ordered by their fields.
    """
    if than is None:
        return True
    rank, other = rank_of(fact), rank_of(than)
    if rank != other:
        return rank > other
    return fact != than and astuple(fact) > astuple(than)
