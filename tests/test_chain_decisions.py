"""
Memory reservations, the retry budget and the choice of replicas.
"""

from random import Random
from unittest import TestCase

from mallowcrank.chains.budget import RetryWindow, RetryWindows
from mallowcrank.chains.memory import MemoryLedger, PeerReservations
from mallowcrank.chains.paths import PathSegment
from mallowcrank.chains.replicas import ReplicaRecords
from mallowcrank.gateway.settings import Address, Bounds
from mallowcrank.gateway.targets import Lifetime, Target

BOUNDS = Bounds(
    grace_s=8,
    drain_s=2,
    config_s=2,
    max_directory_ttl_s=5,
    retry_ratio=0.2,
    retry_window_s=10,
    retry_slack=198,
)
ONE = Lifetime('one', 0)
TWO = Lifetime('two', 0)
PATH = (PathSegment(ONE, 0, 30), PathSegment(TWO, 30, 80))


class TestMemoryLedger(TestCase):
    def setUp(self):
        self.ledger = MemoryLedger()

    def test_request_reserves_memory_on_each_engine_of_its_path(self):
        self.ledger.reserve(PATH, 1000)
        self.assertEqual(self.ledger.reserved(ONE, 0), 30_000)
        self.assertEqual(self.ledger.reserved(TWO, 0), 50_000)
        self.assertEqual(self.ledger.started_paths(ONE), 1)
        self.assertEqual(self.ledger.started_paths(TWO), 0)

    def test_releases_leave_no_reservation_behind(self):
        random = Random(5)
        sizes = [random.uniform(1, 3000) for _ in range(500)]
        for size in sizes:
            self.ledger.reserve(PATH, size)
        for size in reversed(sizes):
            self.ledger.release(PATH, size)
        self.assertEqual(self.ledger.reserved(ONE, 0), 0)
        self.assertEqual(self.ledger.started_paths(ONE), 0)
        self.assertEqual(dict(self.ledger.own_reservations()), {})

    def test_reservations_of_peers_count_until_they_expire(self):
        self.ledger.reserve(PATH, 1000)
        self.ledger.update_peer(
            'other', PeerReservations(received_at_s=10, reserved={'one': 500})
        )
        self.ledger.update_peer(
            'other', PeerReservations(received_at_s=11, reserved={'one': 700})
        )
        self.assertEqual(self.ledger.reserved(ONE, 11), 30_700)
        self.assertEqual(self.ledger.reserved(ONE, 20), 30_000)

    def test_restarted_engine_has_no_reservations(self):
        self.ledger.reserve(PATH, 1000)
        self.assertEqual(self.ledger.reserved(Lifetime('one', 5), 0), 0)


class TestRetryBudget(TestCase):
    def spend_all(self, routers, requests, seconds):
        """
        Let routers retry as often as the budget allows.

        :returns: the times of all retries, in seconds.
        """
        windows = [RetryWindow(BOUNDS) for _ in range(routers)]
        times = []
        for tick in range(seconds * 100):
            now = tick / 100
            for index, window in enumerate(windows):
                if tick % (100 * routers // requests) == index:
                    window.count_request(now)
                if window.allows_retry(now, routers):
                    window.count_retry(now)
                    times.append(now)
        return times

    def test_retries_of_all_routers_stay_within_the_bound(self):
        for routers in (1, 7, 11):
            with self.subTest(routers=routers):
                requests = 11
                times = self.spend_all(routers, requests, seconds=40)
                allowed = 198 + 0.2 * requests * 10
                for start in range(0, 30):
                    inside = [at for at in times if start <= at < start + 10]
                    self.assertLessEqual(len(inside), allowed)
                self.assertGreater(len(times), 198 / 2)

    def test_restarted_routers_do_not_spend_their_slack_twice(self):
        times = []
        for started_at in (0, 15):
            windows = RetryWindows(BOUNDS, started_at)
            for tick in range(started_at * 100, (started_at + 15) * 100):
                now = tick / 100
                window = windows.for_service('engines')
                if window.allows_retry(now, 1):
                    window.count_retry(now)
                    times.append(now)
        self.assertGreater(len(times), BOUNDS.retry_slack / 2)
        for start in range(0, 25):
            inside = [at for at in times if start <= at < start + 10]
            self.assertLessEqual(len(inside), BOUNDS.retry_slack)

    def test_budget_recovers_as_the_window_slides(self):
        window = RetryWindow(BOUNDS)
        while window.allows_retry(0, 7):
            window.count_retry(0)
        self.assertFalse(window.allows_retry(9.9, 7))
        self.assertTrue(window.allows_retry(10.1, 7))


def replica(name, zone='a'):
    return Target(
        lifetime=Lifetime(name, 0),
        service='stock',
        address=Address('10.0.0.1', 80),
        zone=zone,
        slots=6,
        leaving=False,
        layers=None,
        kind='',
    )


class TestReplicas(TestCase):
    def setUp(self):
        self.records = ReplicaRecords()
        self.targets = [replica('near'), replica('far', 'b')]

    def pick(self, avoided=()):
        picked = self.records.pick(self.targets, 'a', avoided, 0)
        return picked and picked.identity

    def test_own_zone_is_preferred_until_it_is_busier(self):
        self.assertEqual(self.pick(), 'near')
        self.records.record_start(Lifetime('near', 0))
        self.assertEqual(self.pick(), 'far')

    def test_failing_replica_gets_fewer_calls(self):
        for _ in range(6):
            self.records.record_start(Lifetime('near', 0))
            self.records.record_end(Lifetime('near', 0), failed=True)
        self.assertEqual(self.pick(), 'far')
        for _ in range(6):
            self.records.record_start(Lifetime('near', 0))
            self.records.record_end(Lifetime('near', 0), failed=False)
        self.assertEqual(self.pick(), 'near')

    def test_avoided_replica_is_not_picked(self):
        self.assertEqual(self.pick([Lifetime('near', 0)]), 'far')
        both_targets = [Lifetime('near', 0), Lifetime('far', 0)]
        self.assertIsNone(self.pick(both_targets))
