"""
Checks all specifications and their mutants, and prints the results.
"""

import sys

from mallowcrank.models.catalogue import SPECIFICATIONS
from mallowcrank.models.specification import Specification, check
from mallowcrank.status import ExitStatus

# Most counterexamples of mutants are short, and one found in an unfinished
# search is valid: a mutant's first search ends after so many states.
FIRST_SEARCH_STATES = 10_000


def report_specification(specification: Specification) -> bool:
    """
    Print the results for a specification and its mutants.

    :returns: whether it is proved and all mutants are killed.
    """
    verdict = check(specification)
    status = 'proved' if verdict.proved else 'NOT PROVED'
    print(
        f'{specification.name}: {status}, {verdict.states} states, '
        f'{verdict.invariants} invariants'
    )
    for name, trace in verdict.counterexamples.items():
        print(f'  {name} is broken by: {" > ".join(trace)}')
    killed = [
        report_mutant(specification, rule) for rule in specification.rules
    ]
    print(f'  mutants killed: {sum(killed)} of {len(killed)}')
    return verdict.proved and all(killed)


def report_mutant(specification: Specification, rule: str) -> bool:
    """
    Print the counterexample of a mutant.

    :returns: whether there is one.
    """
    disabled = frozenset((rule,))
    verdict = check(specification, disabled, FIRST_SEARCH_STATES)
    if not verdict.counterexamples:
        verdict = check(specification, disabled)
    if not verdict.counterexamples:
        print(f'  without {rule}: NO COUNTEREXAMPLE')
        return False
    name, trace = next(iter(verdict.counterexamples.items()))
    print(f'  without {rule}: {name} broken by {" > ".join(trace)}')
    return True


def main() -> ExitStatus:
    """
    Check all specifications.
    """
    outcomes = [report_specification(each) for each in SPECIFICATIONS]
    return ExitStatus.SUCCESS if all(outcomes) else ExitStatus.ERROR


if __name__ == '__main__':
    sys.exit(main())
