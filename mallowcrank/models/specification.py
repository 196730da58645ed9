"""
Defines specifications with mutants, and checks them with minicheck.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from minicheck import Protocol, check_safety

MAX_STATES = 400_000  # with more, the result is undetermined


@dataclass(frozen=True)
class Specification:
    """
    A protocol to check.

    :param build: builds the protocol with the named rules disabled.
    :param rules: the protecting rules; disabling one makes a mutant.
    """

    name: str
    build: Callable[[frozenset[str]], Protocol]
    rules: tuple[str, ...]


@dataclass(frozen=True)
class Verdict:
    """
    The result of checking one protocol.

    :param states: how many states were reached.
    :param exhaustive: whether all reachable states were searched.
    :param counterexamples: the invariants that do not hold, each with the
        labels of its shortest counterexample.
    :param invariants: how many invariants were checked.
    """

    states: int
    exhaustive: bool
    counterexamples: dict[str, tuple[str, ...]] = field(default_factory=dict)
    invariants: int = 0

    @property
    def proved(self) -> bool:
        """
        Tell whether every invariant holds in every reachable state.
        """
        return self.exhaustive and not self.counterexamples


def check(
    specification: Specification,
    disabled: frozenset[str] = frozenset(),
    max_states: int | None = None,
) -> Verdict:
    """
    Check a specification, or a mutant with some rules disabled.

    :param disabled: rules that are not applied.
    :param max_states: ends the search after so many states, or `MAX_STATES`;
        counterexamples found by then are returned.
    """
    report = check_safety(
        specification.build(disabled), max_states or MAX_STATES
    )
    properties: dict[str, Any] = report['properties']
    counterexamples = {
        name: _labels(outcome['counterexample'])
        for name, outcome in properties.items()
        if outcome['holds'] is False
    }
    return Verdict(
        states=report['reachable_states'],
        exhaustive=bool(report['exhaustive']),
        counterexamples=counterexamples,
        invariants=len(properties),
    )


def _labels(trace: list[dict[str, Any]] | None) -> tuple[str, ...]:
    return tuple(step['label'] for step in trace or () if step['label'])
