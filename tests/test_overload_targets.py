"""
Ejection, slow start, retry budgets and adaptive concurrency.
"""

from unittest import TestCase

from mallowcrank.overload.concurrency import adjust, initial_limit, resize
from mallowcrank.overload.ejection import (
    TargetHealth,
    after_failure,
    after_success,
    is_ejected,
    weight,
)
from mallowcrank.overload.retries import RetryBudget
from mallowcrank.overload.retry_after import (
    MAX_RETRY_AFTER_S,
    RetryAfterSchedule,
)


class TestEjection(TestCase):
    def test_one_refused_step_does_not_eject(self):
        health = after_failure(TargetHealth(), 0, 'refused')
        self.assertFalse(is_ejected(health, 0))

    def test_failures_of_one_event_count_once(self):
        health = TargetHealth()
        for _ in range(50):
            health = after_failure(health, 1, 'refused')
        self.assertFalse(is_ejected(health, 1))

    def test_silence_ejects_at_once_and_longer_each_time(self):
        first = after_failure(TargetHealth(), 0, 'no answer')
        again = after_failure(first, 2, 'no answer')
        self.assertEqual(first.ejected_until_s, 0.5)
        self.assertEqual(again.ejected_until_s, 3)

    def test_return_is_on_trial_then_slow(self):
        health = after_failure(TargetHealth(), 0, 'no answer')
        self.assertEqual(weight(health, 2), 0.25)
        health = after_success(health, 2)
        self.assertAlmostEqual(weight(health, 3.5), 0.5)
        self.assertEqual(weight(health, 10), 1)


class TestRetryBudget(TestCase):
    def test_retries_are_a_part_of_tries_when_all_fail(self):
        budget = RetryBudget(0)
        spent = 0
        for number in range(1000):
            budget.count_first_try()
            spent += budget.spend(number / 1000)
        self.assertLessEqual(spent, 10 + 100 + 1)

    def test_quiet_pool_may_retry(self):
        budget = RetryBudget(0)
        spent = [budget.spend(0) for _ in range(20)]
        self.assertFalse(spent[-1])
        self.assertTrue(budget.spend(2))


class TestPoolLimit(TestCase):
    def test_grows_only_while_requests_wait_and_targets_keep_up(self):
        limit = initial_limit(full_streams=32, routers=4)
        self.assertEqual(adjust(limit, 1, 0, now=1).limit, limit.limit)
        self.assertGreater(adjust(limit, 1, 5, now=1).limit, limit.limit)
        self.assertLess(adjust(limit, 9, 5, now=1).limit, limit.limit)

    def test_stays_within_its_bounds(self):
        limit = initial_limit(full_streams=32, routers=4)
        for step in range(1, 2000):
            limit = adjust(limit, 1, 5, now=step)
        self.assertEqual(limit.limit, limit.highest)
        for step in range(2000, 4000):
            limit = adjust(limit, 9, 5, now=step)
        self.assertEqual(limit.limit, limit.lowest)

    def test_follows_a_pool_that_shrinks(self):
        limit = initial_limit(full_streams=32, routers=2)
        half = resize(limit, initial_limit(full_streams=16, routers=2))
        self.assertAlmostEqual(half.limit, limit.limit / 2)


class TestReturns(TestCase):
    def test_callers_refused_at_once_do_not_come_back_at_once(self):
        returns = RetryAfterSchedule()
        given = [returns.assign_delay_s(100, 0.5, rate=4) for _ in range(40)]
        self.assertEqual(given[:3], [0.5, 0.75, 1])
        self.assertEqual(len(set(given)), 40)

    def test_times_stay_within_the_longest_and_begin_anew(self):
        returns = RetryAfterSchedule()
        given = [returns.assign_delay_s(0, 1, rate=2) for _ in range(500)]
        self.assertLessEqual(max(given), MAX_RETRY_AFTER_S)
        self.assertGreater(given.count(1), 5)

    def test_times_that_are_over_hold_nobody_back(self):
        returns = RetryAfterSchedule()
        for _ in range(40):
            returns.assign_delay_s(0, 1, rate=4)
        self.assertEqual(returns.assign_delay_s(60, 2, rate=4), 2)
        self.assertEqual(RetryAfterSchedule().assign_delay_s(0, 3, rate=0), 3)
