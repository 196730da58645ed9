"""
Choice of paths through chains of engines, and detours around lost ones.
"""

from random import Random
from unittest import TestCase

from mallowcrank.chains.engines import (
    ChainEngine,
    RequestTokens,
    request_memory,
)
from mallowcrank.chains.paths import (
    ChainPath,
    NoPath,
    PathRequest,
    PathSegment,
    choose_path,
    detour,
)
from mallowcrank.gateway.desired import Accelerator
from mallowcrank.gateway.targets import HeldLayers, Lifetime
from mallowcrank.platform.standins.bodies import desired_body
from mallowcrank.routing.path import Candidate, cheapest_path_with_cost
from tests.utils.vocabulary import desired_of

RULE = desired_of(desired_body()).services['model'].engine
TOKENS = RequestTokens(prompt=760, output=200)
FAST = Accelerator(size_mb=72_000, pace=2.4, read_factor=3.2)
SLOW = Accelerator(size_mb=21_600, pace=16, read_factor=8.2)


def engine(name, first, end, **changes):
    fields = {
        'lifetime': Lifetime(name, 0),
        'zone': 'a',
        'held': HeldLayers(first, end, 1),
        'kind': FAST,
        'slowdown': 1,
        'free_memory': 1e6,
        'total_memory': 1e6,
    }
    return ChainEngine(**{**fields, **changes})


def choose(engines, avoided=(), zone='a', tokens=TOKENS):
    return choose_path(PathRequest(RULE, tokens, zone), engines, avoided)


def names(path):
    return [segment.lifetime.identity for segment in path.segments]


def covers_once(path):
    """
    Return whether a path runs each layer once and in order.
    """
    edges = [(segment.first, segment.end) for segment in path.segments]
    starts = [0, *(end for _, end in edges)]
    return (
        starts == [*(first for first, _ in edges), RULE.layers]
        and all(first < end for first, end in edges)
        and len(set(names(path))) == len(path.segments)
    )


class TestChainPaths(TestCase):
    def test_path_stays_in_the_zone_of_the_router(self):
        engines = [
            engine('a1', 0, 40),
            engine('a2', 40, 80),
            engine('b1', 0, 40, zone='b'),
            engine('b2', 40, 80, zone='b'),
        ]
        self.assertEqual(names(choose(engines)), ['a1', 'a2'])
        self.assertEqual(names(choose(engines, zone='b')), ['b1', 'b2'])

    def test_slow_engine_moves_requests_to_another_zone(self):
        engines = [
            engine('a1', 0, 40, slowdown=3),
            engine('a2', 40, 80),
            engine('b1', 0, 40, zone='b'),
            engine('b2', 40, 80, zone='b'),
        ]
        self.assertEqual(names(choose(engines)), ['b1', 'b2'])

    def test_spare_engine_replaces_an_avoided_one(self):
        engines = [
            engine('a1', 0, 40),
            engine('a2', 40, 80),
            engine('spare', 30, 80, kind=SLOW),
        ]
        path = choose(engines, avoided=(Lifetime('a2', 0),))
        self.assertEqual(names(path), ['a1', 'spare'])
        self.assertTrue(covers_once(path))

    def test_engines_with_a_gap_give_no_path(self):
        engines = [engine('a1', 0, 40), engine('a2', 41, 80)]
        self.assertIs(choose(engines), NoPath.UNCOVERED)
        self.assertIs(choose([]), NoPath.UNCOVERED)

    def test_full_engines_are_reported_as_full(self):
        engines = [engine('a1', 0, 40), engine('a2', 40, 80, free_memory=10)]
        self.assertIs(choose(engines), NoPath.FULL)

    def test_request_larger_than_the_memory_gets_no_path(self):
        engines = [engine('a1', 0, 80)]
        self.assertIsInstance(choose(engines), ChainPath)
        huge = RequestTokens(prompt=1e6, output=1)
        self.assertIs(choose(engines, tokens=huge), NoPath.FULL)

    def test_few_layers_of_a_nearly_full_engine_are_used(self):
        engines = [
            engine('a1', 0, 78),
            engine('a2', 70, 80, free_memory=TOKENS.total * 4),
        ]
        path = choose(engines)
        self.assertEqual(names(path), ['a1', 'a2'])
        self.assertLessEqual(path.segments[1].layers, 4)

    def test_no_path_exceeds_the_free_memory_of_an_engine(self):
        random = Random(11)
        for _ in range(200):
            engines = [
                engine(
                    f'{first}-{number}',
                    first,
                    first + 20,
                    free_memory=random.uniform(0, 30) * TOKENS.total,
                )
                for first in (0, 20, 40, 60)
                for number in range(3)
            ]
            path = choose(engines)
            free_memory_by_engine = {
                each.lifetime: each.free_memory for each in engines
            }
            if isinstance(path, ChainPath):
                for segment in path.segments:
                    needed = TOKENS.total * segment.layers
                    self.assertLessEqual(
                        needed, free_memory_by_engine[segment.lifetime]
                    )

    def test_path_crosses_zones_if_no_zone_has_all_layers(self):
        engines = [engine('a1', 0, 40), engine('b2', 40, 80, zone='b')]
        self.assertEqual(names(choose(engines)), ['a1', 'b2'])

    def test_path_does_not_mix_model_versions(self):
        engines = [
            engine('a1', 0, 40, held=HeldLayers(0, 40, 2)),
            engine('a2', 40, 80),
        ]
        self.assertIs(choose(engines), NoPath.UNCOVERED)
        engines.append(engine('a3', 0, 40, kind=SLOW))
        self.assertEqual(choose(engines).version, 1)

    def test_engine_without_a_free_slot_starts_no_path(self):
        engines = [
            engine('a1', 0, 80, can_start_path=False),
            engine('a2', 0, 80, kind=SLOW),
        ]
        self.assertEqual(names(choose(engines))[0], 'a2')

    def test_random_engines_give_complete_paths_or_none(self):
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

    def test_path_does_not_return_to_an_engine(self):
        # Leaving `long` for the faster engine in the middle would pay off
        # only with a return to `long`, which is not allowed.
        candidates = [
            Candidate('long', 0, 0, 79, enter_ms=0, layer_ms=10),
            Candidate('quick', 0, 20, 39, enter_ms=0, layer_ms=1),
        ]
        cheapest = cheapest_path_with_cost(80, candidates)
        self.assertEqual([stage.target for stage in cheapest.stages], ['long'])


