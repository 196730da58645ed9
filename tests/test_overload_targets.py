"""
Ejection, slow start, retry budgets, adaptive concurrency and Retry-After.
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

    def test_simultaneous_failures_count_once(self):
        health = TargetHealth()
        for _ in range(50):
            health = after_failure(health, 1, 'refused')
        self.assertFalse(is_ejected(health, 1))

    def test_missing_answer_ejects_at_once_and_longer_each_time(self):
        first = after_failure(TargetHealth(), 0, 'no answer')
        again = after_failure(first, 2, 'no answer')
        self.assertEqual(first.ejected_until_s, 0.5)
        self.assertEqual(again.ejected_until_s, 3)

    def test_ejected_target_returns_on_trial_with_a_slow_start(self):
        health = after_failure(TargetHealth(), 0, 'no answer')
        self.assertEqual(weight(health, 2), 0.25)
        health = after_success(health, 2)
        self.assertAlmostEqual(weight(health, 3.5), 0.5)
        self.assertEqual(weight(health, 10), 1)


class TestRetryBudget(TestCase):
    def test_retries_stay_a_share_of_first_tries_when_all_fail(self):
        budget = RetryBudget(0)
        spent = 0
        for number in range(1000):
            budget.count_first_try()
            spent += budget.spend(number / 1000)
        self.assertLessEqual(spent, 10 + 100 + 1)

    def test_idle_pool_may_retry(self):
        budget = RetryBudget(0)
        spent = [budget.spend(0) for _ in range(20)]
        self.assertFalse(spent[-1])
        self.assertTrue(budget.spend(2))


class TestPoolLimit(TestCase):
    def test_limit_grows_only_while_requests_wait_and_targets_keep_up(self):
        limit = initial_limit(full_streams=32, routers=4)
        self.assertEqual(adjust(limit, 1, 0, now=1).limit, limit.limit)
        self.assertGreater(adjust(limit, 1, 5, now=1).limit, limit.limit)
        self.assertLess(adjust(limit, 9, 5, now=1).limit, limit.limit)

    def test_limit_stays_within_its_bounds(self):
        limit = initial_limit(full_streams=32, routers=4)
        for step in range(1, 2000):
            limit = adjust(limit, 1, 5, now=step)
        self.assertEqual(limit.limit, limit.highest)
        for step in range(2000, 4000):
            limit = adjust(limit, 9, 5, now=step)
        self.assertEqual(limit.limit, limit.lowest)

    def test_limit_shrinks_with_its_pool(self):
        limit = initial_limit(full_streams=32, routers=2)
        halved = resize(limit, initial_limit(full_streams=16, routers=2))
        self.assertAlmostEqual(halved.limit, limit.limit / 2)


class TestRetryAfter(TestCase):
    def test_callers_refused_together_do_not_retry_together(self):
        schedule = RetryAfterSchedule()
        delays_s = [
            schedule.assign_delay_s(100, 0.5, rate=4) for _ in range(40)
        ]
        self.assertEqual(delays_s[:3], [0.5, 0.75, 1])
        self.assertEqual(len(set(delays_s)), 40)

    def test_delays_stay_within_the_longest_and_start_again(self):
        schedule = RetryAfterSchedule()
        delays_s = [schedule.assign_delay_s(0, 1, rate=2) for _ in range(500)]
        self.assertLessEqual(max(delays_s), MAX_RETRY_AFTER_S)
        self.assertGreater(delays_s.count(1), 5)

    def test_past_retry_times_delay_no_caller(self):
        schedule = RetryAfterSchedule()
        for _ in range(40):
            schedule.assign_delay_s(0, 1, rate=4)
        self.assertEqual(schedule.assign_delay_s(60, 2, rate=4), 2)
        self.assertEqual(RetryAfterSchedule().assign_delay_s(0, 3, rate=0), 3)
