"""
What speaks for and against requests that were lost in crashes: targets that
crash by themselves, in virtual time.
"""

from itertools import count
from unittest import TestCase

from mallowcrank.chains.crash_evidence import LostRequest, Trait
from mallowcrank.chains.suspect_traits import SuspectTraits, Suspicion
from tests.utils.crashing_fleet import CrashingFleet

MAX_DEADLY_SENDS = 8  # five, and three that were under way
SIZES = (1, 6, 24)
HOT = Trait('stock', 'd0', is_whole=True)
numbers = count()


def plain_request(random):
    """
    Return the traits of a call: four in five are equal.
    """
    if random.randrange(5):
        return (HOT,)
    return (Trait('stock', f'd{next(numbers)}', is_whole=True),)


class TestAllReplicasAtOnce(TestCase):
    def crash_all(self, gateways, seed):
        fleet = CrashingFleet(gateways, 3, work_s=0.11, seed=seed)
        fleet.load(14, 110, plain_request)
        fleet.answer_others(14, 30)
        for identity in fleet.targets:
            fleet.at(8, fleet.crash, identity)
        fleet.run(14)
        return fleet

    def test_equal_requests_of_several_callers_are_not_to_blame(self):
        for gateways in SIZES:
            for seed in range(10):
                with self.subTest(gateways=gateways, seed=seed):
                    fleet = self.crash_all(gateways, seed)
                    self.assertEqual(fleet.denied, {})

    def test_requests_lost_at_once_are_one_crash_of_a_sound_request(self):
        traits = SuspectTraits()
        other = Trait('stock', 'd1', is_whole=True)
        traits.record_answered((HOT,), 0)
        for number in range(3):
            at = 1 + number / 100
            lost = LostRequest(f'r{number}', f'i-{number}', at, (HOT,))
            traits.record_lost(lost, at)
        for number in range(10):
            traits.record_answered((other,), 2 + number / 10)
        self.assertLess(traits.suspicions(4).get(HOT, 0), Suspicion.CONFIRMED)

    def test_sound_request_that_turns_deadly_is_to_blame(self):
        traits = SuspectTraits()
        other = Trait('stock', 'd1', is_whole=True)
        traits.record_answered((HOT,), 0)
        for number in range(3):
            at = 1 + number
            lost = LostRequest(f'r{number}', f'i-{number}', at, (HOT,))
            traits.record_lost(lost, at)
            for _ in range(2):
                traits.record_answered((other,), at + 0.5)
        self.assertEqual(traits.suspicions(4)[HOT], Suspicion.CONFIRMED)

    def test_hot_request_that_is_deadly_is_found(self):
        for gateways in SIZES:
            with self.subTest(gateways=gateways):
                fleet = CrashingFleet(gateways, 8, 0.11, HOT)
                fleet.load(
                    10,
                    20,
                    lambda random: (
                        Trait('stock', f'd{next(numbers)}', is_whole=True),
                    ),
                )
                fleet.load(10, 2.5, lambda _: (HOT,))
                fleet.run(10)
                self.assertLessEqual(fleet.deadly_sends, MAX_DEADLY_SENDS)
                self.assertEqual(set(fleet.denied), {HOT})