class TestRequestMemory(TestCase):
    def test_requests_get_the_memory_that_layers_leave(self):
        # 72,000 MB minus 30 layers of 1,750 MB, at 14,750 bytes per token
        # and layer.
        memory = request_memory(RULE, FAST, 30)
        self.assertAlmostEqual(memory, 19.5e9 / 14_750, delta=1)

    def test_too_many_layers_leave_no_memory(self):
        self.assertEqual(request_memory(RULE, FAST, 60), 0)


class TestCrossings(TestCase):
    def test_path_crosses_between_zones_as_rarely_as_it_can(self):
        engines = [
            engine('b1', 0, 50, zone='b'),
            engine('b2', 55, 60, zone='b'),
            engine('c1', 20, 25, zone='c', kind=FAST),
            engine('c2', 45, 80, zone='c'),
            engine('d1', 48, 56, zone='d'),
        ]
        path = choose(engines)
        self.assertEqual(path.crossings, (('b', 'c'),))
        self.assertEqual(names(path), ['b1', 'c2'])
        self.assertTrue(covers_once(path))

    def test_path_leaves_out_busy_links(self):
        engines = [
            engine('b1', 0, 50, zone='b'),
            engine('c1', 50, 80, zone='c'),
            engine('d1', 50, 80, zone='d', slowdown=3),
        ]
        self.assertEqual(names(choose(engines)), ['b1', 'c1'])
        busy = {('b', 'c')}
        found = choose_path(
            PathRequest(RULE, TOKENS, 'a', 0, frozenset(busy)), engines
        )
        self.assertEqual(names(found), ['b1', 'd1'])
        busy.add(('b', 'd'))
        self.assertIs(
            choose_path(
                PathRequest(RULE, TOKENS, 'a', 0, frozenset(busy)), engines
            ),
            NoPath.UNCOVERED,
        )

    def test_path_inside_a_zone_crosses_nothing(self):
        engines = [
            engine('b1', 0, 40, zone='b'),
            engine('b2', 40, 80, zone='b'),
        ]
        self.assertEqual(choose(engines).crossings, ())

    def test_path_does_not_start_in_its_own_zone_for_the_price_of_a_crossing(
        self,
    ):
        engines = [
            engine('a1', 0, 10),
            engine('b1', 0, 50, zone='b'),
            engine('b2', 50, 70, zone='b'),
            engine('c1', 65, 80, zone='c'),
        ]
        path = choose(engines)
        self.assertEqual(names(path), ['b1', 'b2', 'c1'])
        self.assertEqual(path.crossings, (('b', 'c'),))


class TestDetours(TestCase):
    def setUp(self):
        self.path = ChainPath(
            (
                PathSegment(Lifetime('one', 0), 0, 28),
                PathSegment(Lifetime('two', 0), 28, 33),
                PathSegment(Lifetime('three', 0), 33, 80),
            ),
            1,
            0,
        )

    def find_detour(self, engines, *lost):
        request = PathRequest(RULE, TOKENS, 'a')
        lost_lifetimes = [Lifetime(name, 0) for name in lost]
        remaining = [
            engine(segment.lifetime.identity, segment.first, segment.end)
            for segment in self.path.segments
            if segment.lifetime not in lost_lifetimes
        ]
        return detour(
            request, [*remaining, *engines], self.path, lost_lifetimes
        )

    def test_detour_stays_in_the_zones_of_its_path(self):
        remote = engine('four', 20, 40, zone='b')
        self.assertIsNone(self.find_detour([remote], 'two'))

    def test_remaining_engines_keep_their_layers(self):
        found = self.find_detour([engine('four', 20, 40)], 'two')
        self.assertEqual(names(found), ['one', 'four', 'three'])
        self.assertTrue(covers_once(found))

    def test_several_engines_may_replace_one(self):
        engines = [engine('four', 20, 30), engine('five', 30, 40)]
        found = self.find_detour(engines, 'two')
        self.assertEqual(names(found), ['one', 'four', 'five', 'three'])
        self.assertTrue(covers_once(found))

    def test_detour_does_not_use_an_engine_twice(self):
        engines = [engine('four', 20, 80)]
        found = self.find_detour(engines, 'two', 'three')
        self.assertIsNone(found)
        engines.append(engine('five', 33, 80))
        found = self.find_detour(engines, 'two', 'three')
        self.assertEqual(names(found), ['one', 'four', 'five'])

    def test_no_detour_without_the_first_engine(self):
        self.assertIsNone(self.find_detour([engine('four', 0, 80)], 'one'))

    def test_detour_skips_full_engines_and_other_versions(self):
        engines = [
            engine('four', 20, 40, free_memory=TOKENS.total * 4),
            engine('five', 20, 40, held=HeldLayers(20, 40, 2)),
        ]
        self.assertIsNone(self.find_detour(engines, 'two'))

    def test_no_detour_with_too_many_segments(self):
        engines = [engine(f'e{layer}', layer, layer + 1) for layer in range(80)]
        self.assertIsNone(self.find_detour(engines, 'three'))
