"""
Settings that agents get from peers, and an agent whose address is in use.
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

TIMEOUT_S = 40


class Feed:
    def __init__(self):
        self.update_settings = self
        self.versions = []

    def defer(self, effective):
        self.versions.append(effective.version)


class Gossip:
    """
    A gossip port with one reachable peer at most.
    """

    def __init__(self):
        self.peer = None
        self.asked = 0

    def send(self, topic, body):
        """
        Discard the message.
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


class TestSettingsFromPeers(TestCase):
    """
    An agent that can't read the log gets newer settings from its peers.
    """

    def setUp(self):
        self.clock = FakeClock()
        self.gossip = Gossip()
        self.feed = Feed()
        self.peer_settings = self.start(Feed())
        self.settings = self.start(self.feed)
        self.reader = SettingsFetcher(
            self.settings, self.gossip, random.Random(1)
        )

    def start(self, feed):
        timeline = Timeline('host', HybridClock(self.clock))
        surroundings = SettingsDependencies(
            self.gossip, self.clock, timeline, feed
        )
        ref = SettingsActor.start(surroundings)
        self.addCleanup(ref.stop)
        return ref.proxy()

    def version(self):
        return self.settings.effective().get().version

    def test_settings_come_from_a_peer_during_log_outage(self):
        first = page(0, -1, 10)
        self.peer_settings.apply_page(first).get()
        self.settings.apply_page(first).get()
        self.settings.apply_outage('it is out').get()
        self.peer_settings.apply_page(page(1, 0, 20)).get()
        self.gossip.peer = self.peer_settings
        self.reader()
        self.assertEqual(self.version(), 1)
        self.assertEqual(self.feed.versions, [0, 1])

    def test_outdated_peer_changes_nothing(self):
        first = page(0, -1, 10)
        self.peer_settings.apply_page(first).get()
        self.settings.apply_page(first).get()
        self.settings.apply_page(page(1, 0, 20)).get()
        self.settings.apply_outage('it is out').get()
        self.gossip.peer = self.peer_settings
        self.reader()
        self.assertEqual(self.version(), 1)

    def test_pauses_grow_while_no_peer_answers(self):
        pauses = [self.reader() for _ in range(10)]
        self.assertLess(pauses[0], MAX_FETCH_BACKOFF_S / 4)
        self.assertGreater(min(pauses[-3:]), MAX_FETCH_BACKOFF_S / 3)
        self.assertLessEqual(max(pauses), MAX_FETCH_BACKOFF_S)

    def test_pauses_differ_between_agents(self):
        pauses = {fetch_backoff_s(5, random.Random(seed)) for seed in range(10)}
        self.assertEqual(len(pauses), 10)


class TestOfferedRecord(TestCase):
    """
    A record offered by an operator's client during an outage of the log.

    The agent must not apply it if records before it may be missing.
    """

    def setUp(self):
        self.clock = FakeClock()
        self.feed = Feed()
        timeline = Timeline('host', HybridClock(self.clock))
        surroundings = SettingsDependencies(
            Gossip(), self.clock, timeline, self.feed
        )
        ref = SettingsActor.start(surroundings)
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

    def test_next_record_takes_effect(self):
        self.assertTrue(self.offer(1))
        self.assertEqual(self.version(), 1)

    def test_record_after_a_possible_gap_is_rejected(self):
        self.assertFalse(self.offer(3))
        self.assertEqual(self.version(), 0)

    def test_record_without_unread_predecessors_is_accepted(self):
        self.assertTrue(self.offer(3, after=0))
        self.assertEqual(self.version(), 3)

    def test_record_after_a_missing_record_is_rejected(self):
        self.assertFalse(self.offer(3, after=2))
        self.assertEqual(self.version(), 0)

    def test_rereading_an_offered_record_changes_nothing(self):
        self.offer(1)
        self.settings.apply_page(page(1, 0, 20)).get()
        self.assertEqual(self.feed.versions, [0, 1])


class TestAddressInUse(TestCase):
    """
    An agent that can't bind its address exits with an error message.
    """

    def test_agent_reports_address_in_use_and_exits_with_1(self):
        with socket.create_server(('127.0.0.1', 0)) as listener:
            address = f'127.0.0.1:{listener.getsockname()[1]}'
            options = {
                '--host': 'host-0',
                '--availability-zone': 'a',
                '--listen': address,
                '--admin': '127.0.0.1:0',
                '--feed': '127.0.0.1:0',
                '--log': '127.0.0.1:1',
                '--host-list': '127.0.0.1:1',
                '--peer-keys': '1:6d616c6c6f77',
            }
            flags = [word for pair in options.items() for word in pair]
            run = subprocess.run(
                [sys.executable, '-m', 'mallowcrank', 'agent', *flags],
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
                check=False,
            )
        self.assertEqual(run.returncode, 1, run.stderr)
        self.assertIn('mallowcrank-agent: ', run.stderr)
        self.assertIn('Address already in use', run.stderr)
