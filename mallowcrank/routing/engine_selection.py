"""
Selects candidate engines of one layer range.

Each strategy selects a few engines; the cheapest path over them is used.
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
    Inputs of a selection.

    :param names: usable engines of one layer range; not empty.
    :param prefix: hashes of the prompt's blocks; empty where no cache can
        help.
    :param target_of: returns an engine by name.
    :param cost_of: returns the cost of a stream on an engine, in
        milliseconds for each token.
    :param random: source of randomness for sampling engines.
    """

    names: Sequence[str]
    prefix: Sequence[str]
    target_of: Callable[[str], Target]
    cost_of: Callable[[str], float]
    hints: HintTable
    random: Random


AFFINITY_BLOCKS = 4  # leading prompt blocks in the rendezvous hash


@singledispatch
def select_engines(
    strategy: SelectionStrategy, options: SelectionOptions
) -> Sequence[str]:
    """
    Return the names of the candidate engines.

    :raises NotImplementedError: if the strategy is unknown.
    """
    raise NotImplementedError(f'{strategy!r} is not a selection strategy')


@select_engines.register
def _(strategy: RandomChoice, options: SelectionOptions) -> Sequence[str]:
    return (options.random.choice(options.names),)


@select_engines.register
def _(strategy: LeastLoaded, options: SelectionOptions) -> Sequence[str]:
    least = min(options.names, key=lambda name: options.target_of(name).load)
    return (least,)


@select_engines.register
def _(strategy: TwoChoices, options: SelectionOptions) -> Sequence[str]:
    return _two_random(options)


@select_engines.register
def _(strategy: CacheAware, options: SelectionOptions) -> Sequence[str]:
    return (min(options.names, key=options.cost_of),)


@select_engines.register
def _(strategy: Affinity, options: SelectionOptions) -> Sequence[str]:
    if not options.prefix:
        return _two_random(options)
    return _rendezvous(options, 1)


@select_engines.register
def _(strategy: Blended, options: SelectionOptions) -> Sequence[str]:
    if not options.prefix:
        return _two_random(options)
    hinted = options.hints.holders(options.prefix)
    known = [name for name in hinted if name in options.names][:1]
    return (*_two_random(options), *_rendezvous(options, 2), *known)


def _two_random(options: SelectionOptions) -> Sequence[str]:
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
