"""
The fold of lease records, also by a reader that started late.
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


def ask(holder, *groups, release=False):
    return LeaseRecord('', holder, groups or GROUPS[:1], release)


class TestFold(TestCase):
    def holder(self, *records):
        return fold_all(LeaseTable(), records).get('targets-1')

    def test_first_in_the_log_holds_and_its_offset_is_the_fence(self):
        lease = self.holder((0, ask('a')), (1, ask('b')))
        self.assertEqual((lease.holder, lease.fence), ('a', 0))

    def test_renewal_keeps_the_fence(self):
        lease = self.holder((0, ask('a')), (20, ask('a')))
        self.assertEqual((lease.fence, lease.until), (0, 50))

    def test_expired_lease_goes_to_the_next_with_a_new_fence(self):
        lease = self.holder((0, ask('a')), (30, ask('b')))
        self.assertEqual((lease.holder, lease.fence), ('b', 1))
        self.assertEqual(
            lease.prior_orders_until, 30 + DEFAULT_TIMINGS.max_order_s
        )

    def test_lease_given_back_leaves_no_order_to_wait_for(self):
        lease = self.holder(
            (0, ask('a')), (2, ask('a', release=True)), (3, ask('b'))
        )
        self.assertEqual(lease.holder, 'b')
        self.assertLess(lease.prior_orders_until, 0)

    def test_all_groups_of_a_record_or_none(self):
        table = fold_all(
            LeaseTable(),
            [(0, ask('a', 'weights')), (1, ask('b', 'targets-1', 'weights'))],
        )
        self.assertIsNone(table.get('targets-1'))

    def test_log_time_that_goes_back_frees_nothing_and_ends_nothing(self):
        lease = self.holder((100, ask('a')), (50, ask('b')), (129, ask('b')))
        self.assertEqual(lease.holder, 'a')

    def test_record_survives_its_way_through_the_log(self):
        record = ask('a', 'weights')
        self.assertEqual(decode_record(encode_record(record)), record)
        self.assertIsNone(decode_record({'type': 'lease', 'id': 'x'}))

    def test_late_reader_never_contradicts_one_that_read_all(self):
        chance = random.Random(439)
        for _ in range(300):
            records = self.draw(chance)
            cut = chance.randrange(1, len(records))
            whole = fold_all(LeaseTable(), records[:cut])
            late = reset_after_gap(LeaseTable(), records[cut][0])
            for offset, record in enumerate(records[cut:], cut):
                whole = fold_all(whole, [record], offset)
                late = fold_all(late, [record], offset)
                self.compare(whole, late)

    def draw(self, chance):
        time = 0
        records = []
        for _ in range(30):
            time += chance.choice((0, 1, 10, 29, 31))
            groups = chance.sample(GROUPS, chance.randint(1, 2))
            release = chance.choice((True, False, False, False))
            record = ask(chance.choice('abc'), *groups, release=release)
            records.append((time, record))
        return records

    def compare(self, whole, late):
        for group in GROUPS:
            lease = late.get(group)
            if lease is None or lease.is_free(late.log_time):
                continue
            sure = whole.get(group)
            self.assertEqual(lease.holder, sure.holder)
            self.assertEqual(lease.fence, sure.fence)
            self.assertLessEqual(lease.until, sure.until)
            self.assertGreaterEqual(
                lease.prior_orders_until, sure.prior_orders_until
            )


class TestHolding(TestCase):
    def setUp(self):
        self.grant = Grant(7, Instant(steady=100, wall=5000))

    def test_lease_ends_a_margin_before_the_log_ends_it(self):
        self.assertTrue(is_held(self.grant, Instant(126.9, 5026.9)))
        self.assertFalse(is_held(self.grant, Instant(127, 5027)))

    def test_suspended_host_sees_it_by_the_wall_clock(self):
        self.assertFalse(is_held(self.grant, Instant(101, 5300)))

    def test_wall_clock_set_back_prolongs_nothing(self):
        self.assertFalse(is_held(self.grant, Instant(140, 5001)))
