"""
Paths over chains of engines.
"""

from random import Random
from unittest import TestCase

from mallowcrank.chains.engines import ChainEngine, Need, request_room
from mallowcrank.chains.paths import (
    ChainPath,
    Choosing,
    NoPath,
    Part,
    choose_path,
    detour,
)
from mallowcrank.gateway.desired import Accelerator
from mallowcrank.gateway.targets import HeldLayers, Lifetime
from mallowcrank.platform.standins.bodies import desired_body
from mallowcrank.routing.path import Candidate, cheapest_path_with_cost
from tests.utils.vocabulary import desired_of

RULE = desired_of(desired_body()).services['model'].engine
NEED = Need(prompt=760, answer=200)
FAST = Accelerator(size_mb=72_000, pace=2.4, read_factor=3.2)
SLOW = Accelerator(size_mb=21_600, pace=16, read_factor=8.2)


def engine(name, first, end, **changes):
    fields = {
        'lifetime': Lifetime(name, 0),
        'zone': 'a',
        'held': HeldLayers(first, end, 1),
        'kind': FAST,
        'pace': 1,
        'room': 1e6,
        'size': 1e6,
    }
    return ChainEngine(**{**fields, **changes})


def choose(engines, avoided=(), zone='a', need=NEED):
    return choose_path(Choosing(RULE, need, zone), engines, avoided)


def names(path):
    return [part.lifetime.identity for part in path.parts]


def covers_once(path):
    """
    Return whether a path runs each layer once and in order.
    """
    edges = [(part.first, part.end) for part in path.parts]
    starts = [0, *(end for _, end in edges)]
    return (
        starts == [*(first for first, _ in edges), RULE.layers]
        and all(first < end for first, end in edges)
        and len(set(names(path))) == len(path.parts)
    )


class TestChainPaths(TestCase):
    def test_a_path_stays_in_the_own_zone(self):
        engines = [
            engine('a1', 0, 40),
            engine('a2', 40, 80),
            engine('b1', 0, 40, zone='b'),
            engine('b2', 40, 80, zone='b'),
        ]
        self.assertEqual(names(choose(engines)), ['a1', 'a2'])
        self.assertEqual(names(choose(engines, zone='b')), ['b1', 'b2'])

    def test_a_slow_engine_moves_requests_to_another_zone(self):
        engines = [
            engine('a1', 0, 40, pace=3),
            engine('a2', 40, 80),
            engine('b1', 0, 40, zone='b'),
            engine('b2', 40, 80, zone='b'),
        ]
        self.assertEqual(names(choose(engines)), ['b1', 'b2'])

    def test_a_spare_engine_stands_in_for_an_avoided_one(self):
        engines = [
            engine('a1', 0, 40),
            engine('a2', 40, 80),
            engine('spare', 30, 80, kind=SLOW),
        ]
        path = choose(engines, avoided=(Lifetime('a2', 0),))
        self.assertEqual(names(path), ['a1', 'spare'])
        self.assertTrue(covers_once(path))

    def test_no_path_is_better_than_one_with_a_gap(self):
        engines = [engine('a1', 0, 40), engine('a2', 41, 80)]
        self.assertIs(choose(engines), NoPath.UNCOVERED)
        self.assertIs(choose([]), NoPath.UNCOVERED)

    def test_full_engines_are_told_from_missing_ones(self):
        engines = [engine('a1', 0, 40), engine('a2', 40, 80, room=10)]
        self.assertIs(choose(engines), NoPath.FULL)

    def test_a_request_larger_than_the_room_finds_none(self):
        engines = [engine('a1', 0, 80)]
        self.assertIsInstance(choose(engines), ChainPath)
        huge = Need(prompt=1e6, answer=1)
        self.assertIs(choose(engines, need=huge), NoPath.FULL)

    def test_a_few_layers_of_a_nearly_full_engine_are_used(self):
        engines = [
            engine('a1', 0, 78),
            engine('a2', 70, 80, room=NEED.tokens * 4),
        ]
        path = choose(engines)
        self.assertEqual(names(path), ['a1', 'a2'])
        self.assertLessEqual(path.parts[1].layers, 4)

    def test_no_engine_gets_more_than_it_has_room_for(self):
        random = Random(11)
        for _ in range(200):
            engines = [
                engine(
                    f'{first}-{number}',
                    first,
                    first + 20,
                    room=random.uniform(0, 30) * NEED.tokens,
                )
                for first in (0, 20, 40, 60)
                for number in range(3)
            ]
            path = choose(engines)
            rooms = {each.lifetime: each.room for each in engines}
            if isinstance(path, ChainPath):
                for part in path.parts:
                    needed = NEED.tokens * part.layers
                    self.assertLessEqual(needed, rooms[part.lifetime])

    def test_zones_are_joined_where_none_is_whole(self):
        engines = [engine('a1', 0, 40), engine('b2', 40, 80, zone='b')]
        self.assertEqual(names(choose(engines)), ['a1', 'b2'])

    def test_versions_are_not_mixed(self):
        engines = [
            engine('a1', 0, 40, held=HeldLayers(0, 40, 2)),
            engine('a2', 40, 80),
        ]
        self.assertIs(choose(engines), NoPath.UNCOVERED)
        engines.append(engine('a3', 0, 40, kind=SLOW))
        self.assertEqual(choose(engines).version, 1)

    def test_an_engine_without_a_place_begins_no_path(self):
        engines = [
            engine('a1', 0, 80, takes_firsts=False),
            engine('a2', 0, 80, kind=SLOW),
        ]
        self.assertEqual(names(choose(engines))[0], 'a2')

    def test_random_fleets_give_whole_paths_or_none(self):
        random = Random(7)
        found = 0
        for _ in range(200):
            engines = []
            for number in range(20):
                first = random.randrange(80)
                end = random.randrange(first + 1, 81)
                zone = random.choice('ab')
                engines.append(engine(str(number), first, end, zone=zone))
            path = choose(engines)
            if isinstance(path, ChainPath):
                found += 1
                self.assertTrue(covers_once(path))
        self.assertGreater(found, 20)

    def test_an_engine_is_not_entered_twice(self):
        # The quick engine in the middle is worth leaving the long one for,
        # but not to come back to it.
        candidates = [
            Candidate('long', 0, 0, 79, enter_ms=0, layer_ms=10),
            Candidate('quick', 0, 20, 39, enter_ms=0, layer_ms=1),
        ]
        way = cheapest_path_with_cost(80, candidates)
        self.assertEqual([stage.target for stage in way.stages], ['long'])


