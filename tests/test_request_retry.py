"""
The retry decision, checked against a table of all cases.
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

# (ran, repeatable) for which another attempt is safe.
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
        for ran, repeatable, attempts_made, has_budget, seconds_left in rows:
            context = RetryContext(
                ran,
                repeatable,
                attempts_made,
                has_budget,
                seconds_left,
                needed_s=0.5,
            )
            with self.subTest(context=context):
                self.assertEqual(decide_retry(context), self.expected(context))

    def expected(self, context):
        if (context.ran, context.repeatable) not in SAFE:
            return GiveUp(None)
        conditions = (
            context.attempts_made < MAX_ATTEMPTS,
            context.has_budget,
            context.seconds_left > context.needed_s,
        )
        return Retry() if all(conditions) else GiveUp(1)
