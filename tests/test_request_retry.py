"""
The one decision whether a failed try is made again.
"""

from itertools import product
from unittest import TestCase

from mallowcrank.refusals import Ran
from mallowcrank.requests.retry import (
    MAX_ATTEMPTS,
    GiveUp,
    Retry,
    RetryContext,
    decide_retry,
)

# (ran, repeatable) for which one more run breaks no promise.
SAFE = ((Ran.NO, True), (Ran.NO, False), (Ran.UNKNOWN, True))


class TestRetryTable(TestCase):
    def test_whole_table(self):
        rows = product(
            Ran,
            (True, False),
            range(MAX_ATTEMPTS + 2),
            (True, False),
            (-1, 0, 0.5, 1, 30),
        )
        for ran, repeatable, attempts, budget, left in rows:
            situation = RetryContext(
                ran, repeatable, attempts, budget, left, needed_s=0.5
            )
            with self.subTest(situation=situation):
                self.assertEqual(
                    decide_retry(situation), self.expected(situation)
                )

    def expected(self, given):
        if (given.ran, given.repeatable) not in SAFE:
            return GiveUp(None)
        may_go_on = (
            given.attempts_made < MAX_ATTEMPTS,
            given.has_budget,
            given.seconds_left > given.needed_s,
        )
        return Retry() if all(may_go_on) else GiveUp(1)
