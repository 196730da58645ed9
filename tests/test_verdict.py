"""
CI must not pass when a test fails that KNOWN-RED.txt does not list.

A run that is cut short, or that fails without naming a test, must fail as well.
"""

from unittest import TestCase

from scripts.verdict import (
    INCOMPLETE_RUN,
    parse_known_failures,
    summarize_tests,
)

NAME = 'tests.test_a.TestA.test_b'
OTHER = 'tests.test_a.TestA.test_c'
KNOWN = parse_known_failures(f'test: {NAME}\ncommand: make test\nissue: 6\n')
FAILED = f"""
FAIL: test_b ({NAME}) (name='x')
ERROR: test_c ({OTHER})
Ran 5 tests in 2.0s

FAILED (failures=1, errors=1)
make: *** [Makefile:18: test] Error 1
"""


class TestVerdict(TestCase):
    def test_all_passed(self):
        verdict = summarize_tests('....\nRan 4 tests in 1.0s\n\nOK\n', KNOWN)
        self.assertEqual((verdict.passed, verdict.failed), (4, ()))

    def test_listed_failure_is_not_counted_as_failed(self):
        verdict = summarize_tests(FAILED, KNOWN)
        self.assertEqual(verdict.passed, 3)
        self.assertEqual(verdict.failed, (OTHER,))
        self.assertEqual(verdict.known, (NAME,))

    def test_unlisted_failures_all_count(self):
        verdict = summarize_tests(FAILED, frozenset())
        self.assertEqual(verdict.failed, (NAME, OTHER))

    def test_incomplete_run_counts_as_failed(self):
        for log in ('', 'Ran 4 tests in 1.0s\n', 'Segmentation fault\n'):
            with self.subTest(log=log):
                self.assertEqual(
                    summarize_tests(log, KNOWN).failed, (INCOMPLETE_RUN,)
                )

    def test_failure_without_a_test_name_counts(self):
        log = 'Ran 0 tests in 1.0s\n\nFAILED (errors=1)\n'
        self.assertEqual(summarize_tests(log, KNOWN).failed, (INCOMPLETE_RUN,))
