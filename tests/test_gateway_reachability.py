"""
How a gateway tells its own cut from an outage of targets, in virtual time.
"""

from random import Random
from types import SimpleNamespace
from unittest import TestCase
from unittest.mock import Mock, patch

from mallowcrank.gateway.fleet import Fleet
from mallowcrank.gateway.prober import CUT_OFF_SAMPLE, RETURN_SAMPLE, Prober
from mallowcrank.gateway.reachability import (
    ALONE_S,
    CHECK_INTERVAL_S,
    DOUBT_S,
    Reachability,
)
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.target_sweep import (
    MIN_SAMPLE,
    SWEEP_PROBES,
    TargetSweep,
)
from mallowcrank.gateway.targets import Lifetime, Target

TARGETS = 40
SIZES = (6, 24, 84)


def make_target(number):
    return Target(
        lifetime=Lifetime(f'i-{number}', 1),
        service='stock',
        address=Address('10.0.1.1', 1000 + number),
        zone='a',
        slots=6,
        leaving=False,
        layers=None,
        kind='',
    )


def lifetime(number):
    return Lifetime(f'i-{number}', 1)


class FakeGateway:
    """
    One gateway's view of the targets, and what it tells the others.
    """

    def __init__(self, number, targets=TARGETS):
        self.fleet = Fleet(Mock())
        self.peers = Mock()
        self.prober = Mock()
        self.on_cut_off = Mock()
        self.host = f'h{number}'
        for each in map(make_target, range(targets)):
            self.fleet.apply_entry(each, each.identity.encode(), 0)
        self.reachability = Reachability(
            self.fleet,
            self.peers,
            self.prober,
            Mock(),
            Mock(),
            self.on_cut_off,
        )

    @property
    def status(self):
        is_cut_off = self.reachability.is_cut_off
        silent = self.fleet.health.unresponsive()
        names = () if is_cut_off else tuple(each.identity for each in silent)
        return SimpleNamespace(
            host=self.host,
            accepts_callers=True,
            is_cut_off=is_cut_off,
            unresponsive_targets=names,
        )

    def lose(self, numbers):
        for number in numbers:
            self.fleet.health.record_silence(lifetime(number), 'silent', 0)

    def regain(self, numbers):
        for number in numbers:
            self.fleet.health.record_answer(lifetime(number), 1, 0)


