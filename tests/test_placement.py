"""
Placement, planned overlap and the throughput bound, compared to brute force.
"""

from itertools import product
from math import inf
from random import Random
from unittest import TestCase

from mallowcrank.routing.bound import BoundEngine, Workload, throughput_bound
from mallowcrank.routing.overlap import plan_overlap, survivable_losses
from mallowcrank.routing.placement import (
    AcceleratorClass,
    Links,
    NoPlan,
    split_layers,
)

LINKS = Links(0.5, {('a', 'b'): 2, ('b', 'a'): 5}, 50)


def random_classes(random):
    return [
        AcceleratorClass(
            name=f'k{number}',
            availability_zone=random.choice('ab'),
            count=random.randint(0, 2),
            layer_ms=random.choice((0.5, 1, 1.5, 4)),
            memory_layers=random.randint(1, 5),
        )
        for number in range(2)
    ]


def brute_force_slowest_ms(layers, classes, before=None, used=()):
    """
    Return the fastest possible slowest stage over all splits and orders.
    """
    if layers == 0:
        return 0
    best = inf
    for kind in classes:
        if used.count(kind.name) == kind.count:
            continue
        for taken in range(1, min(layers, kind.memory_layers) + 1):
            mine = LINKS.transfer_ms(before, kind) + taken * kind.layer_ms
            rest = brute_force_slowest_ms(
                layers - taken, classes, kind, (*used, kind.name)
            )
            best = min(best, max(mine, rest))
    return best


def lowest_ratio(layers, engines):
    """
    Return the lowest ratio of budget to size over all sets of layers.
    """
    ratios = []
    for chosen in range(1, 2**layers):
        members = [layer for layer in range(layers) if chosen >> layer & 1]
        budgets = sum(
            engine.layers_per_s
            for engine in engines
            if any(
                engine.first_layer <= layer <= engine.last_layer
                for layer in members
            )
        )
        ratios.append(budgets / len(members))
    return min(ratios)


class TestSplitLayers(TestCase):
    def test_split_equals_brute_force(self):
        """
        Guards against splits whose slowest stage is slower than necessary.
        """
        random = Random(20)
        for _ in range(60):
            classes = random_classes(random)
            layers = random.randint(1, 9)
            best = brute_force_slowest_ms(layers, classes)
            plan = split_layers(layers, classes, LINKS)
            with self.subTest(classes=classes, layers=layers):
                if isinstance(plan, NoPlan):
                    self.assertEqual(best, inf)
                else:
                    self.assertAlmostEqual(plan.slowest_ms, best)
                    self.assertEqual(plan.stages[-1].last_layer, layers - 1)

    def test_slow_link_is_used_only_when_memory_requires_it(self):
        """
        Guards against paying for a slow link while one zone has enough memory.
        """
        near = AcceleratorClass('near', 'a', 2, 2, 8)
        far = AcceleratorClass('far', 'c', 2, 1, 8)
        plan = split_layers(12, [near, far], LINKS)
        self.assertEqual({stage.kind for stage in plan.stages}, {'far'})
        plan = split_layers(20, [near, far], LINKS)
        self.assertEqual({stage.kind for stage in plan.stages}, {'near', 'far'})


class TestOverlap(TestCase):
    def test_each_loss_is_survived_if_neighbours_have_the_memory(self):
        """
        Guards against overlap plans that leave a loss uncovered although the
        neighbours' spare memory could cover it.
        """
        random = Random(21)
        for _ in range(200):
            sizes = [random.randint(1, 3) for _ in range(4)]
            spares = [random.randint(0, 4) for _ in sizes]
            firsts = [sum(sizes[:index]) for index in range(4)]
            stages = [
                (first, first + size - 1, size + spare)
                for first, size, spare in zip(
                    firsts, sizes, spares, strict=True
                )
            ]
            with self.subTest(stages=stages):
                if self._neighbours_can(sizes, spares):
                    self.assertTrue(
                        all(survivable_losses(plan_overlap(stages)))
                    )

    def test_held_layers_fit_into_memory(self):
        """
        Guards against planning more layers than an accelerator can hold.
        """
        held = plan_overlap([(0, 3, 8), (4, 7, 6), (8, 11, 4)])
        for stage in held:
            self.assertLessEqual(
                stage.held_last - stage.held_first + 1, stage.memory_layers
            )

    def _neighbours_can(self, sizes, spares):
        choices = product(*(range(spare + 1) for spare in spares))
        return any(
            self._covers_losses(sizes, spares, lefts) for lefts in choices
        )

    def _covers_losses(self, sizes, spares, lefts):
        rights = [
            spare - left for spare, left in zip(spares, lefts, strict=True)
        ]
        from_left = [0, *rights[:-1]]
        from_right = [*lefts[1:], 0]
        return all(
            before + after >= size
            for size, before, after in zip(
                sizes, from_left, from_right, strict=True
            )
        )


class TestBound(TestCase):
    def test_bound_equals_brute_force(self):
        """
        Guards against missing the set of layers that limits throughput.
        """
        random = Random(22)
        for _ in range(80):
            layers = random.randint(1, 6)
            engines = []
            for number in range(random.randint(1, 7)):
                first = random.randrange(layers)
                last = random.randrange(first, layers)
                step_ms = random.choice((5, 10, 20))
                engines.append(
                    BoundEngine(f'e{number}', first, last, step_ms, 4)
                )
            with self.subTest(engines=engines):
                self.assertAlmostEqual(
                    throughput_bound(layers, engines).tokens_per_s,
                    lowest_ratio(layers, engines),
                )

    def test_limiting_engines_are_reported(self):
        """
        Guards against naming engines that don't limit the throughput.
        """
        engines = [
            BoundEngine('slow', 0, 1, 10, 4, 1),
            BoundEngine('fast', 2, 3, 5, 4, 1),
        ]
        bound = throughput_bound(4, engines)
        self.assertEqual(bound.tokens_per_s, 400)
        self.assertEqual(bound.limiting_engines, ('slow',))
        self.assertEqual(bound.token_ms, 17)

    def test_overlapping_range_raises_the_bound(self):
        """
        Guards against ignoring that an engine may run layers that a slower
        engine holds too.
        """
        engines = [
            BoundEngine('slow', 0, 1, 10, 4),
            BoundEngine('fast', 0, 3, 10, 4),
        ]
        bound = throughput_bound(4, engines)
        self.assertEqual(bound.tokens_per_s, 600)

    def test_prompts_and_few_streams_lower_the_bound(self):
        """
        Guards against a bound that ignores prompt costs or the number of
        streams.
        """
        engines = [BoundEngine('e', 0, 3, 10, 4)]
        work = Workload(prompt_steps=16, answer_tokens=16)
        self.assertEqual(throughput_bound(4, engines, work).tokens_per_s, 200)
        self.assertEqual(
            throughput_bound(4, engines, Workload(streams=1)).tokens_per_s, 100
        )
