"""
An agent that asks its peers for settings, and one that can't start.
"""

import random
import socket
import subprocess
import sys
from unittest import TestCase

from mallowcrank.agent.loops import (
    MAX_FETCH_BACKOFF_S,
    SettingsFetcher,
    fetch_backoff_s,
)
from mallowcrank.agent.messages import OfferedRecord, TreeQuestion
from mallowcrank.agent.offers import apply_offered_record
from mallowcrank.agent.settings import SettingsActor, SettingsDependencies
from mallowcrank.clock import FakeClock, HybridClock
from mallowcrank.codec import from_plain, to_plain
from mallowcrank.config.parsing import to_body
from mallowcrank.config.records import Change, ConfigRecord
from mallowcrank.ports import LogPage, LogRecord
from mallowcrank.timeline import Timeline

LIMIT_S = 40


class Feed:
    def __init__(self):
        self.update_settings = self
        self.versions = []

    def defer(self, effective):
        self.versions.append(effective.version)


class Gossip:
    """
    Reaches one peer, or none.
    """

    def __init__(self):
        self.peer = None
        self.asked = 0

    def send(self, topic, body):
        """
        Lose what is passed on.
        """

    def addresses(self):
        return ('peer',)

    def ask(self, peer, topic, body, timeout_s):
        self.asked += 1
        if self.peer is None:
            return None
        question = from_plain(body, TreeQuestion)
        return to_plain(self.peer.answer(question).get())


def page(offset, base, streams):
    change = Change('organisation.streams', base, streams)
    record = ConfigRecord(f'r{offset}', (change,), read=base)
    record = LogRecord(offset, 5, to_body(record))
    return LogPage(0, offset + 1, (record,))


class TestAskedPeers(TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.gossip = Gossip()
        self.feed = Feed()
        self.reached = self.start(Feed())
        self.settings = self.start(self.feed)
        self.reader = SettingsFetcher(
            self.settings, self.gossip, random.Random(1)
        )

    def start(self, feed):
        timeline = Timeline('host', HybridClock(self.clock))
        around = SettingsDependencies(self.gossip, self.clock, timeline, feed)
        ref = SettingsActor.start(around)
        self.addCleanup(ref.stop)
        return ref.proxy()

    def version(self):
        return self.settings.effective().get().version

    def test_settings_come_from_a_peer_while_the_log_is_out(self):
        first = page(0, -1, 10)
        self.reached.apply_page(first).get()
        self.settings.apply_page(first).get()
        self.settings.apply_outage('it is out').get()
        self.reached.apply_page(page(1, 0, 20)).get()
        self.gossip.peer = self.reached
        self.reader()
        self.assertEqual(self.version(), 1)
        self.assertEqual(self.feed.versions, [0, 1])

    def test_peer_that_is_behind_changes_nothing(self):
        first = page(0, -1, 10)
        self.reached.apply_page(first).get()
        self.settings.apply_page(first).get()
        self.settings.apply_page(page(1, 0, 20)).get()
        self.settings.apply_outage('it is out').get()
        self.gossip.peer = self.reached
        self.reader()
        self.assertEqual(self.version(), 1)

    def test_agent_without_settings_asks_less_and_less(self):
        pauses = [self.reader() for _ in range(10)]
        self.assertLess(pauses[0], MAX_FETCH_BACKOFF_S / 4)
        self.assertGreater(min(pauses[-3:]), MAX_FETCH_BACKOFF_S / 3)
        self.assertLessEqual(max(pauses), MAX_FETCH_BACKOFF_S)

    def test_pauses_differ_between_agents(self):
        pauses = {fetch_backoff_s(5, random.Random(seed)) for seed in range(10)}
        self.assertEqual(len(pauses), 10)


class TestOfferedRecord(TestCase):
    """
    An operator's client has appended a record; the log went out right after.
    """

    def setUp(self):
        self.clock = FakeClock()
        self.feed = Feed()
        timeline = Timeline('host', HybridClock(self.clock))
        around = SettingsDependencies(Gossip(), self.clock, timeline, self.feed)
        ref = SettingsActor.start(around)
        self.addCleanup(ref.stop)
        self.settings = ref.proxy()
        self.settings.apply_page(page(0, -1, 10)).get()
        self.settings.apply_outage('it is out').get()

    def offer(self, offset, after=None, base=0):
        body = dict(page(offset, base, 20).records[0].body)
        offered = OfferedRecord(offset, 5, after, body)
        return apply_offered_record(offered, self.settings)

    def version(self):
        return self.settings.effective().get().version

    def test_next_record_is_in_force(self):
        self.assertTrue(self.offer(1))
        self.assertEqual(self.version(), 1)

    def test_record_that_may_follow_others_is_not_taken(self):
        self.assertFalse(self.offer(3))
        self.assertEqual(self.version(), 0)

    def test_record_whose_client_has_read_all_before_it_is_taken(self):
        self.assertTrue(self.offer(3, after=0))
        self.assertEqual(self.version(), 3)

    def test_record_after_one_that_is_missing_here_is_not_taken(self):
        self.assertFalse(self.offer(3, after=2))
        self.assertEqual(self.version(), 0)

    def test_reading_it_again_changes_nothing(self):
        self.offer(1)
        self.settings.apply_page(page(1, 0, 20)).get()
        self.assertEqual(self.feed.versions, [0, 1])


class TestTakenAddress(TestCase):
    def test_agent_says_that_its_address_is_taken_and_exits_with_1(self):
        with socket.create_server(('127.0.0.1', 0)) as taken:
            address = f'127.0.0.1:{taken.getsockname()[1]}'
            words = {
                '--host': 'host-0',
                '--availability-zone': 'a',
                '--listen': address,
                '--admin': '127.0.0.1:0',
                '--feed': '127.0.0.1:0',
                '--log': '127.0.0.1:1',
                '--host-list': '127.0.0.1:1',
                '--peer-keys': '1:6d616c6c6f77',
            }
            flags = [word for pair in words.items() for word in pair]
            run = subprocess.run(
                [sys.executable, '-m', 'mallowcrank', 'agent', *flags],
                capture_output=True,
                text=True,
                timeout=LIMIT_S,
                check=False,
            )
        self.assertEqual(run.returncode, 1, run.stderr)
        self.assertIn('mallowcrank-agent: ', run.stderr)
        self.assertIn('Address already in use', run.stderr)
