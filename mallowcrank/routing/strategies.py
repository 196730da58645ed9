"""
Strategies for selecting engines of a layer range.

docs/ROUTING.md compares them.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """
    A random engine.
    """


@dataclass(frozen=True, slots=True)
class LeastLoaded:
    """
    The engine with the least reported load.
    """


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """
    The better of two random engines, by estimated load.
    """


@dataclass(frozen=True, slots=True)
class CacheAware:
    """
    The cheapest of all engines, by estimated load and cache hints.
    """


@dataclass(frozen=True, slots=True)
class Affinity:
    """
    The first engine by rendezvous hashing of the prompt's first blocks.
    """


@dataclass(frozen=True, slots=True)
class Blended:
    """
    The best of two random engines, the first two by rendezvous hashing and
    one named by the cache hints, by estimated load and expected savings.
    """


SelectionStrategy = (
    RandomChoice | LeastLoaded | TwoChoices | CacheAware | Affinity | Blended
)
