"""
Path selection: cheapest paths, load estimates, cache hints, ejection, and
spreading many routers over engines.
"""

from collections import Counter
from math import inf
from random import Random
from unittest import TestCase

from mallowcrank.clock import FakeClock
from mallowcrank.policy.routes import RoutePolicy
from mallowcrank.policy.settings import PolicySettings
from mallowcrank.refusals import Ran, Refused
from mallowcrank.router.ports import RouteDemand
from mallowcrank.routing.hints import CacheEvent, HintTable
from mallowcrank.routing.path import Candidate, cheapest_path
from mallowcrank.settings import HostSettings, RouterSettings
from mallowcrank.view import ModelSettings, Target, TargetKind, View
from mallowcrank.wire import KeyRing

LAYERS = 4


def engine(name, first=0, last=LAYERS - 1, **more):
    fields = {'step_ms': 10, 'slots': 4, **more}
    return Target(
        name=name,
        kind=TargetKind.ENGINE,
        address='',
        availability_zone='a',
        serves='m',
        first_layer=first,
        last_layer=last,
        **fields,
    )


def view_of(*targets):
    return View(
        version=1,
        targets={target.name: target for target in targets},
        models={'m': ModelSettings('m', LAYERS)},
    )


def make_policy(seed=1, clock=None):
    settings = RouterSettings(HostSettings('r', 'a'), '', '', '', KeyRing())
    steady = (clock or FakeClock()).steady
    return RoutePolicy(PolicySettings(settings, steady, Random(seed)))


def brute_force_cost(layers, candidates):
    """
    Return the lowest cost by brute force: every engine at every layer.
    """
    best = inf
    paths = [((), 0)]
    for layer in range(layers):
        holders = [
            each
            for each in candidates
            if each.first_layer <= layer <= each.last_layer
        ]
        paths = [
            (
                each,
                cost + each.layer_ms + each.enter_ms * (each is not last),
            )
            for last, cost in paths
            for each in holders
        ]
    for _, cost in paths:
        best = min(best, cost)
    return best


def cost_of(stages, candidates):
    by_name = {each.target: each for each in candidates}
    return sum(
        by_name[stage.target].enter_ms
        + by_name[stage.target].layer_ms
        * (stage.last_layer - stage.first_layer + 1)
        for stage in stages
    )


class TestCheapestPath(TestCase):
    def test_cost_equals_brute_force(self):
        """
        Guards against paths that cost more than necessary.
        """
        random = Random(30)
        for _ in range(150):
            candidates = []
            for number in range(random.randint(1, 5)):
                first = random.randrange(LAYERS)
                last = random.randrange(first, LAYERS)
                candidates.append(
                    Candidate(
                        f'e{number}',
                        1,
                        first,
                        last,
                        random.randint(0, 5),
                        random.randint(1, 5),
                    )
                )
            stages = cheapest_path(LAYERS, candidates)
            best = brute_force_cost(LAYERS, candidates)
            with self.subTest(candidates=candidates):
                if not stages:
                    self.assertEqual(best, inf)
                else:
                    self.assertEqual(cost_of(stages, candidates), best)
                    self._assert_each_layer_once(stages)

    def _assert_each_layer_once(self, stages):
        ran = [
            layer
            for stage in stages
            for layer in range(stage.first_layer, stage.last_layer + 1)
        ]
        self.assertEqual(ran, list(range(LAYERS)))


