"""
What a gateway knows of the others on sites of many gateways.
"""

import asyncio
import json
import time
from functools import cache
from math import inf
from types import MappingProxyType
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import Mock, patch

import msgpack

from mallowcrank.chains.budget import RetryWindow
from mallowcrank.chains.memory import MemoryLedger
from mallowcrank.chains.paths import PathSegment
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.datagrams import (
    ADDRESSES_FORMAT,
    pack_addresses,
    read_addresses,
)
from mallowcrank.gateway.fleet import Fleet
from mallowcrank.gateway.gossip import Gossip
from mallowcrank.gateway.peers import MAX_ADDRESSES
from mallowcrank.gateway.prober import (
    ProbeCause,
    Prober,
    confirmed_silence_interval_s,
)
from mallowcrank.gateway.settings import Address, Bounds
from mallowcrank.gateway.status_rounds import plan_rounds
from mallowcrank.gateway.targets import Lifetime, TargetReport
from mallowcrank.platform.entries import read_entry
from mallowcrank.platform.standins.bodies import entry_body
from tests.utils.peer_network import PeerNetwork, status_of

EXPIRED_S = 32  # gateways that were not heard for so long are forgotten
SIZES = (8, 84)
BOUNDS = Bounds(
    grace_s=8,
    drain_s=3,
    config_s=2,
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


ZONE_ROUNDS_S = MappingProxyType({84: 0.5, 195: 0.5, 385: 1})


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

    def test_gateways_find_each_other_through_few_seeds_and_lost_datagrams(
        self,
    ):
        network = PeerNetwork(84, seeds=2, loss=0.05)
        network.run(5)
        self.assertEqual(set(network.counts()), {84})

    def test_load_of_a_gateway_is_bounded_on_a_large_site(self):
        network = PeerNetwork(120)
        network.run(3)
        network.sent.clear()
        network.run(5)
        self.assertLessEqual(max(network.sent.values()) / 5, 4 * 41)

    def test_gateways_of_a_zone_hear_each_other_first(self):
        for size, zones in ((84, 3), (195, 5), (385, 5)):
            with self.subTest(size=size):
                in_zone = size // zones - 1
                rounds = plan_rounds(in_zone, size - 1 - in_zone)
                self.assertLessEqual(
                    rounds.zone.recipients + rounds.other.recipients, 40
                )
                self.assertEqual(rounds.zone.duration_s, ZONE_ROUNDS_S[size])
                self.assertLessEqual(rounds.other.duration_s, 4)

    def test_gateways_that_a_broadcast_reached_are_spared_in_its_round(self):
        network = PeerNetwork(60, zones=2)
        network.run(3)
        network.sent.clear()
        with network.clock():
            for peers in network.gateways.values():
                peers.broadcast()
        network.run(0.25)
        # Besides the broadcast, a gateway passes on addresses.
        self.assertLessEqual(max(network.sent.values()), 59 + 1)
        network.run(1.75)
        self.assertEqual(set(network.live_counts()), {59})

    def test_few_gateways_reach_all_at_each_interval(self):
        rounds = plan_rounds(2, 4)
        self.assertEqual(
            (rounds.zone.recipients, rounds.zone.intervals), (2, 1)
        )
        self.assertEqual(rounds.zone_delay_s, 0)
        self.assertEqual(rounds.liveness_timeout_s, 0.9)

    def test_lost_gateways_of_a_large_site_are_not_live(self):
        network = PeerNetwork(195, zones=5)
        network.run(4)
        self.assertEqual(set(network.live_counts()), {194})
        network.stop(50)
        network.run(1.75)
        self.assertEqual(set(network.live_counts('zone-0')), {37})
        network.run(4.5)
        self.assertEqual(set(network.live_counts()), {193})

    def test_restarted_gateway_is_heard_again_within_a_second(self):
        network = PeerNetwork(84)
        network.run(5)
        network.stop(50)
        network.run(4)
        self.assertEqual(set(network.live_counts()), {82})
        with network.clock():
            network.start(50)
        network.run(1)
        self.assertEqual(set(network.live_counts()), {83})

    def test_gateway_that_is_gone_is_forgotten(self):
        network = PeerNetwork(8)
        network.run(2)
        network.stop(3)
        network.run(EXPIRED_S)
        self.assertEqual(set(network.counts()), {7})

    def test_gateways_that_hear_nobody_keep_their_shares(self):
        network = PeerNetwork(8)
        network.run(2)
        network.deaf.update(list(network.gateways)[2:])
        network.run(EXPIRED_S)
        with network.clock():
            total = total_retries(network.gateways.values(), network.now)
        self.assertLessEqual(total, BOUNDS.retry_slack)


class TestReportsOfSilence(TestCase):
    def setUp(self):
        self.fleet = Fleet(Mock())
        raw = json.dumps(entry_body()).encode()
        self.fleet.apply_entry(read_entry('i-1', raw), raw, 0)
        self.lifetime = self.fleet.find('i-1').lifetime
        self.ledger = MemoryLedger()
        self.prober = Mock()
        self.prober.host_for.return_value = 'prober'
        self.peers = Mock(liveness_timeout_s=1)
        self.gossip = Gossip(
            core=Mock(
                peers=self.peers,
                settings=Mock(host='mine'),
                fleet=self.fleet,
                ledger=self.ledger,
                prober=self.prober,
            ),
            desired=Mock(),
            targets=Mock(),
            leadership=Mock(),
            incarnation='abcd',
        )

    def report(self, host):
        status = status_of(host, unresponsive_targets=('i-1',))
        self.gossip.handle_status(status)
        return self.prober.probe.called

    def test_report_of_another_gateway_is_left_to_the_regular_prober(self):
        self.assertFalse(self.report('other'))

    def test_report_of_the_regular_prober_is_verified(self):
        self.assertTrue(self.report('prober'))

    def test_regular_prober_verifies_each_report(self):
        self.prober.host_for.return_value = 'mine'
        self.assertTrue(self.report('other'))

    def test_report_on_a_target_in_use_is_verified(self):
        self.ledger.reserve((PathSegment(self.lifetime, 0, 8),), 500)
        self.assertTrue(self.report('other'))

    def test_report_on_a_target_that_has_just_sent_is_not_verified(self):
        self.ledger.reserve((PathSegment(self.lifetime, 0, 8),), 500)
        self.fleet.health.record_progress((self.lifetime,), monotonic_s())
        self.assertFalse(self.report('other'))

    def test_cost_of_a_silent_target_does_not_grow_with_the_gateways(self):
        for gateways in (24, 84, 195, 385):
            with self.subTest(gateways=gateways):
                interval_s = confirmed_silence_interval_s(gateways)
                self.assertLessEqual(gateways / interval_s, 12)
        self.assertEqual(confirmed_silence_interval_s(8), 2)

    def test_silence_is_confirmed_by_the_regular_prober_only(self):
        for host, is_confirmed in (('other', False), ('prober', True)):
            with self.subTest(host=host):
                status = status_of(host, unresponsive_targets=('i-1',))
                self.peers.live.return_value = [Mock(last_status=status)]
                self.assertIs(
                    self.gossip.is_silence_confirmed('i-1'), is_confirmed
                )


class TestStalledProbes(IsolatedAsyncioTestCase):
    async def probe(self, answers):
        """
        Probe a target once.

        :param answers: the answers to requests for a report, each with the
            seconds for which it stalls this process.
        """
        fleet = Fleet(Mock())
        raw = json.dumps(entry_body(kind='l4')).encode()
        fleet.apply_entry(read_entry('i-1', raw), raw, 0)
        prober = Prober(fleet, Mock(), Mock(), Mock(), Mock(), Mock())
        remaining = iter(answers)

        async def fetch_report(target, may_reuse=True):
            stall_s, answer = next(remaining)
            time.sleep(stall_s)
            return answer

        with patch.object(prober, 'fetch_report', fetch_report):
            prober.probe((fleet.find('i-1').lifetime,))
            await asyncio.sleep(0.3)
        return set(fleet.health.unresponsive())

    async def test_stall_of_the_gateway_is_no_silence_of_the_target(self):
        report = TargetReport(
            lifetime=Lifetime('i-1', 0),
            pace=1,
            used=0,
            size=1,
            running=0,
            queued=0,
            is_busy=False,
            orders=0,
            layers=None,
        )
        found = await self.probe([(0.15, 'no report'), (0, report)])
        self.assertEqual(found, set())

    async def test_probe_for_the_return_of_a_dark_target_ends_in_time(self):
        fleet = Fleet(Mock())
        raw = json.dumps(entry_body(kind='l4')).encode()
        fleet.apply_entry(read_entry('i-1', raw), raw, 0)
        prober = Prober(fleet, Mock(), Mock(), Mock(), Mock(), Mock())
        requests = []

        async def fetch_report(target, may_reuse=True):
            requests.append(may_reuse)
            await asyncio.sleep(1)

        with patch.object(prober, 'fetch_report', fetch_report):
            async with asyncio.timeout(0.2):
                await prober._probe_target(fleet.find('i-1'), ProbeCause.RETURN)
        self.assertEqual(requests, [False])

    async def test_silent_target_is_found_by_one_probe(self):
        found = await self.probe([(0, 'no report')])
        self.assertEqual(len(found), 1)


class TestAddresses(TestCase):
    def test_addresses_survive_encoding(self):
        addresses = (Address('10.0.0.1', 7340), Address('10.0.0.2', 1))
        self.assertEqual(read_addresses(pack_addresses(addresses)), addresses)

    def test_most_addresses_of_a_datagram_fit_an_ethernet_frame(self):
        longest = Address('255.255.255.255', 65_535)
        addresses = [longest for _ in range(MAX_ADDRESSES)]
        self.assertLess(len(pack_addresses(addresses)), 1400)

    def test_malformed_addresses_are_ignored(self):
        for addresses in (
            [['host', 7340]],
            [['10.0.0.1', 0]],
            [['10.0.0.1', inf]],
            [[]],
            [7],
            7,
        ):
            with self.subTest(addresses=addresses):
                raw = msgpack.packb([ADDRESSES_FORMAT, addresses])
                self.assertEqual(read_addresses(raw), ())
