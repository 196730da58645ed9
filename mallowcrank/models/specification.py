"""
A specification with its mutants, and its check by minicheck.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from minicheck import Protocol, check_safety

MAX_STATES = 400_000  # of one specification; more is undetermined


@dataclass(frozen=True)
class Specification:
    """
    One protocol to check.

    :param build: makes the protocol with the named rules taken out.
    :param rules: the protecting rules; each is a mutant when taken out.
    """

    name: str
    build: Callable[[frozenset[str]], Protocol]
    rules: tuple[str, ...]


@dataclass(frozen=True)
class Verdict:
    """
    What the checker found for one protocol.

    :param exhaustive: whether all reachable states were seen.
    :param broken: invariants that do not hold, each with the labels of its
        shortest counterexample.
    """

    states: int
    exhaustive: bool
    broken: dict[str, tuple[str, ...]] = field(default_factory=dict)
    invariants: int = 0

    @property
    def proved(self) -> bool:
        """
        Tell whether every invariant holds in every reachable state.
        """
        return self.exhaustive and not self.broken


def check(
    specification: Specification,
    without: frozenset[str] = frozenset(),
    max_states: int | None = None,
) -> Verdict:
    """
    Check a specification, or its mutant with some rules taken out.

    :param max_states: where the search ends; what it has found by then counts.
    """
    report = check_safety(
        specification.build(without), max_states or MAX_STATES
    )
    properties: dict[str, Any] = report['properties']
    broken = {
        name: _labels(found['counterexample'])
        for name, found in properties.items()
        if found['holds'] is False
    }
    return Verdict(
        states=report['reachable_states'],
        exhaustive=bool(report['exhaustive']),
        broken=broken,
        invariants=len(properties),
    )


def _labels(trace: list[dict[str, Any]] | None) -> tuple[str, ...]:
    return tuple(step['label'] for step in trace or () if step['label'])