class TestRoutes(TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.routes = make_policy(clock=self.clock)

    def choose(self, stream, **more):
        return self.routes.choose_path(RouteDemand(stream, 'b/w', 'm', **more))

    def test_path_survives_loss_of_an_engine_with_overlapping_ranges(self):
        """
        Guards against using an avoided engine or finding no path although
        overlapping ranges cover all layers.
        """
        self.routes.apply_view(
            view_of(engine('x', 0, 1), engine('y', 1, 3), engine('z', 0, 3))
        )
        for lost in 'xyz':
            route = self.choose(f's{lost}', avoid=frozenset(lost))
            if lost == 'z':
                self.assertEqual(
                    [stage.target for stage in route.stages], ['x', 'y']
                )
            else:
                self.assertNotIn(lost, str(route).split(':')[0])

    def test_uncovered_layers_are_refused_as_not_run(self):
        """
        Guards against a partial path, and against reporting that it may have
        run, which would prevent a safe retry.
        """
        self.routes.apply_view(view_of(engine('x', 0, 1)))
        refused = self.choose('s')
        self.assertIsInstance(refused, Refused)
        self.assertIs(refused.ran, Ran.NO)

    def test_own_streams_count_before_they_are_reported(self):
        """
        Guards against sending all streams to one engine until the next report.
        """
        self.routes.apply_view(
            view_of(*(engine(f'e{number}') for number in range(4)))
        )
        chosen = Counter(
            self.choose(f's{number}').stages[0].target for number in range(40)
        )
        self.assertLessEqual(max(chosen.values()) - min(chosen.values()), 4)

    def test_reported_own_streams_are_not_counted_twice(self):
        """
        Guards against overestimating an engine whose report already includes
        this router's streams.
        """
        engines = [engine('e0'), engine('e1', load=3)]
        self.routes.apply_view(view_of(*engines))
        for number in range(8):
            self.choose(f's{number}')
        self.routes.apply_view(
            view_of(engine('e0', load=6), engine('e1', load=6))
        )
        chosen = Counter(
            self.choose(f't{number}').stages[0].target for number in range(8)
        )
        self.assertEqual(chosen['e0'], 4)

    def test_many_routers_with_one_stale_report_do_not_herd(self):
        """
        Guards against all routers choosing the engine that an old report
        shows as idle.
        """
        engines = [
            engine(f'e{number}', load=5 + number % 3) for number in range(12)
        ]
        engines.append(engine('idle', load=0))
        chosen = Counter()
        for seed in range(100):
            each = make_policy(seed)
            each.apply_view(view_of(*engines))
            demand = RouteDemand('s', 'b/w', 'm')
            chosen[each.choose_path(demand).stages[0].target] += 1
        self.assertLess(chosen['idle'], 30)

    def test_failed_target_is_ejected_and_returns_gradually(self):
        """
        Guards against sending requests to a target that just failed, and
        against full load on it before it has answered again.
        """
        self.routes.apply_view(view_of(engine('bad'), engine('good')))
        self.routes.record_failure('bad', 0, 'no answer')
        self.assertEqual(set(self._targets(20)), {'good'})
        self.clock.advance(2)
        self.assertEqual(self._targets(20).count('bad'), 1)
        self.routes.record_success('bad', 0.01)
        self.clock.advance(10)
        self.assertGreater(self._targets(40).count('bad'), 5)

    def test_ejected_target_is_used_where_no_other_covers(self):
        """
        Guards against refusing requests when ejected targets are the only
        ones that hold a layer.
        """
        self.routes.apply_view(view_of(engine('only')))
        self.routes.record_failure('only', 0, 'no answer')
        self.assertEqual(self._targets(1), ['only'])

    def test_ejection_is_ignored_for_most_of_a_pool(self):
        """
        Guards against overloading the few remaining targets when most of a
        pool fails for a reason outside the targets.
        """
        self.routes.apply_view(view_of(*map(engine, ('e0', 'e1', 'e2'))))
        self.routes.record_failure('e0', 0, 'no answer')
        self.assertEqual(set(self._targets(20)), {'e1', 'e2'})
        self.routes.record_failure('e1', 0, 'no answer')
        self.assertEqual(set(self._targets(20)), {'e0', 'e1', 'e2'})

    def test_restarted_target_is_used_at_once_with_low_weight(self):
        """
        Guards against keeping the ejection of an earlier incarnation, and
        against full load on a target that has just restarted.
        """
        self.routes.apply_view(view_of(engine('bad'), engine('good')))
        self.routes.record_failure('bad', 0, 'no answer')
        self.routes.apply_view(
            view_of(engine('bad', incarnation=2), engine('good'))
        )
        self.clock.advance(0.1)
        chosen = self._targets(40)
        self.assertGreater(chosen.count('good'), chosen.count('bad'))
        self.assertIn('bad', chosen)

    def test_prompt_is_sent_to_engines_that_cache_its_prefix(self):
        """
        Guards against spreading equal prompts over engines without a cache.
        """
        self.routes.apply_view(
            view_of(*(engine(f'e{number}') for number in range(8)))
        )
        prompt = tuple(f'{block:016x}' for block in range(20))
        chosen = {
            self.choose(f's{number}', prefix=prompt, prompt_tokens=320)
            .stages[0]
            .target
            for number in range(4)
        }
        self.assertLessEqual(len(chosen), 2)

    def _targets(self, count):
        chosen = []
        for number in range(count):
            stage = self.choose(f'{self.clock.steady()}.{number}').stages[0]
            chosen.append(stage.target)
        for number in range(count):
            self.routes.release_path(f'{self.clock.steady()}.{number}')
        return chosen


class TestHints(TestCase):
    def test_gap_in_events_makes_older_hints_stale(self):
        """
        Guards against full trust in hints that a missed event may have made
        wrong.
        """
        hints = HintTable()
        hints.apply_events('e', [CacheEvent(1, 'stored', 'aa')], 2)
        self.assertEqual(hints.cached_fraction('e', ('aa',)), 1)
        hints.apply_events('e', [CacheEvent(7, 'stored', 'bb')], 8)
        self.assertEqual(hints.cached_fraction('e', ('aa',)), 0.5)
        self.assertEqual(hints.cached_fraction('e', ('bb',)), 1)

    def test_evicted_prefix_is_removed(self):
        """
        Guards against sending prompts to an engine for a block that it no
        longer caches.
        """
        hints = HintTable()
        hints.record_sent('e', ('aa', 'bb'))
        hints.apply_events('e', [CacheEvent(1, 'evicted', 'bb')], 2)
        self.assertEqual(hints.cached_fraction('e', ('aa', 'bb')), 0.5)
        self.assertEqual(hints.holders(('aa', 'bb')), ('e',))

    def test_table_does_not_exceed_its_capacity(self):
        """
        Guards against unbounded memory use.
        """
        hints = HintTable(capacity=10)
        for number in range(100):
            hints.record_sent(f'e{number % 3}', (f'{number}',))
        self.assertEqual(len(hints), 10)
