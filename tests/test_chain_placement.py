"""
Which layers each engine holds.
"""

from dataclasses import replace
from random import Random
from types import MappingProxyType
from unittest import TestCase

from mallowcrank.chains.placement import MIN_GAIN_SHARE, plan_layers
from mallowcrank.chains.windows import PlacementEngine, find_gaps
from mallowcrank.gateway.targets import Lifetime

LAYERS = 80
# Usual layers, the most of them, and pace, of the kinds of accelerators.
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


def card(name, kind, zone='shah-alam'):
    return PlacementEngine(Lifetime(name, 0), zone, *KINDS[kind])


def empty_fleet():
    cards = []
    for zone, kinds in ZONES.items():
        for kind, count in kinds.items():
            names = [f'{zone}-{kind}-{number}' for number in range(count)]
            cards.extend(card(name, kind, zone) for name in names)
    return cards


def carry_out(cards, placings):
    """
    Return the cards after the orders.
    """
    orders = {placing.lifetime: placing for placing in placings}
    return [
        replace(
            each,
            first=orders[each.lifetime].first,
            end=orders[each.lifetime].end,
        )
        if each.lifetime in orders
        else each
        for each in cards
    ]


def settle(cards):
    """
    Carry out orders until none is due.

    :returns: the cards, and how many orders it took.
    """
    count = 0
    while True:
        placings = plan_layers(LAYERS, cards)
        if not placings:
            return cards, count
        count += len(placings)
        cards = carry_out(cards, placings)


def path_time(cards):
    """
    Return the time of the fastest path, in paces of one layer.
    """
    return sum(
        min(
            each.step_factor for each in cards if each.first <= layer < each.end
        )
        for layer in range(LAYERS)
    )


def loaded_between(before, after):
    """
    Return how many layers cards hold that they did not hold before.
    """
    held = {each.lifetime: set(range(each.first, each.end)) for each in before}
    return sum(
        len(set(range(each.first, each.end)) - held[each.lifetime])
        for each in after
    )


def _missing(cards):
    return sum(end - first for first, end in find_gaps(LAYERS, cards))


def in_zone(cards, zone):
    return [each for each in cards if each.zone == zone]


