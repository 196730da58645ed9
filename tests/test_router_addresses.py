"""
The order of the router addresses that callers get.
"""

from dataclasses import replace
from itertools import repeat
from unittest import TestCase

from mallowcrank.router.addresses import AddressQuery, order_routers
from mallowcrank.view import Peer

ROUTERS = tuple(
    Peer(f'r{number}', '', 'ab'[number % 2], '1') for number in range(12)
)


def first_router(routers, workspace, seed=0):
    query = AddressQuery('a', seed, workspace)
    return order_routers(routers, query)[0]


def routers_in_zone(count):
    return [Peer(f'r{number}', '', 'a', '1') for number in range(count)]


def simulate_requests(count, workspaces):
    """
    Send each request to the first router; no request ends.

    :returns: the requests in flight of each router.
    """
    peers = routers_in_zone(count)
    for workspace in workspaces:
        chosen = first_router(peers, workspace)
        peers = [
            replace(each, load=each.load + (each.name == chosen.name))
            for each in peers
        ]
    return [each.load for each in peers]


class TestAddresses(TestCase):
    def test_callers_of_a_workspace_get_one_home_in_their_zone(self):
        """
        Guards against spreading the requests of one workspace over several
        routers, or sending them to another availability zone.
        """
        homes = {first_router(ROUTERS, 'b/w', seed).name for seed in range(12)}
        self.assertEqual(len(homes), 1)
        spread = {
            first_router(ROUTERS, f'b/w{each}').name for each in range(60)
        }
        self.assertEqual(spread, {'r0', 'r2', 'r4', 'r6', 'r8', 'r10'})

    def test_busy_home_is_no_longer_first(self):
        """
        Guards against overloading a home router while others are idle.
        """
        home = first_router(ROUTERS, 'b/w')
        for load, is_first in ((15, True), (64, False)):
            routers = [
                replace(each, load=load) if each == home else each
                for each in ROUTERS
            ]
            chosen = first_router(routers, 'b/w').name
            self.assertEqual(chosen == home.name, is_first)

    def test_hot_workspace_spreads_over_a_small_zone(self):
        """
        Guards against sending all requests of a busy workspace to its home.
        """
        loads = simulate_requests(3, repeat('b/hot', 300))
        self.assertLessEqual(max(loads), 2 * min(loads))

    def test_many_workspaces_keep_their_homes_in_a_large_zone(self):
        """
        Guards against moving workspaces away from their homes because of
        small differences in load.
        """
        names = [f'b/w{number}' for number in range(6100)]
        peers = routers_in_zone(14)
        homes = [first_router(peers, name).name for name in names]
        loads = dict.fromkeys((peer.name for peer in peers), 0)
        for name in homes[::4]:
            loads[name] += 1
        busy = [replace(each, load=loads[each.name]) for each in peers]
        kept = sum(
            first_router(busy, name).name == home
            for name, home in zip(names, homes, strict=True)
        )
        self.assertGreater(kept, 0.95 * len(names))

    def test_leaving_home_is_replaced_within_its_zone(self):
        """
        Guards against sending callers to a router that is leaving, or to
        another availability zone instead.
        """
        home = first_router(ROUTERS, 'b/w')
        peers = [replace(each, leaving=each == home) for each in ROUTERS]
        other = first_router(peers, 'b/w')
        self.assertNotEqual(other.name, home.name)
        self.assertEqual(other.availability_zone, 'a')
