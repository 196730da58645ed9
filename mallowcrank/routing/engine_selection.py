"""
The choice of engines of one layer range.

Each way names a few engines; the cheapest path over them is taken.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import singledispatch
from random import Random

from xxhash import xxh64_intdigest

from mallowcrank.routing.hints import HintTable
from mallowcrank.routing.strategies import (
    Affinity,
    Blended,
    CacheAware,
    LeastLoaded,
    RandomChoice,
    SelectionStrategy,
    TwoChoices,
)
from mallowcrank.view import Target


@dataclass(frozen=True, slots=True)
class SelectionOptions:
    """
    What a choice is made from.

    :param names: engines of one layer range that may be used; not empty.
    :param prefix: hashes of the prompt's blocks; empty where no cache helps.
    :param target_of: returns an engine by name.
    :param cost_of: returns what a stream would cost on an engine.
    :param random: decides between engines.
    """

    names: Sequence[str]
    prefix: Sequence[str]
    target_of: Callable[[str], Target]
    cost_of: Callable[[str], float]
    hints: HintTable
    random: Random


AFFINITY_BLOCKS = 4  # of the prompt that the rendezvous hash covers


@singledispatch
def select_engines(
    choice: SelectionStrategy, options: SelectionOptions
) -> Sequence[str]:
    """
    Return the engines to weigh.
    """
    raise NotImplementedError(f'{choice!r} is no way to choose')


@select_engines.register
def _(choice: RandomChoice, options: SelectionOptions) -> Sequence[str]:
    return (options.random.choice(options.names),)


@select_engines.register
def _(choice: LeastLoaded, options: SelectionOptions) -> Sequence[str]:
    least = min(options.names, key=lambda name: options.target_of(name).load)
    return (least,)


@select_engines.register
def _(choice: TwoChoices, options: SelectionOptions) -> Sequence[str]:
    return _two(options)


@select_engines.register
def _(choice: CacheAware, options: SelectionOptions) -> Sequence[str]:
    return (min(options.names, key=options.cost_of),)


@select_engines.register
def _(choice: Affinity, options: SelectionOptions) -> Sequence[str]:
    if not options.prefix:
        return _two(options)
    return _rendezvous(options, 1)


@select_engines.register
def _(choice: Blended, options: SelectionOptions) -> Sequence[str]:
    if not options.prefix:
        return _two(options)
    hinted = options.hints.holders(options.prefix)
    known = [name for name in hinted if name in options.names][:1]
    return (*_two(options), *_rendezvous(options, 2), *known)


def _two(options: SelectionOptions) -> Sequence[str]:
    count = min(2, len(options.names))
    return options.random.sample(options.names, count)


def _rendezvous(options: SelectionOptions, count: int) -> Sequence[str]:
    covered = min(AFFINITY_BLOCKS, len(options.prefix))
    key = options.prefix[covered - 1]
    ordered = sorted(
        options.names,
        key=lambda name: xxh64_intdigest(f'{key}{name}'.encode()),
        reverse=True,
    )
    return ordered[:count]
