"""
Which of several answers says what a target's limit is.
"""

from unittest import TestCase
from unittest.mock import Mock, patch

from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.ports import ResponseFields
from mallowcrank.gateway.target_limits import TargetLimits
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.limits.named import LimitObservation, supersedes

TARGET = Lifetime('i-1', 0)
CLOCK = 'mallowcrank.gateway.target_limits.monotonic_s'


def seen(rate, sent_at, received_at):
    return LimitObservation(rate, sent_at, received_at, 'edge-1')


def fields_of(rate=None, problem='', is_genuine=True):
    return ResponseFields(
        request_id='r',
        is_genuine=is_genuine,
        did_not_run=not is_genuine,
        fault_address='',
        rate_limit=rate,
        rate_limit_problem=problem,
    )


class TestSupersedes(TestCase):
    def test_first_limit_applies_and_a_missing_one_says_nothing(self):
        self.assertTrue(supersedes(seen(3, 1, 2), None))
        self.assertFalse(supersedes(seen(None, 1, 2), None))

    def test_answer_to_an_older_request_neither_ends_nor_raises_a_limit(self):
        known = seen(3, 10, 11)
        for rate in (None, 4):
            with self.subTest(rate=rate):
                self.assertFalse(supersedes(seen(rate, 10.9, 12), known))
                self.assertTrue(supersedes(seen(rate, 11, 12), known))

    def test_lower_limit_applies_unless_it_is_certainly_older(self):
        for known in (seen(3, 10, 11), seen(None, 10, 11)):
            with self.subTest(known=known):
                self.assertTrue(supersedes(seen(2, 9, 10.5), known))
                self.assertFalse(supersedes(seen(2, 8, 9.5), known))

    def test_limit_that_ended_is_named_again(self):
        self.assertTrue(supersedes(seen(3, 12, 13), seen(None, 10, 11)))


class TestTargetLimits(TestCase):
    def setUp(self):
        self.journal = Mock()
        self.limits = TargetLimits('edge-1', self.journal, Meters())

    def record(self, sent_at, **fields):
        self.limits.record_answer(TARGET, fields_of(**fields), sent_at)

    def rate(self):
        known = self.limits.find(TARGET)
        return known and known.rate_per_s

    def logged(self):
        return [call.args[0] for call in self.journal.say.call_args_list]

    def test_limit_is_named_changed_and_ended_in_the_log(self):
        for sent_at, rate in ((0, 3), (1, 3), (2, 2.5)):
            self.record(sent_at, rate=rate)
        self.assertEqual(self.rate(), 2.5)
        self.record(1e12, rate=None)
        self.assertIsNone(self.rate())
        self.assertEqual(
            self.logged(),
            [
                'limits: target limit named',
                'limits: target limit changed',
                'limits: target limit ended',
            ],
        )

    def test_refusal_without_a_limit_does_not_end_it(self):
        self.record(0, rate=3)
        self.record(1e12, rate=None, is_genuine=False)
        self.assertEqual(self.rate(), 3)

    def test_invalid_limit_keeps_the_known_one_and_is_logged_once(self):
        self.record(0, rate=3)
        for _ in range(3):
            self.record(1e12, problem="not a rate: '-1'")
        self.assertEqual(self.rate(), 3)
        self.assertEqual(self.logged()[1:], ['limits: invalid target limit'])

    def test_report_that_comes_round_again_does_not_renew_a_limit(self):
        other = TargetLimits('edge-2', Mock(), Meters())
        with patch(CLOCK, side_effect=lambda: self.now):
            self.now = 100.0
            self.record(99.9, rate=3)
            for _ in range(100):
                for source, recipient in (
                    (self.limits, other),
                    (other, self.limits),
                ):
                    report = source.reports()[TARGET]
                    self.now += 0.02
                    recipient.apply_report(TARGET, report)
            self.record(100.6, rate=None)
        self.assertIsNone(self.rate())

    def test_limit_belongs_to_one_lifetime(self):
        self.record(0, rate=3)
        self.assertIsNone(self.limits.find(Lifetime('i-1', 7)))