class TestRequestRoom(TestCase):
    def test_layers_leave_the_rest_for_requests(self):
        # 72,000 MB less 30 layers of 1,750 MB, at 14,750 bytes a token
        # and layer.
        room = request_room(RULE, FAST, 30)
        self.assertAlmostEqual(room, 19.5e9 / 14_750, delta=1)

    def test_too_many_layers_leave_nothing(self):
        self.assertEqual(request_room(RULE, FAST, 60), 0)


class TestDetours(TestCase):
    def setUp(self):
        self.path = ChainPath(
            (
                Part(Lifetime('one', 0), 0, 28),
                Part(Lifetime('two', 0), 28, 33),
                Part(Lifetime('three', 0), 33, 80),
            ),
            1,
            0,
        )

    def go_round(self, engines, *lost):
        choosing = Choosing(RULE, NEED, 'a')
        gone = [Lifetime(name, 0) for name in lost]
        staying = [
            engine(part.lifetime.identity, part.first, part.end)
            for part in self.path.parts
            if part.lifetime not in gone
        ]
        return detour(choosing, [*staying, *engines], self.path, gone)

    def test_a_detour_stays_in_the_zones_of_its_path(self):
        away = engine('four', 20, 40, zone='b')
        self.assertIsNone(self.go_round([away], 'two'))

    def test_the_others_keep_their_parts(self):
        found = self.go_round([engine('four', 20, 40)], 'two')
        self.assertEqual(names(found), ['one', 'four', 'three'])
        self.assertTrue(covers_once(found))

    def test_several_engines_may_stand_in_for_one(self):
        engines = [engine('four', 20, 30), engine('five', 30, 40)]
        found = self.go_round(engines, 'two')
        self.assertEqual(names(found), ['one', 'four', 'five', 'three'])
        self.assertTrue(covers_once(found))

    def test_no_engine_is_entered_twice(self):
        engines = [engine('four', 20, 80)]
        found = self.go_round(engines, 'two', 'three')
        self.assertIsNone(found)
        engines.append(engine('five', 33, 80))
        found = self.go_round(engines, 'two', 'three')
        self.assertEqual(names(found), ['one', 'four', 'five'])

    def test_there_is_none_where_the_first_engine_was_lost(self):
        self.assertIsNone(self.go_round([engine('four', 0, 80)], 'one'))

    def test_engines_without_room_or_of_another_version_are_passed_over(self):
        engines = [
            engine('four', 20, 40, room=NEED.tokens * 4),
            engine('five', 20, 40, held=HeldLayers(20, 40, 2)),
        ]
        self.assertIsNone(self.go_round(engines, 'two'))

    def test_a_path_of_too_many_parts_is_none(self):
        engines = [engine(f'e{layer}', layer, layer + 1) for layer in range(80)]
        self.assertIsNone(self.go_round(engines, 'three'))
