"""
Prompts with a part that crashes each engine that begins to answer it.
"""

import json
from collections import Counter
from random import Random
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import Mock, patch

from mallowcrank.chains.suspect_traits import (
    HOLD_S,
    MAX_LOST,
    SOUND_ANSWERS,
    LostRequest,
    SuspectTraits,
    Suspicion,
    Trait,
)
from mallowcrank.gateway.ports import HttpCall
from mallowcrank.gateway.suspects import Suspects
from mallowcrank.gateway.targets import Lifetime
from tests.utils.poisoned_site import DEADLY, FIRST_PART, PoisonedSite

MAX_CRASHES = 5  # after which at most three further requests are run
MAX_LATER = 3
SERVED_SHARE = 0.9  # of sound prompts, beside crashes
SIZES = (6, 24)


class TestDeadlyPart(IsolatedAsyncioTestCase):
    async def start(self, size):
        site = PoisonedSite(size)
        self.addAsyncCleanup(site.close)
        await site.start()
        return site

    async def test_engines_stop_crashing_at_a_deadly_part(self):
        for size in SIZES:
            with self.subTest(size=size):
                site = await self.start(size)
                await site.load(2, poisoned_share=0)
                site.poison()
                await site.load(10)
                self.assertLessEqual(site.crashes, MAX_CRASHES + MAX_LATER)
                sound = site.statuses
                self.assertGreater(
                    sound[200], SERVED_SHARE * sound.total(), sound
                )

    async def test_request_that_crashed_an_engine_is_not_sent_again(self):
        site = await self.start(6)
        await site.load(1, poisoned_share=0)
        site.poison()
        for _ in range(3):
            await site.send(is_poisoned=True)
        runs = site.poisoned_runs
        self.assertEqual(len(runs), len(set(runs)))

    async def test_part_that_turns_deadly_is_found(self):
        site = await self.start(6)
        await site.load(3, poisoned_share=0.1)
        site.poison()
        await site.load(12)
        self.assertLessEqual(site.crashes, MAX_CRASHES + MAX_LATER)
        self.assertGreater(
            site.statuses[200], SERVED_SHARE * site.statuses.total()
        )

    async def test_restarted_gateway_hears_of_a_deadly_part(self):
        site = await self.start(6)
        await site.load(1, poisoned_share=0)
        site.poison()
        await site.load(5)
        before = site.crashes
        seeds = (str(site.gateways[0].settings.listening.peers),)
        started = await site.world.start_gateway(seeds=seeds)
        await site.world.wait_for(lambda: started.core.peers.live())
        response = await site.send(is_poisoned=True, gateway=started)
        self.assertEqual(response.status, 422)
        self.assertEqual(site.crashes, before)

    async def test_refusal_of_a_deadly_part_is_final(self):
        site = await self.start(6)
        await site.load(1, poisoned_share=0)
        site.poison()
        await site.load(5)
        response = await site.send(is_poisoned=True)
        self.assertEqual(response.status, 422)
        self.assertNotIn(b'retry-after', response.headers)

    async def test_crash_for_another_reason_blames_no_part(self):
        site = await self.start(6)
        await site.load(2, poisoned_share=0)
        for number in range(4):
            site.engines[number].crash()
            await site.load(1.5, poisoned_share=0)
        await site.load(1, poisoned_share=0)
        self.assertNotIn(422, site.statuses)
        self.assertGreater(
            site.statuses[200], SERVED_SHARE * site.statuses.total()
        )

    async def test_two_deadly_parts_are_found(self):
        site = await self.start(6)
        await site.load(2, poisoned_share=0)
        site.poison(DEADLY, 'a3')
        await site.load(12)
        self.assertLessEqual(site.crashes, 2 * (MAX_CRASHES + MAX_LATER))
        self.assertGreater(site.statuses[200], 0.8 * site.statuses.total())

    async def test_operator_sees_and_clears_a_part(self):
        site = await self.start(2)
        await site.load(1, poisoned_share=0)
        site.poison()
        await site.load(5)
        for engine in site.engines:
            engine.deadly_parts = set()
        metrics = site.gateways[0].settings.metrics
        pool = site.gateways[0].core.pool
        listed = await pool.fetch(metrics, HttpCall('GET', '/suspects'), 1)
        rows = {row['part']: row for row in json.loads(listed.body)}
        self.assertEqual(rows[DEADLY]['suspicion'], 'confirmed')
        self.assertGreater(len(rows[DEADLY]['lost']), 1)
        query = f'service=model&part={DEADLY}'
        await pool.fetch(metrics, HttpCall('DELETE', f'/suspects?{query}'), 1)
        part = Trait('model', DEADLY)
        await site.world.wait_for(
            lambda: (
                not any(
                    gateway.core.suspects.suspicion((part,))
                    for gateway in site.gateways
                )
            )
        )
        response = await site.send(is_poisoned=True)
        self.assertEqual(response.status, 200)