class TestReachability(TestCase):
    def setUp(self):
        self.now = 100.0
        clock = patch(
            'mallowcrank.gateway.reachability.monotonic_s', lambda: self.now
        )
        clock.start()
        self.addCleanup(clock.stop)

    def start(self, size):
        gateways = [FakeGateway(number) for number in range(size)]
        self.run_all(gateways, 0.3)
        return gateways

    def run_all(self, gateways, seconds):
        """
        Let all gateways compare, and hear each other each quarter of a second.
        """
        for step in range(round(seconds / CHECK_INTERVAL_S)):
            self.now += CHECK_INTERVAL_S
            if step % 3 == 0:
                statuses = [
                    Mock(last_status=gateway.status) for gateway in gateways
                ]
                for number, gateway in enumerate(gateways):
                    gateway.peers.live.return_value = (
                        statuses[:number] + statuses[number + 1 :]
                    )
            for gateway in gateways:
                gateway.reachability.update()

    def cut_off_count(self, gateways):
        return sum(each.reachability.is_cut_off for each in gateways)

    def test_gateways_that_alone_reach_nothing_are_cut_off(self):
        for size in SIZES:
            with self.subTest(size=size):
                gateways = self.start(size)
                cut = gateways[: size - 1]
                for gateway in cut:
                    gateway.lose(range(TARGETS))
                self.run_all(gateways, 1)
                self.assertEqual(self.cut_off_count(gateways), len(cut))
                cut[0].on_cut_off.assert_called_once_with()
                better_off = {
                    status.host
                    for gateway in cut
                    for status in gateway.reachability.better_off
                }
                self.assertEqual(better_off, {gateways[-1].host})

    def test_outage_of_all_targets_is_no_cut(self):
        for size in SIZES:
            with self.subTest(size=size):
                gateways = self.start(size)
                for gateway in gateways:
                    gateway.lose(range(TARGETS))
                self.run_all(gateways, ALONE_S + 2)
                self.assertEqual(self.cut_off_count(gateways), 0)
                self.assertFalse(gateways[0].reachability.better_off)

    def test_loss_of_some_targets_is_no_cut(self):
        gateways = self.start(6)
        for gateway in gateways:
            gateway.lose(range(TARGETS // 4))
        self.run_all(gateways, 2)
        self.assertEqual(self.cut_off_count(gateways), 0)
        self.assertFalse(gateways[0].reachability.is_in_doubt)

    def test_targets_that_are_silent_for_one_gateway_are_probed_once(self):
        gateways = self.start(6)
        gateways[0].lose(range(3))
        self.run_all(gateways, 3)
        probe = gateways[0].prober.probe
        probe.assert_called_once()
        self.assertEqual(len(tuple(probe.call_args.args[0])), TARGETS - 3)

    def test_gateway_that_knows_no_target_yet_is_not_cut_off(self):
        gateways = self.start(6)
        empty = FakeGateway(6, targets=0)
        self.run_all([*gateways, empty], 0.5)
        self.assertFalse(empty.reachability.is_cut_off)

    def test_doubt_ends_if_most_targets_answer(self):
        gateways = self.start(6)
        gateways[0].lose(range(5))
        self.run_all(gateways, 0.2)
        self.assertFalse(gateways[0].reachability.is_in_doubt)
        gateways[0].lose(range(TARGETS // 2))
        self.run_all(gateways, 0.2)
        self.assertTrue(gateways[0].reachability.is_in_doubt)
        self.run_all(gateways, DOUBT_S + 0.2)
        self.assertFalse(gateways[0].reachability.is_in_doubt)

    def test_gateway_is_back_when_it_reaches_half_of_the_targets(self):
        gateways = self.start(6)
        gateways[0].lose(range(TARGETS))
        self.run_all(gateways, 1)
        gateways[0].regain(range(TARGETS // 2 - 1))
        self.run_all(gateways, 1)
        self.assertEqual(self.cut_off_count(gateways), 1)
        gateways[0].regain(range(TARGETS // 2))
        self.run_all(gateways, 1)
        self.assertEqual(self.cut_off_count(gateways), 0)

    def test_gateway_whose_only_help_is_lost_looks_for_targets_itself(self):
        gateways = self.start(3)
        for gateway in gateways[:2]:
            gateway.lose(range(TARGETS))
        self.run_all(gateways, 1)
        self.assertEqual(self.cut_off_count(gateways), 2)
        self.run_all(gateways[:2], ALONE_S + 2)
        self.assertEqual(self.cut_off_count(gateways), 0)


class TestTargetSweep(TestCase):
    def setUp(self):
        self.targets = list(map(lifetime, range(210)))
        self.silent = set(self.targets[:3])
        self.sweep = TargetSweep(Random(1), 0)

    def choose(self, now):
        answering = [each for each in self.targets if each not in self.silent]
        return self.sweep.choose(answering, self.silent, now)

    def test_many_gateways_probe_a_sample(self):
        self.sweep.gateways = 195
        sample = self.choose(1)
        self.assertEqual(len(set(sample)), MIN_SAMPLE)
        self.assertFalse(self.silent.intersection(sample))
        self.assertFalse(self.choose(5))

    def test_few_gateways_probe_all_targets(self):
        self.sweep.gateways = 4
        self.assertEqual(len(set(self.choose(1))), 207)

    def test_all_targets_are_probed_at_once_where_the_sample_is_silent(self):
        self.sweep.gateways = 195
        sample = self.choose(1)
        self.silent.update(sample[: MIN_SAMPLE // 2])
        others = set(self.targets) - self.silent
        self.assertEqual(set(self.choose(1.1)), others)
        self.assertFalse(self.choose(5))

    def test_probes_after_a_crash_do_not_grow_with_the_gateways(self):
        for gateways in (24, 84, 125):
            with self.subTest(gateways=gateways):
                sweep = TargetSweep(Random(1), 0)
                sweep.gateways = gateways
                chosen = sweep.choose(self.targets[3:], self.silent, 1)
                self.assertLessEqual(len(chosen) * gateways, SWEEP_PROBES)


class TestProbesOfCutOffGateway(TestCase):
    def setUp(self):
        self.view = FakeGateway(0)
        self.pool = Mock()
        self.prober = Prober(
            self.view.fleet, self.pool, Mock(), Mock(), Mock(), Mock()
        )
        self.view.lose(range(TARGETS))

    def select(self):
        return self.prober._select_unresponsive()

    def test_few_targets_are_probed_until_one_answers(self):
        self.assertEqual(len(self.select()), TARGETS)
        self.prober.set_cut_off(is_cut_off=True)
        self.assertEqual(len(self.select()), CUT_OFF_SAMPLE)
        self.view.regain(range(1))
        self.assertEqual(len(self.select()), RETURN_SAMPLE)
        self.prober.set_cut_off(is_cut_off=False)
        self.assertEqual(len(self.select()), TARGETS - 1)

    def test_idle_channels_to_silent_targets_are_closed(self):
        self.prober.set_cut_off(is_cut_off=True)
        self.assertEqual(self.pool.close_idle.call_count, TARGETS)
