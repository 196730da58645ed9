"""
Permits for requests to a target that names a limit, while gateways fail.
"""

import asyncio
from unittest import TestCase

from mallowcrank.gateway.permits import Denial
from tests.utils.limited_site import allowed_arrivals, most_arrivals
from tests.utils.permit_network import TARGET, PermitNetwork

RATE = 3.0
USED_SHARE = 0.6
SIZES = (6, 24, 84)


class PermitCase(TestCase):
    def play(self, scenario, size=6, **options):
        """
        Play a scenario, a coroutine function of the network, with a limit that
        is known to all gateways.

        :returns: the network, with the arrivals since the scenario's begin.
        """
        with PermitNetwork(size, **options) as network:
            network.run(network.start_all(RATE))
            network.run(network.load(2))
            network.since = network.now()
            network.run(scenario(network))
            network.until = network.now()
        return network

    def check_kept(self, network):
        most = most_arrivals(network.arrivals, network.since, network.until)
        self.assertLessEqual(most, allowed_arrivals(RATE))

    def check_used(self, network, since=None):
        since = network.since if since is None else since
        seconds = network.until - since
        used = [moment for moment in network.arrivals if moment >= since]
        self.assertGreaterEqual(len(used), USED_SHARE * RATE * seconds)


class TestCalmSite(PermitCase):
    def test_limit_is_kept_and_used_at_any_number_of_gateways(self):
        for size in SIZES:
            with self.subTest(size=size):
                network = self.play(lambda site: site.load(10), size)
                self.check_kept(network)
                self.check_used(network)

    def test_lost_datagrams_leave_the_limit_kept_and_used(self):
        network = self.play(lambda site: site.load(20), size=24, loss=0.1)
        self.check_kept(network)
        self.check_used(network)


class TestFailures(PermitCase):
    async def lose_issuer(self, network):
        issuer = network.issuer()
        network.stop(issuer)
        await network.load(4)
        network.recovered_at = network.now()
        await network.load(10)

    def test_dead_gateway_that_issued_permits_is_replaced(self):
        for size in (6, 24):
            with self.subTest(size=size):
                network = self.play(self.lose_issuer, size)
                self.check_kept(network)
                self.check_used(network, network.recovered_at)

    async def freeze_issuer(self, network):
        issuer = network.gateways[network.issuer()]
        issuer.freeze()
        await network.load(5)
        issuer.thaw()
        await network.load(10)

    def test_gateway_that_wakes_up_issues_no_permits_beside_another(self):
        for size in (6, 24):
            with self.subTest(size=size):
                network = self.play(self.freeze_issuer, size)
                self.check_kept(network)
                self.check_used(network)

    async def restart_in_turn(self, network):
        for number in list(network.gateways):
            network.stop(number)
            await network.load(1)
            network.start(number)
            await network.load(1.5)

    def test_limit_is_kept_while_gateways_restart_in_turn(self):
        network = self.play(self.restart_in_turn)
        self.check_kept(network)

    async def restart_all(self, network):
        for number in list(network.gateways):
            network.stop(number)
        for number in list(network.gateways):
            network.start(number).learn(RATE)
        network.since = network.now()
        await network.load(12)

    def test_limit_is_kept_when_all_gateways_restart_at_once(self):
        for size in (6, 24):
            with self.subTest(size=size):
                network = self.play(self.restart_all, size)
                self.check_kept(network)
                self.check_used(network)

    async def cut(self, network):
        for gateway in list(network.gateways.values())[::3]:
            network.islands[gateway.address] = 'minority'
        await network.load(15)
        network.islands.clear()
        await network.load(10)

    def test_cut_off_third_of_the_gateways_keeps_the_limit(self):
        for size in (6, 24):
            with self.subTest(size=size):
                network = self.play(self.cut, size)
                self.check_kept(network)
                self.check_used(network)

    async def separate_all(self, network):
        for number, gateway in network.gateways.items():
            network.islands[gateway.address] = number
        await network.load(3)
        network.since = network.now()
        await network.load(25)

    def test_gateways_without_each_other_keep_the_limit_and_use_some(self):
        for size in (6, 24):
            with self.subTest(size=size):
                network = self.play(self.separate_all, size)
                self.check_kept(network)
                self.assertGreater(len(network.arrivals), 10)

    def test_gateway_that_has_heard_nobody_since_its_start_sends_nothing(self):
        async def start_alone(network):
            network.stop(0)
            network.islands[network.gateways[0].address] = 'alone'
            alone = network.start(0)
            alone.learn(RATE)
            await asyncio.sleep(4)
            denials = [await alone.permits.claim((TARGET,)) for _ in range(9)]
            self.assertEqual({type(each) for each in denials}, {Denial})

        self.play(start_alone, size=24)

    def test_gateways_of_an_earlier_build_are_not_asked_for_permits(self):
        with PermitNetwork(6) as network:
            network.run(network.start_all(RATE, earlier_builds=5))
            network.since = network.now()
            gateway = network.gateways[5]
            network.gateways = {5: gateway}
            network.run(network.load(8))
            network.until = network.now()
        self.check_used(network)
        self.check_kept(network)