class SuspectNetwork:
    """
    Gateways in virtual time, which hear each other's statuses in turn.
    """

    status_interval_s = 0.5

    def __init__(self, size):
        self.now = 100.0
        self.crashes = 0
        self.refused = Counter()
        self.random = Random(1)
        self.gateways = [Suspects(Mock(), Mock()) for _ in range(size)]
        self.answered = 0
        self.whole = None

    def run(self, seconds, sound_per_s, deadly_per_s):
        step_s = 0.01
        with patch('mallowcrank.gateway.suspects.monotonic_s', self.read_clock):
            for number in range(int(seconds / step_s)):
                self.now += step_s
                if self.random.random() < sound_per_s * step_s:
                    self.send(f'a{self.random.randrange(12)}')
                if self.random.random() < deadly_per_s * step_s:
                    self.send(DEADLY)
                if number % int(self.status_interval_s / step_s) == 0:
                    self.exchange()

    def read_clock(self):
        return self.now

    def send(self, middle):
        gateway = self.random.choice(self.gateways)
        parts = tuple(map(part_of, (FIRST_PART, middle)))
        if self.whole and middle == DEADLY:
            parts = (part_of(FIRST_PART), part_of('a1'), self.whole)
        if gateway.suspicion(parts) is Suspicion.CONFIRMED:
            self.refused[middle] += 1
        elif middle == DEADLY:
            self.crashes += 1
            engine = Lifetime(f'i-{self.crashes}', 0)
            gateway.record_lost(f'r{self.crashes}', engine, parts)
        else:
            self.answered += 1
            gateway.record_answered(parts)

    def lose_streams(self, crash):
        for number, gateway in enumerate(self.gateways * 20):
            name = f'{crash}-{number}'
            traits = (part_of(f'p{name}'), Trait('model', name, is_whole=True))
            gateway.record_lost(name, Lifetime(f'e{crash}', 0), traits, 3)

    def exchange(self):
        reports = [gateway.report() for gateway in self.gateways]
        for receiver in self.gateways:
            for report in filter(None, reports):
                receiver.apply(report, has_ended=lambda lifetime: True)


class TestManyGateways(TestCase):
    def test_few_requests_run_before_all_gateways_refuse_a_part(self):
        for size in (6, 24, 84):
            with self.subTest(size=size):
                network = SuspectNetwork(size)
                network.run(20, sound_per_s=45, deadly_per_s=1.2)
                self.assertLessEqual(network.crashes, MAX_CRASHES)
                self.assertEqual(set(network.refused), {DEADLY})

    def test_frequent_requests_with_a_deadly_part_stop_within_a_second(self):
        network = SuspectNetwork(84)
        network.run(3, sound_per_s=45, deadly_per_s=6)
        before = network.crashes
        network.run(20, sound_per_s=45, deadly_per_s=6)
        self.assertEqual(network.crashes, before)
        self.assertEqual(set(network.refused), {DEADLY})

    def test_few_repetitions_run_before_all_gateways_refuse_them(self):
        for size in (6, 24, 84):
            with self.subTest(size=size):
                network = SuspectNetwork(size)
                network.whole = Trait('model', 'd1', is_whole=True)
                network.run(15, sound_per_s=45, deadly_per_s=2.5)
                self.assertLessEqual(network.crashes, MAX_CRASHES)
                before = network.crashes
                network.run(15, sound_per_s=45, deadly_per_s=2.5)
                self.assertEqual(network.crashes, before)
                self.assertEqual(set(network.refused), {DEADLY})

    def test_bystanders_of_crashes_do_not_hide_a_deadly_call(self):
        network = SuspectNetwork(8)
        with patch(
            'mallowcrank.gateway.suspects.monotonic_s', network.read_clock
        ):
            deadly = Trait('stock', 'd', is_whole=True)
            for crash, gateway in enumerate(network.gateways[:3]):
                network.lose_streams(crash)
                target = Lifetime(f's{crash}', 0)
                gateway.record_lost(f'd{crash}', target, (deadly,))
                network.now += 0.3
                network.exchange()
            network.exchange()
            for gateway in network.gateways:
                self.assertIs(gateway.suspicion((deadly,)), Suspicion.CONFIRMED)


