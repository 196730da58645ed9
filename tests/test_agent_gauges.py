"""
An agent's gauges, urgency of membership changes and pauses between reads.
"""

import random
from dataclasses import replace
from unittest import TestCase

from mallowcrank.agent.loops import READ_PAUSE_S, GaugeReporter, read_pause_s
from mallowcrank.agent.settings import SettingsActor, SettingsDependencies
from mallowcrank.clock import FakeClock, HybridClock
from mallowcrank.membership.actor import (
    differs_beyond_load,
    peers_differ_beyond_load,
)
from mallowcrank.ports import LogPage, LogRecord
from mallowcrank.timeline import Timeline
from mallowcrank.view import Peer, Target, TargetKind, TargetState


class FakeMembership:
    def targets(self):
        return {
            state: Target(
                state, TargetKind.ENGINE, '127.0.0.1:1', 'a', 'm', state=state
            )
            for state in (TargetState.LIVE, TargetState.LEAVING)
        }

    def peers(self):
        return {}


class FakeMetrics:
    def __init__(self):
        self.by_stat = {}

    def gauge(self, stat, value):
        self.by_stat[stat] = value


class TestGauges(TestCase):
    def test_age_outage_and_targets_are_reported(self):
        clock = FakeClock()
        timeline = Timeline('host', HybridClock(clock))
        ref = SettingsActor.start(SettingsDependencies(None, clock, timeline))
        self.addCleanup(ref.stop)
        settings = ref.proxy()
        settings.apply_outage('it is out').get()
        clock.advance(2)
        metrics = FakeMetrics()
        GaugeReporter(metrics, settings, FakeMembership())()
        reported = metrics.by_stat
        self.assertEqual(reported['settings_age'], 2000)
        self.assertEqual(reported['log_out'], 1)
        self.assertEqual(reported['version'], -1)
        self.assertEqual(reported['targets'], 2)
        self.assertEqual(reported['targets_not_live'], 1)


class TestUrgentChanges(TestCase):
    """
    Routers must learn soon of all changes but loads and demands.
    """

    def setUp(self):
        self.target = FakeMembership().targets()[TargetState.LIVE]

    def test_changed_load_is_not_urgent(self):
        self.assertFalse(
            differs_beyond_load(self.target, replace(self.target, load=9))
        )

    def test_new_and_leaving_targets_are_urgent(self):
        leaving = replace(self.target, load=9, state=TargetState.LEAVING)
        self.assertTrue(differs_beyond_load(self.target, leaving))
        self.assertTrue(differs_beyond_load(None, self.target))

    def test_new_gone_and_leaving_routers_are_urgent(self):
        peer = Peer('r1', '127.0.0.1:1', 'a', '1')
        busy = replace(peer, load=3, demand={'a/x': 0.5})
        self.assertFalse(peers_differ_beyond_load({'r1': peer}, {'r1': busy}))
        for after in ({}, {'r1': replace(busy, leaving=True)}):
            self.assertTrue(peers_differ_beyond_load({'r1': peer}, after))


class TestReadPause(TestCase):
    def pause(self, *types):
        records = tuple(
            LogRecord(offset, 1, {'type': each})
            for offset, each in enumerate(types)
        )
        page = LogPage(0, len(records), records)
        return read_pause_s(page, random.Random(1))

    def test_only_pages_of_leases_lengthen_the_pause(self):
        self.assertGreater(self.pause('lease', 'lease'), READ_PAUSE_S)
        self.assertEqual(self.pause('lease', 'settings'), READ_PAUSE_S)
        self.assertEqual(self.pause(), READ_PAUSE_S)
