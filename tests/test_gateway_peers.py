"""
What a gateway knows of the others on sites of many gateways.
"""

from functools import cache
from unittest import TestCase

from mallowcrank.chains.budget import RetryWindow
from mallowcrank.gateway.settings import Bounds
from tests.utils.peer_network import PeerNetwork

EXPIRED_S = 32  # gateways that were not heard for so long are forgotten
SIZES = (8, 84)
BOUNDS = Bounds(
    grace_s=8,
    drain_s=3,
    max_directory_ttl_s=5,
    retry_ratio=0.2,
    retry_window_s=10,
    retry_slack=316,
)


def total_retries(gateways, now):
    """
    Return how many retries gateways without requests may send together.
    """
    total = 0
    for peers in gateways:
        window = RetryWindow(BOUNDS)
        while window.allows_retry(now, peers.count()):
            window.count_retry(now)
            total += 1
    return total


@cache
def settled_network(size):
    """
    Return a network some time after all gateways have started.
    """
    network = PeerNetwork(size)
    network.run(EXPIRED_S)
    return network


class TestManyGateways(TestCase):
    def test_retry_shares_of_many_gateways_stay_within_the_budget(self):
        for size in SIZES:
            with self.subTest(size=size):
                network = settled_network(size)
                with network.clock():
                    total = total_retries(
                        network.gateways.values(), network.now
                    )
                self.assertLessEqual(total, BOUNDS.retry_slack)

    def test_gateway_hears_all_others_of_a_large_site(self):
        for size in SIZES:
            with self.subTest(size=size):
                heard = settled_network(size).live_counts()
                self.assertEqual(set(heard), {size - 1})
