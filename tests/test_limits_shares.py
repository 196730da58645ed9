"""
Limits across routers: grants by demand, and the even share as fallback.
"""

from unittest import TestCase

from mallowcrank.limits.ledger import Ledger, OverLimit
from mallowcrank.limits.shares import Asked, Census, Hearing, granted_part
from mallowcrank.view import WorkspaceSettings

WORKSPACE = WorkspaceSettings('b/w', 'b', request_rate=80, streams=8)


def admit(ledger, rate, seconds, start=0):
    """
    Offer requests at a steady rate; return how many were admitted.
    """
    admitted = 0
    for number in range(int(rate * seconds)):
        now = start + number / rate
        if ledger.take(WORKSPACE, 1, now) is None:
            admitted += 1
            ledger.give_back('b/w', 0)
    return admitted


class TestGrants(TestCase):
    def test_grants_add_up_to_the_limit(self):
        demands = [0.9, 0.5, 0.1, 0.05]
        hearing = Hearing(4, heard=True)
        parts = [
            granted_part(Asked(own, sum(demands) - own), hearing)
            for own in demands
        ]
        self.assertAlmostEqual(sum(parts), 1)
        self.assertEqual(parts, sorted(parts, reverse=True))

    def test_new_demand_gets_an_even_share_until_peers_have_heard_of_it(self):
        fresh = Asked(others=1, is_new=True)
        self.assertEqual(granted_part(fresh, Hearing(4, heard=True)), 0.25)

    def test_cut_off_router_falls_back_to_an_even_share_of_all_it_knew(self):
        census = Census()
        census.count(8, 0)
        hearing = census.count(1, 10)
        self.assertEqual(hearing, Hearing(8, heard=False))
        self.assertEqual(granted_part(Asked(1), hearing), 1 / 8)

    def test_smaller_fleet_is_believed_after_a_while(self):
        census = Census()
        census.count(8, 0)
        self.assertTrue(census.count(1, 700).heard)


class TestLedger(TestCase):
    def setUp(self):
        self.ledger = Ledger()

    def test_one_router_gives_out_the_whole_rate(self):
        self.assertAlmostEqual(
            admit(self.ledger, 200, 10), 80 * 10 + 80, delta=1
        )

    def test_even_share_when_peers_cannot_be_heard(self):
        self.ledger.hear(Hearing(8, heard=False), {})
        self.assertAlmostEqual(
            admit(self.ledger, 200, 10), 10 * 10 + 10, delta=1
        )

    def test_unreported_demand_takes_no_more_than_its_silent_part(self):
        self.ledger.hear(Hearing(8, heard=True), {'b/w': 0.9})
        admit(self.ledger, 200, 10)
        self.assertAlmostEqual(self.ledger.granted('b/w', 10), 0.1 / 8)

    def test_reported_demand_counts_once_peers_have_heard_of_it(self):
        self.ledger.hear(Hearing(8, heard=True), {'b/w': 0.9})
        for second in range(6):
            admit(self.ledger, 200, 1, start=second)
            self.ledger.report(second + 1)
        self.assertGreater(self.ledger.granted('b/w', 6), 0.5)
        self.assertEqual(self.ledger.granted('b/w', 12), 1 / 8)

    def test_refusal_says_when_to_come_back(self):
        admit(self.ledger, 1000, 1)
        over = self.ledger.take(WORKSPACE, 1, 1)
        self.assertIsInstance(over, OverLimit)
        self.assertGreater(over.wait_s, 0)
        self.assertIsNone(self.ledger.take(WORKSPACE, 1, 1.01 + over.wait_s))

    def test_streams_are_counted_until_they_end(self):
        for _ in range(8):
            self.assertIsNone(self.ledger.take(WORKSPACE, 1, 0))
        self.assertIsInstance(self.ledger.take(WORKSPACE, 1, 0), OverLimit)
        self.ledger.give_back('b/w', 0)
        self.assertIsNone(self.ledger.take(WORKSPACE, 1, 0))
