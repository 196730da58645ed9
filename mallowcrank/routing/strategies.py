"""
Ways to choose engines of one layer range, compared in docs/ROUTING.md.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """
    Any engine.
    """


@dataclass(frozen=True, slots=True)
class LeastLoaded:
    """
    The engine with the least reported load.
    """


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """
    The better of two random engines, by corrected load.
    """


@dataclass(frozen=True, slots=True)
class CacheAware:
    """
    The cheapest of all engines, by corrected load and cache hints.
    """


@dataclass(frozen=True, slots=True)
class Affinity:
    """
    The first engine by rendezvous hash of the prompt's first blocks.
    """


@dataclass(frozen=True, slots=True)
class Blended:
    """
    The best of two random engines, the first two by rendezvous hash and one
    that the hints name, by corrected load and expected saving.
    """


SelectionStrategy = (
    RandomChoice | LeastLoaded | TwoChoices | CacheAware | Affinity | Blended
)
