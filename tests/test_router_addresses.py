"""
Which routers callers are sent to.
"""

from dataclasses import replace
from itertools import repeat
from unittest import TestCase

from mallowcrank.router.addresses import AddressQuery, order_routers
from mallowcrank.view import Peer

ROUTERS = tuple(
    Peer(f'r{number}', '', 'ab'[number % 2], '1') for number in range(12)
)


def first(routers, workspace, seed=0):
    question = AddressQuery('a', seed, workspace)
    return order_routers(routers, question)[0]


def zone_of(count):
    return [Peer(f'r{number}', '', 'a', '1') for number in range(count)]


def fill(count, workspaces):
    """
    Send each request to the router named first; none of them ends.
    """
    peers = zone_of(count)
    for workspace in workspaces:
        chosen = first(peers, workspace)
        peers = [
            replace(each, load=each.load + (each.name == chosen.name))
            for each in peers
        ]
    return [each.load for each in peers]


class TestAddresses(TestCase):
    def test_callers_of_a_workspace_get_one_home_in_their_zone(self):
        homes = {first(ROUTERS, 'b/w', seed).name for seed in range(12)}
        self.assertEqual(len(homes), 1)
        spread = {first(ROUTERS, f'b/w{each}').name for each in range(60)}
        self.assertEqual(spread, {'r0', 'r2', 'r4', 'r6', 'r8', 'r10'})

    def test_busy_home_is_no_longer_first(self):
        home = first(ROUTERS, 'b/w')
        for load, stays in ((15, True), (64, False)):
            routers = [
                replace(each, load=load) if each == home else each
                for each in ROUTERS
            ]
            chosen = first(routers, 'b/w').name
            self.assertEqual(chosen == home.name, stays)

    def test_hot_workspace_spreads_over_a_small_zone(self):
        loads = fill(3, repeat('b/hot', 300))
        self.assertLessEqual(max(loads), 2 * min(loads))

    def test_many_workspaces_keep_their_homes_in_a_large_zone(self):
        names = [f'b/w{number}' for number in range(6100)]
        peers = zone_of(14)
        homes = [first(peers, name).name for name in names]
        loads = dict.fromkeys((peer.name for peer in peers), 0)
        for name in homes[::4]:
            loads[name] += 1
        busy = [replace(each, load=loads[each.name]) for each in peers]
        kept = sum(
            first(busy, name).name == home
            for name, home in zip(names, homes, strict=True)
        )
        self.assertGreater(kept, 0.95 * len(names))

    def test_home_that_leaves_is_followed_by_another_of_the_zone(self):
        home = first(ROUTERS, 'b/w')
        left = [replace(each, leaving=each == home) for each in ROUTERS]
        other = first(left, 'b/w')
        self.assertNotEqual(other.name, home.name)
        self.assertEqual(other.availability_zone, 'a')
