"""
Which routers callers are sent to.
"""

from dataclasses import replace
from unittest import TestCase

from mallowcrank.router.addresses import AddressQuestion, order_routers
from mallowcrank.view import Peer

ROUTERS = tuple(
    Peer(f'r{number}', '', 'ab'[number % 2], '1') for number in range(12)
)


def first(routers, workspace, seed=0):
    question = AddressQuestion('a', seed, workspace)
    return order_routers(routers, question)[0]


class TestAddresses(TestCase):
    def test_callers_of_a_workspace_get_one_home_in_their_zone(self):
        homes = {first(ROUTERS, 'b/w', seed).name for seed in range(12)}
        self.assertEqual(len(homes), 1)
        spread = {first(ROUTERS, f'b/w{each}').name for each in range(60)}
        self.assertEqual(spread, {'r0', 'r2', 'r4', 'r6', 'r8', 'r10'})

    def test_much_busier_home_is_no_longer_first(self):
        home = first(ROUTERS, 'b/w')
        for load, stays in ((5, True), (64, False)):
            routers = [
                replace(each, load=load) if each == home else each
                for each in ROUTERS
            ]
            chosen = first(routers, 'b/w').name
            self.assertEqual(chosen == home.name, stays)

    def test_home_that_leaves_is_followed_by_another_of_the_zone(self):
        home = first(ROUTERS, 'b/w')
        left = [replace(each, leaving=each == home) for each in ROUTERS]
        other = first(left, 'b/w')
        self.assertNotEqual(other.name, home.name)
        self.assertEqual(other.availability_zone, 'a')
