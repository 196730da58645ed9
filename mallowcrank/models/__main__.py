"""
Check all specifications and their mutants; print a line for each.
"""

import sys

from mallowcrank.models.catalogue import SPECIFICATIONS
from mallowcrank.models.specification import Specification, check
from mallowcrank.status import ExitStatus

# A counterexample counts in a search that has not ended too, and most are
# short: mutants are searched this far first.
MUTANT_STATES = 10_000


def report_specification(specification: Specification) -> bool:
    """
    Print what the checker found; tell whether all is as it must be.
    """
    verdict = check(specification)
    word = 'proved' if verdict.proved else 'NOT PROVED'
    print(
        f'{specification.name}: {word}, {verdict.states} states, '
        f'{verdict.invariants} invariants'
    )
    for name, trace in verdict.broken.items():
        print(f'  {name} is broken by: {" > ".join(trace)}')
    killed = [
        report_mutant(specification, rule) for rule in specification.rules
    ]
    print(f'  mutants killed: {sum(killed)} of {len(killed)}')
    return verdict.proved and all(killed)


def report_mutant(specification: Specification, rule: str) -> bool:
    """
    Print the counterexample of a mutant; tell whether there is one.
    """
    without = frozenset((rule,))
    verdict = check(specification, without, MUTANT_STATES)
    if not verdict.broken:
        verdict = check(specification, without)
    if not verdict.broken:
        print(f'  without {rule}: NO COUNTEREXAMPLE')
        return False
    name, trace = next(iter(verdict.broken.items()))
    print(f'  without {rule}: {name} broken by {" > ".join(trace)}')
    return True


def main() -> ExitStatus:
    """
    Check everything.
    """
    outcomes = [report_specification(each) for each in SPECIFICATIONS]
    return ExitStatus.SUCCESS if all(outcomes) else ExitStatus.ERROR


if __name__ == '__main__':
    sys.exit(main())
