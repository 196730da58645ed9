"""
What speaks for and against requests that were lost in crashes: targets that
crash by themselves, in virtual time.
"""

from itertools import count
from unittest import TestCase
from unittest.mock import Mock

from mallowcrank.chains.crash_evidence import LostRequest, Trait
from mallowcrank.chains.suspect_traits import SuspectTraits, Suspicion
from mallowcrank.gateway.suspects import Suspects
from mallowcrank.gateway.targets import Lifetime
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


def model_request(random):
    """
    Return the traits of a prompt: a part that all share, one of 180, and its
    own digest.
    """
    return (
        Trait('model', 'system'),
        Trait('model', f'p{random.randrange(180)}'),
        Trait('model', f'd{next(numbers)}', is_whole=True),
    )


class TestEnginesThatCrashByThemselves(TestCase):
    def play(self, gateways, seed, deadly=None):
        fleet = CrashingFleet(gateways, 18, 1.5, deadly, seed)
        fleet.load(50, 25, model_request)
        fleet.answer_others(50, 10)
        fleet.crash_each(3, share=1 / 3, until=40)
        return fleet

    def test_parts_lost_in_crashes_at_random_are_not_refused_for_good(self):
        for gateways in SIZES:
            for seed in range(3):
                with self.subTest(gateways=gateways, seed=seed):
                    fleet = self.play(gateways, seed)
                    fleet.run(50)
                    self.assertEqual(fleet.denied, {})

    def test_deadly_part_beside_other_crashes_is_found(self):
        deadly = Trait('model', 'deadly')
        for gateways in SIZES:
            with self.subTest(gateways=gateways):
                fleet = self.play(gateways, 1, deadly)
                fleet.load(
                    50, 1, lambda random: (deadly, *model_request(random))
                )
                fleet.run(50)
                self.assertLessEqual(fleet.deadly_sends, MAX_DEADLY_SENDS)


class TestModelThatCrashesAsAWhole(TestCase):
    def test_part_that_all_requests_share_is_served_once_engines_are_back(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                fleet = CrashingFleet(3, 2, work_s=0.4, seed=seed)
                fleet.load(30, 15, model_request)
                fleet.answer_others(30, 10)
                for moment in (8, 11, 14, 17):
                    for identity in fleet.targets:
                        fleet.at(moment, fleet.crash, identity)
                fleet.run(30)
                self.assertEqual(fleet.denied, {})
                self.assertGreater(
                    fleet.statuses['served'], 0.8 * 15 * (8 + 30 - 19.5)
                )


class TestEvidence(TestCase):
    def setUp(self):
        self.traits = SuspectTraits()
        self.part = Trait('model', 'p1')
        self.other = Trait('model', 'p2')

    def lose(self, trait, target, at):
        lost = LostRequest(f'{trait.name}-{target}', target, at, (trait,))
        self.traits.record_lost(lost, at)

    def lose_twice(self):
        for number in range(2):
            self.lose(self.part, f'i-{number}', 1 + number)
            self.traits.record_answered((self.other,), 1.5 + number)

    def test_part_is_held_while_most_crashes_happen_without_it(self):
        for number in range(3):
            self.lose(self.other, f'j-{number}', 1 + number / 10)
        self.lose_twice()
        self.assertIs(self.traits.suspicions(3)[self.part], Suspicion.HELD)
        self.assertEqual(self.traits.held_until((self.part,), 3), 2 + 8)
        self.assertIs(self.traits.suspicions(10)[self.part], Suspicion.DOUBTFUL)

    def test_crashes_of_other_services_say_nothing(self):
        for number in range(3):
            self.lose(Trait('stock', 'p2'), f'j-{number}', 1 + number / 10)
        self.lose_twice()
        self.assertIs(self.traits.suspicions(3)[self.part], Suspicion.CONFIRMED)

    def test_target_that_turns_out_alive_has_not_crashed(self):
        for number in range(3):
            self.lose(self.other, f'j-{number}', 1 + number / 10)
        self.lose_twice()
        self.traits.drop_survived(lambda target, _: target[0] == 'j', 6)
        self.assertIs(self.traits.suspicions(6)[self.part], Suspicion.CONFIRMED)

    def test_answers_of_another_service_do_not_speak_against_a_part(self):
        for number in range(2):
            self.lose(self.part, f'i-{number}', 1 + number)
            self.traits.record_answered((Trait('stock', 'p2'),), 1.5 + number)
        self.assertIs(self.traits.suspicions(3)[self.part], Suspicion.DOUBTFUL)


class TestAnswersOfOthers(TestCase):
    def test_answer_elsewhere_clears_a_part_that_only_another_one_lost(self):
        loser, server = (Suspects(Mock(), Mock()) for _ in range(2))
        part = Trait('model', 'p1')
        for number in range(2):
            lifetime = Lifetime(f'i-{number}', 0)
            loser.record_lost(f'r{number}', lifetime, (part,))
        server.apply(loser.report(), has_ended=lambda _: True)
        server.record_answered((part,))
        loser.apply(server.report(), has_ended=lambda _: True)
        self.assertIs(loser.suspicion((part,)), Suspicion.NONE)

    def test_answer_that_was_heard_is_not_told_again(self):
        loser, server, other = (Suspects(Mock(), Mock()) for _ in range(3))
        part = Trait('model', 'p1')
        loser.record_lost('r0', Lifetime('i-0', 0), (part,))
        for each in (server, other):
            each.apply(loser.report(), has_ended=lambda _: True)
        server.record_answered((part,))
        other.apply(server.report(), has_ended=lambda _: True)
        self.assertIsNone(other.report())
