"""
Placement of layers on engines, and its repair after losses.
"""

from dataclasses import replace
from random import Random
from types import MappingProxyType
from unittest import TestCase

from mallowcrank.chains.placement import MIN_GAIN_SHARE, plan_layers
from mallowcrank.chains.windows import PlacementEngine, find_gaps
from mallowcrank.gateway.targets import Lifetime

LAYERS = 80
# Normal layers, most layers and step factor of each kind of accelerator.
KINDS = MappingProxyType(
    {'a100': (28, 34, 2.4), 'v100': (5, 6, 5.3), 'l4': (8, 10, 16)}
)
ZONES = MappingProxyType(
    {
        'shah-alam': {'a100': 1, 'v100': 10, 'l4': 4},
        'petaling': {'a100': 2, 'v100': 4, 'l4': 4},
        'cyberjaya': {'a100': 1, 'v100': 6, 'l4': 6},
    }
)


def make_engine(name, kind, zone='shah-alam'):
    return PlacementEngine(Lifetime(name, 0), zone, *KINDS[kind])


def empty_engines():
    engines = []
    for zone, kinds in ZONES.items():
        for kind, count in kinds.items():
            names = [f'{zone}-{kind}-{number}' for number in range(count)]
            engines.extend(make_engine(name, kind, zone) for name in names)
    return engines


def apply_orders(engines, orders):
    """
    Return the engines after they carried out orders.
    """
    order_by_engine = {order.lifetime: order for order in orders}
    return [
        replace(
            each,
            first=order_by_engine[each.lifetime].first,
            end=order_by_engine[each.lifetime].end,
        )
        if each.lifetime in order_by_engine
        else each
        for each in engines
    ]


def settle(engines):
    """
    Apply orders until there are none.

    :returns: the engines and the number of orders.
    """
    count = 0
    while True:
        orders = plan_layers(LAYERS, engines)
        if not orders:
            return engines, count
        count += len(orders)
        engines = apply_orders(engines, orders)


def path_cost(engines):
    """
    Return the cost of the fastest path, the sum of its step factors.
    """
    return sum(
        min(
            each.step_factor
            for each in engines
            if each.first <= layer < each.end
        )
        for layer in range(LAYERS)
    )


def loaded_between(before, after):
    """
    Return how many layers the engines loaded in between.
    """
    held = {each.lifetime: set(range(each.first, each.end)) for each in before}
    return sum(
        len(set(range(each.first, each.end)) - held[each.lifetime])
        for each in after
    )


def _count_gap_layers(engines):
    return sum(end - first for first, end in find_gaps(LAYERS, engines))


def in_zone(engines, zone):
    return [each for each in engines if each.zone == zone]