class TestPlacement(TestCase):
    def test_each_zone_gets_a_copy_in_one_round(self):
        cards, count = settle(empty_fleet())
        self.assertEqual(count, len(cards))
        for zone in ZONES:
            self.assertEqual(find_gaps(LAYERS, in_zone(cards, zone)), [])

    def test_no_card_is_ordered_to_hold_more_than_fits(self):
        random = Random(3)
        cards, _ = settle(empty_fleet())
        for _ in range(100):
            gone = random.sample(range(len(cards)), 3)
            cards = [
                replace(each, first=0, end=0) if place in gone else each
                for place, each in enumerate(cards)
            ]
            for placing in plan_layers(LAYERS, cards):
                most = next(
                    each.max_layers
                    for each in cards
                    if each.lifetime == placing.lifetime
                )
                self.assertLessEqual(placing.end - placing.first, most)
                self.assertLessEqual(placing.end, LAYERS)
                self.assertGreaterEqual(placing.first, 0)
            cards, _ = settle(cards)

    def test_the_loss_of_the_largest_card_leaves_a_copy(self):
        cards, _ = settle(empty_fleet())
        for zone in ZONES:
            with self.subTest(zone=zone):
                staying = [
                    each
                    for each in in_zone(cards, zone)
                    if each.lifetime.identity != f'{zone}-a100-0'
                ]
                self.assertEqual(find_gaps(LAYERS, staying), [])

    def test_any_lost_card_is_made_up_for_by_few_orders(self):
        cards, _ = settle(empty_fleet())
        for lost in cards:
            with self.subTest(lost=lost.lifetime.identity):
                staying = [each for each in cards if each is not lost]
                healed, count = settle(staying)
                # Cards that take one layer more are orders, too: 28 layers
                # are made up for by five orders that load 28.
                self.assertLessEqual(count, 5)
                loaded = loaded_between(staying, healed)
                self.assertLessEqual(loaded, lost.end - lost.first + 6)
                for zone in ZONES:
                    gaps = find_gaps(LAYERS, in_zone(healed, zone))
                    self.assertEqual(gaps, [])

    def test_a_settled_fleet_gets_no_orders(self):
        cards, _ = settle(empty_fleet())
        self.assertEqual(plan_layers(LAYERS, cards), ())

    def test_a_card_that_comes_back_empty_is_used_again(self):
        cards, _ = settle(empty_fleet())
        back = replace(cards[0], first=0, end=0)
        placings = plan_layers(LAYERS, [back, *cards[1:]])
        self.assertEqual([each.lifetime for each in placings], [back.lifetime])

    def test_a_card_that_comes_back_takes_over_from_slower_ones(self):
        cards, _ = settle(empty_fleet())
        for lost in cards:
            with self.subTest(lost=lost.lifetime.identity):
                zone = lost.zone
                before = path_time(in_zone(cards, zone))
                healed, _ = settle([each for each in cards if each != lost])
                back, _ = settle([replace(lost, first=0, end=0), *healed])
                after = path_time(in_zone(back, zone))
                self.assertLessEqual(after, before * (1 + MIN_GAIN_SHARE))

    def test_losses_one_after_another_leave_no_gap_that_cards_can_close(self):
        random = Random(7)
        cards, _ = settle(empty_fleet())
        for _ in range(60):
            lost = random.choice(cards)
            healed, _ = settle([each for each in cards if each != lost])
            self.assertEqual(find_gaps(LAYERS, in_zone(healed, lost.zone)), [])
            cards, _ = settle([*healed, replace(lost, first=0, end=0)])

    def test_a_gap_that_nothing_spare_closes_makes_a_card_take_more(self):
        names = [f'v100-{number}' for number in range(11)]
        cards = [card('fast', 'a100'), *(card(name, 'v100') for name in names)]
        cards, _ = settle(cards)
        healed, _ = settle(cards[:-2])
        self.assertEqual(find_gaps(LAYERS, healed), [])
        usual = {name: counts[0] for name, counts in KINDS.items()}
        taken = [each.end - each.first for each in healed]
        self.assertGreater(max(taken[1:]), usual['v100'])
        again = [replace(each, first=0, end=0) for each in cards[-2:]]
        whole, _ = settle([*healed, *again])
        bound = path_time(cards) * (1 + MIN_GAIN_SHARE)
        self.assertLessEqual(path_time(whole), bound)

    def test_no_card_gives_up_what_is_only_being_loaded_elsewhere(self):
        random = Random(11)
        cards, _ = settle(empty_fleet())
        for _ in range(100):
            place = random.randrange(len(cards))
            cards[place] = replace(cards[place], is_loading=True)
            lost = random.choice(cards)
            staying = [each for each in cards if each != lost]
            loaded = [each for each in staying if not each.is_loading]
            after = carry_out(loaded, plan_layers(LAYERS, staying))
            for zone in ZONES:
                missing = _missing(in_zone(loaded, zone))
                still = _missing(in_zone(after, zone))
                self.assertLessEqual(still, missing)
            cards, _ = settle(
                [
                    replace(each, is_loading=False)
                    for each in (*staying, replace(lost, first=0, end=0))
                ]
            )

    def test_a_slow_card_is_replaced_while_it_is_slow(self):
        cards, _ = settle(empty_fleet())
        place = next(
            place
            for place, each in enumerate(cards)
            if each.lifetime.identity == 'petaling-v100-1'
        )
        usual = path_time(in_zone(cards, 'petaling'))
        cards[place] = replace(
            cards[place], step_factor=12 * cards[place].step_factor
        )
        slowed = path_time(in_zone(cards, 'petaling'))
        cards, count = settle(cards)
        self.assertLessEqual(count, 2)
        replaced = path_time(in_zone(cards, 'petaling'))
        self.assertLess(replaced - usual, (slowed - usual) / 4)

    def test_zones_too_small_for_a_copy_share_one(self):
        cards = [
            card(f'{zone}-{number}', 'l4', zone)
            for zone in ('x', 'y')
            for number in range(5)
        ]
        cards, _ = settle(cards)
        self.assertEqual(find_gaps(LAYERS, cards), [])

    def test_a_fleet_too_small_settles_all_the_same(self):
        cards, _ = settle([card('one', 'a100'), card('two', 'l4')])
        most = KINDS['a100'][1] + KINDS['l4'][1]
        self.assertEqual(_missing(cards), LAYERS - most)

    def test_nothing_is_planned_without_cards(self):
        self.assertEqual(plan_layers(LAYERS, []), ())