class TestRepeatedRequests(TestCase):
    def setUp(self):
        self.traits = SuspectTraits()
        self.whole = Trait('stock', 'd1', is_whole=True)

    def lose(self, at, target, *others):
        lost = LostRequest(f'r{at}', target, at, (self.whole, *others))
        self.traits.record_lost(lost, at)

    def suspicion(self, now, trait=None):
        known = self.traits.suspicions(now)
        return known.get(trait or self.whole, Suspicion.NONE)

    def test_third_crash_shows_that_a_request_is_to_blame(self):
        for at, target in enumerate(('i-1', 'i-2', 'i-3'), start=1):
            self.assertNotEqual(self.suspicion(at), Suspicion.CONFIRMED)
            self.lose(at, target)
        self.assertEqual(self.suspicion(3), Suspicion.CONFIRMED)

    def test_losses_in_one_lifetime_are_one_crash(self):
        for at in (1, 2, 3):
            self.lose(at, 'i-1')
        self.assertEqual(self.suspicion(3), Suspicion.DOUBTFUL)

    def test_targets_that_crash_at_once_count_each(self):
        for number in range(3):
            self.lose(1 + number / 100, f'i-{number}')
        self.assertEqual(self.suspicion(2), Suspicion.CONFIRMED)

    def test_complete_answer_clears_a_request(self):
        for number in range(2):
            self.lose(1 + number, f'i-{number}')
        self.traits.record_answered((self.whole,), 3)
        self.assertEqual(self.suspicion(3), Suspicion.NONE)
        self.lose(4, 'i-4')
        self.assertNotEqual(self.suspicion(4), Suspicion.CONFIRMED)

    def test_repeated_request_explains_losses_of_its_parts(self):
        part = part_of('x')
        for number in range(3):
            self.lose(1 + number, f'i-{number}', part)
        self.traits.record_answered((part_of('z'),), 5)
        self.assertEqual(self.suspicion(5), Suspicion.CONFIRMED)
        self.assertEqual(self.suspicion(5, part), Suspicion.NONE)

    def test_repeated_request_puts_no_sound_part_in_doubt(self):
        part = part_of('x')
        self.traits.record_answered((part,), 0)
        for number in range(2):
            self.lose(1 + number, f'i-{number}', part)
            lost = LostRequest(f'b{number}', f'i-{number}', 1 + number, (part,))
            self.traits.record_lost(lost, 1 + number)
        self.assertEqual(self.suspicion(3), Suspicion.DOUBTFUL)
        self.assertEqual(self.suspicion(3, part), Suspicion.NONE)

    def test_bystander_that_is_lost_as_often_does_not_exonerate(self):
        for order in ('before', 'after'):
            with self.subTest(order=order):
                self.setUp()
                bystander = Trait('stock', 'd2', is_whole=True)
                for number in range(3):
                    at = 1 + number
                    lost = LostRequest('b', f'i-{number}', at, (bystander,))
                    if order == 'before':
                        self.traits.record_lost(lost, at)
                    self.lose(at + 0.1, f'i-{number}')
                    self.traits.record_lost(lost, at)
                self.assertEqual(self.suspicion(4), Suspicion.CONFIRMED)

    def test_bystander_of_each_crash_is_not_to_blame(self):
        bystander = Trait('stock', 'd2', is_whole=True)
        for number in range(3):
            self.lose(1 + number, f'i-{number}')
            if number:
                lost = LostRequest('b', f'i-{number}', 1 + number, (bystander,))
                self.traits.record_lost(lost, 1 + number)
        self.assertEqual(self.suspicion(4, bystander), Suspicion.NONE)

    def test_losses_that_were_a_cut_of_this_gateway_are_dropped(self):
        for number in range(3):
            self.lose(1 + number, f'i-{number}')
        self.traits.drop_since(2)
        self.assertEqual(self.suspicion(4), Suspicion.DOUBTFUL)

    def test_losses_of_a_target_that_lives_are_dropped(self):
        for number in range(3):
            self.lose(1 + number, f'i-{number}')
        self.traits.drop_survived(lambda identity, born: identity == 'i-2', 4)
        self.assertEqual(self.suspicion(4), Suspicion.CONFIRMED)
        self.traits.drop_survived(lambda identity, born: identity == 'i-2', 7)
        self.assertEqual(self.suspicion(7), Suspicion.DOUBTFUL)


