"""
Limits across routers: shares by demand, with even shares as the fallback.
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
from mallowcrank.membership.routers import should_publish_demand
from mallowcrank.view import MAX_DEMANDS, WorkspaceSettings, demand_interval_s

WORKSPACE = WorkspaceSettings('b/w', 'b', request_rate=80, streams=8)


def offer(ledger, rate, seconds, start=0):
    """
    Offer requests at a steady rate.

    :param rate: requests per second.
    :param start: steady time of the first request, in seconds.
    :returns: the number of admitted requests.
    """
    admitted = 0
    for number in range(int(rate * seconds)):
        now = start + number / rate
        if ledger.admit(WORKSPACE, 1, now) is None:
            admitted += 1
            ledger.release('b/w', 0)
    return admitted


class TestGrantedShare(TestCase):
    def test_shares_add_up_to_the_limit(self):
        demands = [0.9, 0.5, 0.1, 0.05]
        peers = PeerCount(4, reachable=True)
        shares = [
            granted_share(WorkspaceDemand(own, sum(demands) - own), peers)
            for own in demands
        ]
        self.assertAlmostEqual(sum(shares), 1)
        self.assertEqual(shares, sorted(shares, reverse=True))

    def test_new_demand_gets_an_even_share_until_it_reaches_the_peers(self):
        fresh = WorkspaceDemand(others=1, is_new=True)
        self.assertEqual(
            granted_share(fresh, PeerCount(4, reachable=True)), 0.25
        )

    def test_home_router_uses_half_of_the_limit_while_others_use_little(self):
        peers = PeerCount(100, reachable=True)
        self.assertEqual(
            granted_share(WorkspaceDemand(is_home=True), peers), 0.5
        )
        share = granted_share(WorkspaceDemand(others=0.7, is_home=True), peers)
        self.assertAlmostEqual(share, 0.2)
        share = granted_share(WorkspaceDemand(others=3, is_home=True), peers)
        self.assertAlmostEqual(share, 0.1 / 100)

    def test_shares_of_busy_home_routers_stay_within_the_limit(self):
        peers = PeerCount(100, reachable=True)
        demands = [2, 1.5, 0.1]
        shares = [
            granted_share(
                WorkspaceDemand(own, sum(demands) - own, is_home=True), peers
            )
            for own in demands
        ]
        self.assertLessEqual(sum(shares), 1)
        self.assertGreater(sum(shares), 0.9)

    def test_cut_off_router_falls_back_to_an_even_share(self):
        counter = RouterCounter()
        counter.count(8, 0)
        peers = counter.count(1, 10)
        self.assertEqual(peers, PeerCount(8, reachable=False))
        self.assertEqual(granted_share(WorkspaceDemand(1), peers), 1 / 8)

    def test_lower_router_count_is_accepted_after_a_while(self):
        counter = RouterCounter()
        counter.count(8, 0)
        self.assertTrue(counter.count(1, 700).reachable)


class TestDemandPropagation(TestCase):
    def test_changed_demand_is_published_at_its_turn(self):
        shares = tuple((f'b/w{number}', 0.5) for number in range(MAX_DEMANDS))
        published = Demand('r1', 100, shares)
        turn_s = demand_interval_s(380)
        for delay_s, is_news in ((turn_s - 1, False), (turn_s + 1, True)):
            fresh = Demand('r1', 100 + delay_s, (('b/w0', 0.9),))
            self.assertEqual(
                should_publish_demand(published, fresh, 380), is_news
            )

    def test_small_change_of_demand_is_not_published(self):
        published = Demand('r1', 0, (('b/w', 0.5),))
        for share, is_news in ((0.6, False), (0.7, True), (0, True)):
            fresh = Demand('r1', 100, (('b/w', share),))
            self.assertEqual(
                should_publish_demand(published, fresh, 8), is_news
            )


class TestLimitLedger(TestCase):
    def setUp(self):
        self.ledger = LimitLedger()

    def test_single_router_admits_the_whole_rate(self):
        self.assertAlmostEqual(
            offer(self.ledger, 200, 10), 80 * 10 + 80, delta=1
        )

    def test_unreachable_peers_leave_an_even_share(self):
        self.ledger.update_peers(
            DemandSnapshot(PeerCount(8, reachable=False)), 0
        )
        self.assertAlmostEqual(
            offer(self.ledger, 200, 10), 10 * 10 + 10, delta=1
        )

    def test_unreported_demand_gets_only_the_unreported_share(self):
        self.ledger.update_peers(
            DemandSnapshot(PeerCount(8, reachable=True), {'b/w': 0.9}), 0
        )
        offer(self.ledger, 200, 10)
        self.assertAlmostEqual(self.ledger.granted_share('b/w', 10), 0.1 / 8)

    def test_reported_demand_counts_once_it_reaches_the_peers(self):
        peers = PeerCount(8, reachable=True)
        for second in range(6):
            offer(self.ledger, 200, 1, start=second)
            own = self.ledger.report(second + 1)
            self.ledger.update_peers(
                DemandSnapshot(peers, {'b/w': 0.9}, own), second + 1
            )
        self.assertGreater(self.ledger.granted_share('b/w', 6), 0.5)
        self.assertEqual(self.ledger.granted_share('b/w', 12), 1 / 8)

    def test_report_that_agents_do_not_publish_does_not_count(self):
        self.ledger.update_peers(
            DemandSnapshot(PeerCount(8, reachable=True), {'b/w': 0.9}), 0
        )
        for second in range(10):
            offer(self.ledger, 200, 1, start=second)
            self.ledger.report(second + 1)
        self.assertAlmostEqual(self.ledger.granted_share('b/w', 10), 0.1 / 8)

    def test_report_has_the_highest_demands_and_no_idle_ones(self):
        offer(self.ledger, 200, 1)
        self.assertEqual(set(self.ledger.report(1)), {'b/w'})
        self.assertEqual(self.ledger.report(9), {})
        demands = {f'w{number}': 2.0**-number for number in range(12)}
        reported = demands_to_report(demands, 8)
        greatest = {f'w{number}' for number in range(MAX_DEMANDS)}
        self.assertEqual(set(reported), greatest & demands.keys())

    def test_refusal_names_a_delay_after_which_a_retry_is_admitted(self):
        offer(self.ledger, 1000, 1)
        over_limit = self.ledger.admit(WORKSPACE, 1, 1)
        self.assertIsInstance(over_limit, OverLimit)
        self.assertGreater(over_limit.wait_s, 0)
        self.assertIsNone(
            self.ledger.admit(WORKSPACE, 1, 1.01 + over_limit.wait_s)
        )

    def test_streams_are_counted_until_they_end(self):
        for _ in range(8):
            self.assertIsNone(self.ledger.admit(WORKSPACE, 1, 0))
        self.assertIsInstance(self.ledger.admit(WORKSPACE, 1, 0), OverLimit)
        self.ledger.release('b/w', 0)
        self.assertIsNone(self.ledger.admit(WORKSPACE, 1, 0))
