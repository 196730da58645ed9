"""
Keys that identify the subject of each fact.
"""

from functools import singledispatch

from mallowcrank.membership.facts import (
    Demand,
    Fact,
    Hold,
    Listing,
    Load,
    Member,
    Observation,
    TargetFact,
)

Key = tuple[str, ...]


def observations_of(subject: str) -> str:
    """
    Return the first part of the keys of a subject's observations.
    """
    return f'o/{subject}'


@singledispatch
def key_of(fact: Fact) -> Key:
    """
    Return the key of a fact.

    :raises TypeError: when it is not a fact.
    """
    raise TypeError(f'not a fact: {fact!r}')


@key_of.register
def _(fact: Member) -> Key:
    return ('m', fact.name)


@key_of.register
def _(fact: TargetFact) -> Key:
    return ('t', fact.name)


@key_of.register
def _(fact: Listing) -> Key:
    return ('h', fact.name)


@key_of.register
def _(fact: Hold) -> Key:
    return ('x', fact.name)


@key_of.register
def _(fact: Observation) -> Key:
    return (observations_of(fact.subject), fact.observer)


@key_of.register
def _(fact: Load) -> Key:
    return ('l', fact.name)


@key_of.register
def _(fact: Demand) -> Key:
    return ('d', fact.name)
