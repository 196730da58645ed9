"""
Tests the check of specifications.

Guards against specifications that pass although their search is unfinished or
one of their mutants has no counterexample.
"""

import contextlib
import io
from unittest import TestCase
from unittest.mock import patch

from minicheck import Protocol

from mallowcrank.models.__main__ import report_specification
from mallowcrank.models.specification import Specification, check

BOUND = 'the counter stops at three'


def build(disabled):
    limit = 4 if BOUND in disabled else 3

    def list_transitions(state):
        return [('count', (state[0] + 1,))] if state[0] < limit else []

    return Protocol(
        name='counter',
        candidate=False,
        fields=('count',),
        initial=(0,),
        transitions=list_transitions,
        invariants={'at most three': lambda fields: fields['count'] <= 3},
    )


class TestRunner(TestCase):
    def report(self, rules):
        with contextlib.redirect_stdout(io.StringIO()) as printed:
            proved = report_specification(
                Specification('counter', build, rules)
            )
        return proved, printed.getvalue()

    def test_proved_with_all_mutants_killed(self):
        proved, printed = self.report((BOUND,))
        self.assertTrue(proved)
        self.assertIn('mutants killed: 1 of 1', printed)

    def test_rule_without_effect_fails(self):
        proved, printed = self.report((BOUND, 'no such rule'))
        self.assertFalse(proved)
        self.assertIn('without no such rule: NO COUNTEREXAMPLE', printed)

    def test_full_search_finds_what_the_first_search_misses(self):
        with patch('mallowcrank.models.__main__.FIRST_SEARCH_STATES', 2):
            proved, printed = self.report((BOUND,))
        self.assertTrue(proved)
        self.assertIn('mutants killed: 1 of 1', printed)

    def test_unfinished_search_kills_no_mutant(self):
        with (
            patch('mallowcrank.models.__main__.FIRST_SEARCH_STATES', 2),
            patch('mallowcrank.models.specification.MAX_STATES', 2),
        ):
            proved, printed = self.report((BOUND,))
        self.assertFalse(proved)
        self.assertIn('NO COUNTEREXAMPLE', printed)

    def test_counterexample_lists_its_transitions(self):
        verdict = check(
            Specification('counter', build, ()), frozenset((BOUND,))
        )
        self.assertEqual(
            verdict.counterexamples, {'at most three': ('count',) * 4}
        )

    def test_unfinished_search_is_not_proved(self):
        with patch('mallowcrank.models.specification.MAX_STATES', 2):
            verdict = check(Specification('counter', build, ()))
        self.assertFalse(verdict.proved)