class TestPlacement(TestCase):
    def test_each_zone_gets_a_copy_in_one_round(self):
        engines, count = settle(empty_engines())
        self.assertEqual(count, len(engines))
        for zone in ZONES:
            self.assertEqual(find_gaps(LAYERS, in_zone(engines, zone)), [])

    def test_no_order_exceeds_the_memory_of_an_engine(self):
        random = Random(3)
        engines, _ = settle(empty_engines())
        for _ in range(100):
            emptied = random.sample(range(len(engines)), 3)
            engines = [
                replace(each, first=0, end=0) if index in emptied else each
                for index, each in enumerate(engines)
            ]
            for order in plan_layers(LAYERS, engines):
                most = next(
                    each.max_layers
                    for each in engines
                    if each.lifetime == order.lifetime
                )
                self.assertLessEqual(order.end - order.first, most)
                self.assertLessEqual(order.end, LAYERS)
                self.assertGreaterEqual(order.first, 0)
            engines, _ = settle(engines)

    def test_loss_of_the_largest_engine_leaves_a_copy(self):
        engines, _ = settle(empty_engines())
        for zone in ZONES:
            with self.subTest(zone=zone):
                remaining = [
                    each
                    for each in in_zone(engines, zone)
                    if each.lifetime.identity != f'{zone}-a100-0'
                ]
                self.assertEqual(find_gaps(LAYERS, remaining), [])

    def test_few_orders_replace_any_lost_engine(self):
        engines, _ = settle(empty_engines())
        for lost in engines:
            with self.subTest(lost=lost.lifetime.identity):
                remaining = [each for each in engines if each is not lost]
                repaired, count = settle(remaining)
                # Engines that load one more layer need an order, too: five
                # orders that load 28 layers replace a loss of 28 layers.
                self.assertLessEqual(count, 5)
                loaded = loaded_between(remaining, repaired)
                self.assertLessEqual(loaded, lost.end - lost.first + 6)
                for zone in ZONES:
                    gaps = find_gaps(LAYERS, in_zone(repaired, zone))
                    self.assertEqual(gaps, [])

    def test_settled_engines_get_no_orders(self):
        engines, _ = settle(empty_engines())
        self.assertEqual(plan_layers(LAYERS, engines), ())

    def test_engine_that_returns_empty_is_used_again(self):
        engines, _ = settle(empty_engines())
        returned = replace(engines[0], first=0, end=0)
        orders = plan_layers(LAYERS, [returned, *engines[1:]])
        self.assertEqual(
            [each.lifetime for each in orders], [returned.lifetime]
        )

    def test_returning_engine_replaces_slower_ones(self):
        engines, _ = settle(empty_engines())
        for lost in engines:
            with self.subTest(lost=lost.lifetime.identity):
                zone = lost.zone
                before = path_cost(in_zone(engines, zone))
                repaired, _ = settle([each for each in engines if each != lost])
                returned, _ = settle([replace(lost, first=0, end=0), *repaired])
                after = path_cost(in_zone(returned, zone))
                self.assertLessEqual(after, before * (1 + MIN_GAIN_SHARE))

    def test_successive_losses_leave_no_gap_that_can_be_closed(self):
        random = Random(7)
        engines, _ = settle(empty_engines())
        for _ in range(60):
            lost = random.choice(engines)
            repaired, _ = settle([each for each in engines if each != lost])
            self.assertEqual(
                find_gaps(LAYERS, in_zone(repaired, lost.zone)), []
            )
            engines, _ = settle([*repaired, replace(lost, first=0, end=0)])

    def test_gap_without_spare_engines_is_closed_by_extra_layers(self):
        names = [f'v100-{number}' for number in range(11)]
        engines = [
            make_engine('fast', 'a100'),
            *(make_engine(name, 'v100') for name in names),
        ]
        engines, _ = settle(engines)
        repaired, _ = settle(engines[:-2])
        self.assertEqual(find_gaps(LAYERS, repaired), [])
        normal = {name: counts[0] for name, counts in KINDS.items()}
        taken = [each.end - each.first for each in repaired]
        self.assertGreater(max(taken[1:]), normal['v100'])
        returned_engines = [
            replace(each, first=0, end=0) for each in engines[-2:]
        ]
        restored, _ = settle([*repaired, *returned_engines])
        bound = path_cost(engines) * (1 + MIN_GAIN_SHARE)
        self.assertLessEqual(path_cost(restored), bound)

    def test_no_engine_drops_layers_that_others_are_still_loading(self):
        random = Random(11)
        engines, _ = settle(empty_engines())
        for _ in range(100):
            index = random.randrange(len(engines))
            engines[index] = replace(engines[index], is_loading=True)
            lost = random.choice(engines)
            remaining = [each for each in engines if each != lost]
            loaded = [each for each in remaining if not each.is_loading]
            after = apply_orders(loaded, plan_layers(LAYERS, remaining))
            for zone in ZONES:
                missing = _count_gap_layers(in_zone(loaded, zone))
                still = _count_gap_layers(in_zone(after, zone))
                self.assertLessEqual(still, missing)
            engines, _ = settle(
                [
                    replace(each, is_loading=False)
                    for each in (*remaining, replace(lost, first=0, end=0))
                ]
            )

    def test_slow_engine_is_replaced_while_it_is_slow(self):
        engines, _ = settle(empty_engines())
        index = next(
            index
            for index, each in enumerate(engines)
            if each.lifetime.identity == 'petaling-v100-1'
        )
        normal = path_cost(in_zone(engines, 'petaling'))
        engines[index] = replace(
            engines[index], step_factor=12 * engines[index].step_factor
        )
        slowed = path_cost(in_zone(engines, 'petaling'))
        engines, count = settle(engines)
        self.assertLessEqual(count, 2)
        replaced = path_cost(in_zone(engines, 'petaling'))
        self.assertLess(replaced - normal, (slowed - normal) / 4)

    def test_zones_too_small_for_a_copy_share_one(self):
        engines = [
            make_engine(f'{zone}-{number}', 'l4', zone)
            for zone in ('x', 'y')
            for number in range(5)
        ]
        engines, _ = settle(engines)
        self.assertEqual(find_gaps(LAYERS, engines), [])

    def test_too_few_engines_still_settle(self):
        engines, _ = settle(
            [make_engine('one', 'a100'), make_engine('two', 'l4')]
        )
        most = KINDS['a100'][1] + KINDS['l4'][1]
        self.assertEqual(_count_gap_layers(engines), LAYERS - most)

    def test_no_engines_get_no_orders(self):
        self.assertEqual(plan_layers(LAYERS, []), ())
