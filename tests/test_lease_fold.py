"""
Folding lease records into a table, and a holder's check of its leases.

These guard against two agents that both act as the holder of a lease: after a
pause, with a clock that was set back, or with a log that was read only in part.
"""

import random
from unittest import TestCase

from mallowcrank.leases.fold import LeaseTable, fold, reset_after_gap
from mallowcrank.leases.grants import Grant, is_held
from mallowcrank.leases.records import (
    DEFAULT_TIMINGS,
    LeaseRecord,
    decode_record,
    encode_record,
)
from mallowcrank.membership.events import Instant

GROUPS = ('targets-1', 'targets-2', 'weights')


def fold_all(table, records, start=0):
    for offset, (time, record) in enumerate(records, start):
        table = fold(table, record, offset, time)
    return table


def request(holder, *groups, release=False):
    return LeaseRecord('', holder, groups or GROUPS[:1], release)


class TestFold(TestCase):
    def holder(self, *records):
        return fold_all(LeaseTable(), records).get('targets-1')

    def test_first_request_in_the_log_wins_and_its_offset_is_the_fence(self):
        lease = self.holder((0, request('a')), (1, request('b')))
        self.assertEqual((lease.holder, lease.fence), ('a', 0))

    def test_renewal_keeps_the_fence(self):
        lease = self.holder((0, request('a')), (20, request('a')))
        self.assertEqual((lease.fence, lease.until), (0, 50))

    def test_expired_lease_goes_to_the_next_holder_with_a_new_fence(self):
        lease = self.holder((0, request('a')), (30, request('b')))
        self.assertEqual((lease.holder, lease.fence), ('b', 1))
        self.assertEqual(
            lease.prior_orders_until, 30 + DEFAULT_TIMINGS.max_order_s
        )

    def test_released_lease_leaves_no_order_to_wait_for(self):
        lease = self.holder(
            (0, request('a')),
            (2, request('a', release=True)),
            (3, request('b')),
        )
        self.assertEqual(lease.holder, 'b')
        self.assertLess(lease.prior_orders_until, 0)

    def test_record_is_granted_all_its_groups_or_none(self):
        table = fold_all(
            LeaseTable(),
            [
                (0, request('a', 'weights')),
                (1, request('b', 'targets-1', 'weights')),
            ],
        )
        self.assertIsNone(table.get('targets-1'))

    def test_log_time_that_goes_back_ends_no_lease(self):
        lease = self.holder(
            (100, request('a')), (50, request('b')), (129, request('b'))
        )
        self.assertEqual(lease.holder, 'a')

    def test_record_round_trips_and_malformed_one_is_ignored(self):
        record = request('a', 'weights')
        self.assertEqual(decode_record(encode_record(record)), record)
        self.assertIsNone(decode_record({'type': 'lease', 'id': 'x'}))

    def test_late_reader_never_contradicts_a_reader_of_all_records(self):
        rng = random.Random(439)
        for _ in range(300):
            records = self.random_records(rng)
            cut = rng.randrange(1, len(records))
            complete = fold_all(LeaseTable(), records[:cut])
            late = reset_after_gap(LeaseTable(), records[cut][0])
            for offset, record in enumerate(records[cut:], cut):
                complete = fold_all(complete, [record], offset)
                late = fold_all(late, [record], offset)
                self.assert_consistent(complete, late)

    def random_records(self, rng):
        time = 0
        records = []
        for _ in range(30):
            time += rng.choice((0, 1, 10, 29, 31))
            groups = rng.sample(GROUPS, rng.randint(1, 2))
            release = rng.choice((True, False, False, False))
            record = request(rng.choice('abc'), *groups, release=release)
            records.append((time, record))
        return records

    def assert_consistent(self, complete, late):
        for group in GROUPS:
            lease = late.get(group)
            if lease is None or lease.is_free(late.log_time):
                continue
            expected = complete.get(group)
            self.assertEqual(lease.holder, expected.holder)
            self.assertEqual(lease.fence, expected.fence)
            self.assertLessEqual(lease.until, expected.until)
            self.assertGreaterEqual(
                lease.prior_orders_until, expected.prior_orders_until
            )


class TestIsHeld(TestCase):
    def setUp(self):
        self.grant = Grant(7, Instant(steady=100, wall=5000))

    def test_holder_stops_a_margin_before_the_log_ends_its_lease(self):
        self.assertTrue(is_held(self.grant, Instant(126.9, 5026.9)))
        self.assertFalse(is_held(self.grant, Instant(127, 5027)))

    def test_suspension_that_only_the_wall_clock_shows_ends_the_lease(self):
        self.assertFalse(is_held(self.grant, Instant(101, 5300)))

    def test_wall_clock_set_back_does_not_prolong_the_lease(self):
        self.assertFalse(is_held(self.grant, Instant(140, 5001)))