class TestSuspectTraits(TestCase):
    def setUp(self):
        self.parts = SuspectTraits()
        self.lost_count = 0

    def lose(self, at, *names):
        self.lost_count += 1
        lost = LostRequest(
            f'r{self.lost_count}', 'i-1', at, tuple(map(part_of, names))
        )
        self.parts.record_lost(lost, at)

    def answer(self, at, *names):
        self.parts.record_answered(map(part_of, names), at)

    def suspicion(self, name, now):
        return self.parts.suspicions(now).get(part_of(name), Suspicion.NONE)

    def test_part_of_two_crashes_is_to_blame(self):
        self.lose(0, FIRST_PART, 'x')
        self.assertEqual(self.suspicion('x', 0), Suspicion.DOUBTFUL)
        self.answer(0.5, FIRST_PART, 'y')
        self.lose(1, FIRST_PART, 'x')
        self.answer(1.5, FIRST_PART, 'y')
        self.assertEqual(self.suspicion('x', 2), Suspicion.CONFIRMED)
        self.assertEqual(self.suspicion(FIRST_PART, 2), Suspicion.NONE)

    def test_request_that_is_lost_twice_shows_two_crashes(self):
        for engine in ('i-1', 'i-2'):
            lost = LostRequest('r', engine, 0.1, (part_of('x'),))
            self.parts.record_lost(lost, 0.1)
        self.answer(1, 'z')
        self.assertEqual(self.suspicion('x', 1), Suspicion.CONFIRMED)

    def test_part_that_another_gateway_confirms_is_to_blame(self):
        for at in (0, 1):
            self.lose(at, 'x')
        self.assertEqual(self.suspicion('x', 1), Suspicion.DOUBTFUL)
        self.parts.record_confirmed(part_of('x'), 1)
        self.parts.record_confirmed(part_of('unknown'), 1)
        self.assertEqual(self.suspicion('x', 1), Suspicion.CONFIRMED)
        self.assertEqual(self.suspicion('x', 20), Suspicion.DOUBTFUL)
        self.assertEqual(self.suspicion('unknown', 1), Suspicion.NONE)

    def test_requests_lost_at_once_are_one_crash(self):
        for at in (0, 0.1, 0.2):
            self.lose(at, FIRST_PART, 'x')
        self.answer(1, FIRST_PART)
        self.assertEqual(self.suspicion('x', 1), Suspicion.DOUBTFUL)

    def test_answered_part_is_not_to_blame(self):
        self.lose(0, 'x')
        self.answer(1, 'x')
        self.lose(2, 'x')
        self.assertNotEqual(self.suspicion('x', 2), Suspicion.CONFIRMED)

    def test_no_part_is_to_blame_while_nothing_is_answered(self):
        self.answer(0, FIRST_PART)
        for at in (1, 2, 3, 4, 5):
            self.lose(at, FIRST_PART, f'x{at}')
        self.assertNotEqual(self.suspicion(FIRST_PART, 5), Suspicion.CONFIRMED)

    def test_parts_that_crashes_cannot_tell_apart_are_in_doubt(self):
        for at in (0, 1):
            self.lose(at, 'x', 'y')
        self.answer(2, 'z')
        for name in ('x', 'y'):
            self.assertEqual(self.suspicion(name, 2), Suspicion.DOUBTFUL)

    def test_new_parts_of_many_crashes_are_to_blame_without_answers(self):
        for at in range(4):
            self.lose(at, 'x', 'y')
        self.assertEqual(self.suspicion('x', 4), Suspicion.CONFIRMED)

    def test_part_that_was_answered_before_needs_more_crashes(self):
        self.answer(0, FIRST_PART, 'x')
        for at in range(1, 4):
            self.assertNotEqual(self.suspicion('x', at), Suspicion.CONFIRMED)
            self.lose(at, FIRST_PART, 'x')
            for _ in range(SOUND_ANSWERS):
                self.answer(at + 0.5, FIRST_PART)
        self.assertEqual(self.suspicion('x', 5), Suspicion.CONFIRMED)

    def test_losses_that_a_deadly_part_explains_blame_no_other(self):
        for at in (0, 1, 2):
            self.lose(at, 'x', f'y{at % 2}')
        self.answer(3, 'z')
        self.assertEqual(self.suspicion('x', 3), Suspicion.CONFIRMED)
        self.assertEqual(self.suspicion('y0', 3), Suspicion.NONE)

    def test_part_is_tried_again_after_a_while(self):
        for at in (0, 1):
            self.lose(at, 'x')
        self.answer(2, 'z')
        self.assertEqual(self.suspicion('x', HOLD_S), Suspicion.CONFIRMED)
        self.assertEqual(self.suspicion('x', HOLD_S + 2), Suspicion.DOUBTFUL)
        self.lose(HOLD_S + 2, 'x')
        later = 2 * HOLD_S + 30
        self.assertEqual(self.suspicion('x', later), Suspicion.CONFIRMED)

    def test_lost_requests_are_bounded(self):
        for at in range(3 * MAX_LOST):
            self.lose(at, f'x{at}')
        self.assertLessEqual(len(self.parts.lost), MAX_LOST)


def part_of(name):
    return Trait('model', name)
