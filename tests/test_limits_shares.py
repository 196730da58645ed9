"""
Limits across routers: grants by demand, and the even share as fallback.
"""

from unittest import TestCase

from mallowcrank.limits.ledger import LimitLedger, OverLimit
from mallowcrank.limits.shares import (
    DemandSnapshot,
    PeerCount,
    RouterCounter,
    WorkspaceDemand,
    demands_to_report,
    granted_share,
)
from mallowcrank.membership.facts import Demand
from mallowcrank.membership.routers import is_demand_news
from mallowcrank.view import MAX_DEMANDS, WorkspaceSettings, demand_turn_s

WORKSPACE = WorkspaceSettings('b/w', 'b', request_rate=80, streams=8)


def offer(ledger, rate, seconds, start=0):
    """
    Offer requests at a steady rate; return how many were admitted.
    """
    admitted = 0
    for number in range(int(rate * seconds)):
        now = start + number / rate
        if ledger.admit(WORKSPACE, 1, now) is None:
            admitted += 1
            ledger.release('b/w', 0)
    return admitted


class TestGrants(TestCase):
    def test_grants_add_up_to_the_limit(self):
        demands = [0.9, 0.5, 0.1, 0.05]
        hearing = PeerCount(4, reachable=True)
        parts = [
            granted_share(WorkspaceDemand(own, sum(demands) - own), hearing)
            for own in demands
        ]
        self.assertAlmostEqual(sum(parts), 1)
        self.assertEqual(parts, sorted(parts, reverse=True))

    def test_new_demand_gets_an_even_share_until_peers_have_heard_of_it(self):
        fresh = WorkspaceDemand(others=1, is_new=True)
        self.assertEqual(
            granted_share(fresh, PeerCount(4, reachable=True)), 0.25
        )

    def test_home_gives_out_half_unasked_while_the_limit_has_room(self):
        hearing = PeerCount(100, reachable=True)
        self.assertEqual(
            granted_share(WorkspaceDemand(is_home=True), hearing), 0.5
        )
        part = granted_share(WorkspaceDemand(others=0.7, is_home=True), hearing)
        self.assertAlmostEqual(part, 0.2)
        part = granted_share(WorkspaceDemand(others=3, is_home=True), hearing)
        self.assertAlmostEqual(part, 0.1 / 100)

    def test_hot_demands_of_homes_add_up_to_the_limit(self):
        hearing = PeerCount(100, reachable=True)
        demands = [2, 1.5, 0.1]
        parts = [
            granted_share(
                WorkspaceDemand(own, sum(demands) - own, is_home=True), hearing
            )
            for own in demands
        ]
        self.assertLessEqual(sum(parts), 1)
        self.assertGreater(sum(parts), 0.9)

    def test_cut_off_router_falls_back_to_an_even_share_of_all_it_knew(self):
        census = RouterCounter()
        census.count(8, 0)
        hearing = census.count(1, 10)
        self.assertEqual(hearing, PeerCount(8, reachable=False))
        self.assertEqual(granted_share(WorkspaceDemand(1), hearing), 1 / 8)

    def test_smaller_fleet_is_believed_after_a_while(self):
        census = RouterCounter()
        census.count(8, 0)
        self.assertTrue(census.count(1, 700).reachable)


class TestPassingOn(TestCase):
    def test_demand_waits_for_its_turn_in_the_agents_bytes(self):
        parts = tuple((f'b/w{number}', 0.5) for number in range(MAX_DEMANDS))
        known = Demand('r1', 100, parts)
        turn_s = demand_turn_s(380)
        for later, is_news in ((turn_s - 1, False), (turn_s + 1, True)):
            fresh = Demand('r1', 100 + later, (('b/w0', 0.9),))
            self.assertEqual(is_demand_news(known, fresh, 380), is_news)

    def test_demand_that_hardly_changes_is_not_passed_on(self):
        known = Demand('r1', 0, (('b/w', 0.5),))
        for part, is_news in ((0.6, False), (0.7, True), (0, True)):
            fresh = Demand('r1', 100, (('b/w', part),))
            self.assertEqual(is_demand_news(known, fresh, 8), is_news)


class TestLedger(TestCase):
    def setUp(self):
        self.ledger = LimitLedger()

    def test_one_router_gives_out_the_whole_rate(self):
        self.assertAlmostEqual(
            offer(self.ledger, 200, 10), 80 * 10 + 80, delta=1
        )

    def test_even_share_when_peers_cannot_be_heard(self):
        self.ledger.update_peers(
            DemandSnapshot(PeerCount(8, reachable=False)), 0
        )
        self.assertAlmostEqual(
            offer(self.ledger, 200, 10), 10 * 10 + 10, delta=1
        )

    def test_unreported_demand_takes_no_more_than_its_silent_part(self):
        self.ledger.update_peers(
            DemandSnapshot(PeerCount(8, reachable=True), {'b/w': 0.9}), 0
        )
        offer(self.ledger, 200, 10)
        self.assertAlmostEqual(self.ledger.granted_share('b/w', 10), 0.1 / 8)

    def test_reported_demand_counts_once_peers_have_heard_of_it(self):
        hearing = PeerCount(8, reachable=True)
        for second in range(6):
            offer(self.ledger, 200, 1, start=second)
            own = self.ledger.report(second + 1)
            self.ledger.update_peers(
                DemandSnapshot(hearing, {'b/w': 0.9}, own), second + 1
            )
        self.assertGreater(self.ledger.granted_share('b/w', 6), 0.5)
        self.assertEqual(self.ledger.granted_share('b/w', 12), 1 / 8)

    def test_report_that_agents_do_not_pass_on_does_not_count(self):
        self.ledger.update_peers(
            DemandSnapshot(PeerCount(8, reachable=True), {'b/w': 0.9}), 0
        )
        for second in range(10):
            offer(self.ledger, 200, 1, start=second)
            self.ledger.report(second + 1)
        self.assertAlmostEqual(self.ledger.granted_share('b/w', 10), 0.1 / 8)

    def test_report_leaves_out_what_is_idle_and_names_the_greatest(self):
        offer(self.ledger, 200, 1)
        self.assertEqual(set(self.ledger.report(1)), {'b/w'})
        self.assertEqual(self.ledger.report(9), {})
        demands = {f'w{number}': 2.0**-number for number in range(12)}
        reported = demands_to_report(demands, 8)
        greatest = {f'w{number}' for number in range(MAX_DEMANDS)}
        self.assertEqual(set(reported), greatest & demands.keys())

    def test_refusal_says_when_to_come_back(self):
        offer(self.ledger, 1000, 1)
        over = self.ledger.admit(WORKSPACE, 1, 1)
        self.assertIsInstance(over, OverLimit)
        self.assertGreater(over.wait_s, 0)
        self.assertIsNone(self.ledger.admit(WORKSPACE, 1, 1.01 + over.wait_s))

    def test_streams_are_counted_until_they_end(self):
        for _ in range(8):
            self.assertIsNone(self.ledger.admit(WORKSPACE, 1, 0))
        self.assertIsInstance(self.ledger.admit(WORKSPACE, 1, 0), OverLimit)
        self.ledger.release('b/w', 0)
        self.assertIsNone(self.ledger.admit(WORKSPACE, 1, 0))
