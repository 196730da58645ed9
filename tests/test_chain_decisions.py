"""
Memory, retry budget and replicas: decisions of the gateway without I/O.
"""

from random import Random
from unittest import TestCase

from mallowcrank.chains.budget import RetryWindow
from mallowcrank.chains.memory import MemoryLedger, Told
from mallowcrank.chains.paths import Part
from mallowcrank.chains.replicas import ReplicaRecords
from mallowcrank.gateway.settings import Address, Bounds
from mallowcrank.gateway.targets import Lifetime, Target

BOUNDS = Bounds(
    grace_s=8,
    drain_s=2,
    max_directory_ttl_s=5,
    retry_ratio=0.2,
    retry_window_s=10,
    retry_slack=198,
)
ONE = Lifetime('one', 0)
TWO = Lifetime('two', 0)
PATH = (Part(ONE, 0, 30), Part(TWO, 30, 80))


class TestMemoryLedger(TestCase):
    def setUp(self):
        self.ledger = MemoryLedger()

    def test_a_request_reserves_on_each_engine_of_its_path(self):
        self.ledger.reserve(PATH, 1000)
        self.assertEqual(self.ledger.reserved(ONE, 0), 30_000)
        self.assertEqual(self.ledger.reserved(TWO, 0), 50_000)
        self.assertEqual(self.ledger.firsts(ONE), 1)
        self.assertEqual(self.ledger.firsts(TWO), 0)

    def test_all_is_given_back(self):
        random = Random(5)
        sizes = [random.uniform(1, 3000) for _ in range(500)]
        for size in sizes:
            self.ledger.reserve(PATH, size)
        for size in reversed(sizes):
            self.ledger.release(PATH, size)
        self.assertEqual(self.ledger.reserved(ONE, 0), 0)
        self.assertEqual(self.ledger.firsts(ONE), 0)
        self.assertEqual(dict(self.ledger.own()), {})

    def test_what_others_tell_is_added_while_it_is_fresh(self):
        self.ledger.reserve(PATH, 1000)
        self.ledger.hear('other', Told(heard=10, reserved={'one': 500}))
        self.ledger.hear('other', Told(heard=11, reserved={'one': 700}))
        self.assertEqual(self.ledger.reserved(ONE, 11), 30_700)
        self.assertEqual(self.ledger.reserved(ONE, 20), 30_000)

    def test_a_new_lifetime_has_nothing_reserved(self):
        self.ledger.reserve(PATH, 1000)
        self.assertEqual(self.ledger.reserved(Lifetime('one', 5), 0), 0)


class TestRetryBudget(TestCase):
    def spend_all(self, routers, requests, seconds):
        """
        Let routers retry whatever they may.

        :returns: the times of all retries.
        """
        windows = [RetryWindow(BOUNDS) for _ in range(routers)]
        times = []
        for tick in range(seconds * 100):
            now = tick / 100
            for place, window in enumerate(windows):
                if tick % (100 * routers // requests) == place:
                    window.count_request(now)
                if window.allows(now, routers):
                    window.count_retry(now)
                    times.append(now)
        return times

    def test_the_sum_of_all_routers_stays_within_the_bound(self):
        for routers in (1, 7, 11):
            with self.subTest(routers=routers):
                requests = 11
                times = self.spend_all(routers, requests, seconds=40)
                allowed = 198 + 0.2 * requests * 10
                for start in range(0, 30):
                    inside = [at for at in times if start <= at < start + 10]
                    self.assertLessEqual(len(inside), allowed)
                self.assertGreater(len(times), 198 / 2)

    def test_room_comes_back_with_the_window(self):
        window = RetryWindow(BOUNDS)
        while window.allows(0, 7):
            window.count_retry(0)
        self.assertFalse(window.allows(9.9, 7))
        self.assertTrue(window.allows(10.1, 7))


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

    def test_the_own_zone_goes_first_until_it_is_busier(self):
        self.assertEqual(self.pick(), 'near')
        self.records.began(Lifetime('near', 0))
        self.assertEqual(self.pick(), 'far')

    def test_a_failing_replica_gets_less(self):
        for _ in range(6):
            self.records.began(Lifetime('near', 0))
            self.records.ended(Lifetime('near', 0), failed=True)
        self.assertEqual(self.pick(), 'far')
        for _ in range(6):
            self.records.began(Lifetime('near', 0))
            self.records.ended(Lifetime('near', 0), failed=False)
        self.assertEqual(self.pick(), 'near')

    def test_an_avoided_replica_is_not_picked(self):
        self.assertEqual(self.pick([Lifetime('near', 0)]), 'far')
        both = [Lifetime('near', 0), Lifetime('far', 0)]
        self.assertIsNone(self.pick(both))
