"""
What a gateway believes: targets, desired state, other gateways.
"""

import asyncio
import json
import os
from random import Random
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import Mock, patch

from mallowcrank.chains.memory import MemoryLedger
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.directory import fronts_for
from mallowcrank.gateway.duty import Duty, takes_over
from mallowcrank.gateway.fleet import LAPSE_S, Fleet
from mallowcrank.gateway.followers import (
    DesiredFollower,
    KnownDesired,
    TargetsFollower,
)
from mallowcrank.gateway.gossip import Gossip
from mallowcrank.gateway.journal import Importance, Journal
from mallowcrank.gateway.peers import Word, pack_word, read_word
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.store_client import StoreFailure, StoreResponse
from mallowcrank.gateway.targets import HeldLayers, Lifetime
from mallowcrank.platform.entries import read_entry
from mallowcrank.platform.standins.bodies import desired_body, entry_body
from mallowcrank.platform.vocabulary import platform_vocabulary
from tests.utils.platform_pages import newest_page, read_page

VOCABULARY = platform_vocabulary()


def quiet_journal():
    return Journal('test', os.open(os.devnull, os.O_WRONLY))


def entry(**changes):
    return json.dumps(entry_body(**changes)).encode()


def raw_desired(version):
    return json.dumps(desired_body(version=version)).encode()


class TestFleet(TestCase):
    def setUp(self):
        self.fleet = Fleet(quiet_journal())

    def take(self, identity='i-1', now=0, **changes):
        raw = entry(**changes)
        self.fleet.take_entry(read_entry(identity, raw), raw, now)

    def test_a_leaving_target_gets_no_new_work(self):
        self.take()
        self.assertEqual(len(self.fleet.serving('stock')), 1)
        self.take(state='draining')
        self.assertEqual(self.fleet.serving('stock'), [])
        self.assertEqual(len(self.fleet.known('stock')), 1)

    def test_an_address_that_is_taken_over_belongs_to_the_new_target(self):
        self.take('i-1')
        self.take('i-2', now=3)
        self.assertIsNone(self.fleet.find('i-1'))
        self.assertIsNotNone(self.fleet.find('i-2'))

    def test_the_entry_of_a_displaced_target_is_passed_over(self):
        self.take('i-1')
        self.take('i-2', now=3)
        self.take('i-1', now=4)
        self.assertIsNone(self.fleet.find('i-1'))
        self.take('i-1', now=5, sequence=99)
        self.assertIsNotNone(self.fleet.find('i-1'))
        self.assertIsNone(self.fleet.find('i-2'))

    def test_a_displaced_target_is_forgotten_with_its_entry(self):
        self.take('i-1')
        self.take('i-2', now=3)
        self.fleet.take_all(['i-2'], now=4)
        self.take('i-1', now=5)
        self.assertIsNotNone(self.fleet.find('i-1'))

    def test_an_entry_that_is_gone_for_sure_drops_its_target(self):
        self.take()
        self.fleet.take_removal('i-1', now=1, is_sure=True)
        self.assertIsNone(self.fleet.find('i-1'))

    def test_an_entry_that_lapsed_may_come_back(self):
        self.take()
        self.fleet.take_removal('i-1', now=1, is_sure=False)
        self.fleet.drop_lapsed(1 + LAPSE_S - 0.1)
        self.assertIsNotNone(self.fleet.find('i-1'))
        self.take(now=2)
        self.fleet.drop_lapsed(10)
        self.assertIsNotNone(self.fleet.find('i-1'))

    def test_an_entry_that_does_not_come_back_is_gone(self):
        self.take()
        self.fleet.take_removal('i-1', now=1, is_sure=False)
        self.fleet.take_removal('i-1', now=2, is_sure=False)
        self.fleet.drop_lapsed(1 + LAPSE_S + 0.1)
        self.assertIsNone(self.fleet.find('i-1'))

    def test_a_new_lifetime_starts_without_a_past(self):
        self.take(born=1)
        old = Lifetime('i-1', 1)
        self.fleet.seen.see_dead(old, 'test', 0)
        self.fleet.seen.see_refusal(old, 0)
        self.take(born=2)
        self.assertNotIn(old, self.fleet.seen.dead())
        self.assertEqual(self.fleet.seen.resting(0.1), [])
        self.assertEqual(self.fleet.find('i-1').lifetime, Lifetime('i-1', 2))

    def test_an_address_that_is_used_again_names_the_new_target(self):
        self.take('i-1')
        self.fleet.take_removal('i-1', now=1, is_sure=True)
        self.take('i-2', service='other')
        found = self.fleet.at('10.128.0.9:8080')
        self.assertEqual(found.identity, 'i-2')

    def test_layers_that_a_target_tells_go_before_an_older_entry(self):
        moved = HeldLayers(8, 16, 1)
        self.take(layers={'source': 0, 'to': 8, 'version': 1})
        self.fleet.learn_layers('i-1', moved, now=1)
        self.take(now=2, layers={'source': 0, 'to': 8, 'version': 1})
        self.assertEqual(self.fleet.find('i-1').layers, moved)
        self.take(now=9, layers={'source': 0, 'to': 8, 'version': 1})
        self.assertEqual(self.fleet.find('i-1').layers, HeldLayers(0, 8, 1))

    def test_what_others_tell_of_layers_does_not_go_round(self):
        mine = HeldLayers(8, 16, 1)
        self.take(layers={'source': 0, 'to': 8, 'version': 1})
        self.fleet.learn_layers('i-1', mine, now=1)
        theirs = HeldLayers(0, 8, 1)
        self.fleet.learn_layers('i-1', theirs, now=1.1, told_me=False)
        self.assertEqual(self.fleet.find('i-1').layers, mine)
        self.take('i-2', layers=None, address='10.128.0.10:8080')
        self.fleet.learn_layers('i-2', theirs, now=1, told_me=False)
        self.assertEqual(dict(self.fleet.seen.learned(1.1)), {'i-1': mine})


class TestSightings(TestCase):
    def setUp(self):
        self.seen = Fleet(quiet_journal()).seen
        self.one = Lifetime('i-1', 0)

    def test_a_refusing_target_rests_longer_each_time(self):
        now = 0
        rests = []
        for _ in range(6):
            self.seen.see_refusal(self.one, now)
            start = now
            while self.seen.resting(now):
                now += 0.1
            rests.append(now - start)
        self.assertEqual(rests, sorted(rests))
        self.assertLess(rests[-1], 4.2)
        self.assertTrue(self.seen.is_unwilling(self.one))

    def test_refusals_at_the_same_time_count_once(self):
        for _ in range(20):
            self.seen.see_refusal(self.one, 0)
        self.assertFalse(self.seen.is_unwilling(self.one))

    def test_a_target_that_takes_a_request_is_willing_again(self):
        for now in (0, 1, 3, 8):
            self.seen.see_refusal(self.one, now)
        self.seen.see_taken((self.one,))
        self.assertFalse(self.seen.is_unwilling(self.one))
        self.assertEqual(self.seen.resting(8), [])

    def test_a_pace_that_others_tell_is_believed_while_it_is_told(self):
        self.seen.see_alive(self.one, 1, 0)
        self.seen.hear_pace(self.one, 5, 0)
        self.assertEqual(self.seen.pace(self.one, 0.5), 5)
        self.assertEqual(self.seen.pace(self.one, 2), 1)

    def test_an_answer_ends_a_silence(self):
        self.seen.see_dead(self.one, 'test', 0)
        self.assertIn(self.one, self.seen.dead())
        self.seen.see_alive(self.one, 1, 1)
        self.assertNotIn(self.one, self.seen.dead())


class TestKnownDesired(TestCase):
    def test_it_never_goes_back(self):
        known = KnownDesired(VOCABULARY, quiet_journal())
        for version, in_force in ((5, 5), (9, 9), (7, 9), (12, 12), (1, 12)):
            known.take(raw_desired(version), 'test')
            self.assertEqual(known.version, in_force)

    def test_what_cannot_be_read_changes_nothing(self):
        known = KnownDesired(VOCABULARY, quiet_journal())
        known.take(raw_desired(5), 'test')
        known.take(b'{"version": 9', 'test')
        self.assertEqual(known.version, 5)


class FakeLink:
    """
    Gives the answers that a test lays out.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.recovered_at = -100
        self.unavailable_since = None

    async def call(self, name, call, wait_s=0):
        self.calls.append(call.path)
        return self.answers.pop(0)


class TestFollowers(IsolatedAsyncioTestCase):
    def setUp(self):
        self.fleet = Fleet(quiet_journal())

    def targets(self, *answers):
        self.link = FakeLink(*answers)
        return TargetsFollower(self.fleet, self.link, VOCABULARY, Random(1))

    async def test_entries_are_read_and_followed(self):
        follower = self.targets(
            StoreResponse(200, newest_page(9, {'i-1': entry()})),
            StoreResponse(200, read_page(11, ('i-2', entry()), ('i-1', None))),
        )
        self.assertTrue(await follower.step())
        self.assertTrue(await follower.step())
        self.assertIn('source=9', self.link.calls[1])
        self.assertIsNone(self.fleet.find('i-1'))
        self.assertIsNotNone(self.fleet.find('i-2'))

    async def test_pages_are_read_to_the_last(self):
        first = newest_page(9, {'i-1': entry()}, has_more=True)
        follower = self.targets(
            StoreResponse(200, first),
            StoreResponse(
                200,
                newest_page(9, {'i-2': entry(address='10.128.0.10:8080')}),
            ),
        )
        self.assertTrue(await follower.step())
        self.assertIn('after=i-1', self.link.calls[1])
        self.assertEqual(len(self.fleet), 2)

    async def test_dropped_history_is_read_anew(self):
        follower = self.targets(
            StoreResponse(200, newest_page(9, {'i-1': entry()})),
            StoreResponse(410, b'{"first_offset": 40}'),
            StoreResponse(200, newest_page(50, {'i-2': entry()})),
        )
        for _ in range(3):
            self.assertTrue(await follower.step())
        self.assertIsNotNone(self.fleet.find('i-2'))
        self.fleet.drop_lapsed(monotonic_s() + LAPSE_S + 1)
        self.assertIsNone(self.fleet.find('i-1'))

    async def test_failures_change_nothing(self):
        follower = self.targets(
            StoreResponse(200, newest_page(9, {'i-1': entry()})),
            StoreFailure('silent'),
            StoreResponse(503, b''),
            StoreResponse(429, b''),
            StoreResponse(200, b'cut'),
        )
        self.assertTrue(await follower.step())
        for _ in range(4):
            self.assertFalse(await follower.step())
        self.assertEqual(len(self.fleet), 1)

    async def test_a_malformed_entry_costs_no_other(self):
        page = newest_page(9, {'i-1': b'\xff', 'i-2': entry()})
        follower = self.targets(StoreResponse(200, page))
        self.assertTrue(await follower.step())
        self.assertEqual(len(self.fleet), 1)

    async def test_after_an_outage_entries_may_only_have_lapsed(self):
        follower = self.targets(
            StoreResponse(200, newest_page(9, {'i-1': entry()})),
            StoreResponse(200, read_page(10, ('i-1', None))),
        )
        await follower.step()
        self.link.recovered_at = monotonic_s()
        await follower.step()
        self.assertIsNotNone(self.fleet.find('i-1'))

    async def test_soon_after_an_outage_a_removed_entry_is_gone(self):
        follower = self.targets(
            StoreResponse(200, newest_page(9, {'i-1': entry()})),
            StoreResponse(200, read_page(10, ('i-1', None))),
        )
        await follower.step()
        self.link.recovered_at = monotonic_s() - 2
        await follower.step()
        self.assertIsNone(self.fleet.find('i-1'))

    async def test_only_the_newest_of_many_versions_comes_into_force(self):
        known = KnownDesired(VOCABULARY, quiet_journal())
        pages = read_page(
            12, ('config', raw_desired(8)), ('config', raw_desired(9))
        )
        link = FakeLink(
            StoreResponse(200, newest_page(10, {'config': raw_desired(7)})),
            StoreResponse(200, pages),
            StoreResponse(200, read_page(13, ('else', b'x'))),
        )
        follower = DesiredFollower(known, link, VOCABULARY, Random(1))
        await follower.step()
        self.assertEqual(known.version, 7)
        await follower.step()
        self.assertEqual(known.version, 9)
        await follower.step()
        self.assertIn('source=12', link.calls[2])


def word(host='h1', zone='a', **changes):
    fields = {
        'incarnation': 'x',
        'front': Address('10.0.0.1', 80),
        'gossip': Address('10.0.0.1', 81),
        'peers': Address('10.0.0.1', 82),
        'takes_callers': True,
        'desired_version': 7,
        'holding': 0,
        'reserved': {'i-1': 500},
        'silent': ('i-2',),
        'paces': {'i-3': 4.5},
        'layers': {'i-4': HeldLayers(0, 8, 1)},
    }
    return Word(host=host, zone=zone, **{**fields, **changes})


class TestWords(TestCase):
    def test_a_word_arrives_as_it_was_said(self):
        self.assertEqual(read_word(pack_word(word())), word())

    def test_other_datagrams_are_dropped(self):
        packed = pack_word(word())
        for raw in (b'', b'\x00', packed[:-3], b'\x91\x02', b'\xc1', b'GET /'):
            with self.subTest(raw=raw):
                self.assertIsNone(read_word(raw))

    def test_a_word_to_many_fits_one_datagram(self):
        reserved = {f'i-{number:010}': 1_234_567 for number in range(41)}
        self.assertLess(len(pack_word(word(reserved=reserved))), 1400)


class TestDirectory(TestCase):
    def setUp(self):
        self.regions = {'a': 'r', 'b': 'r', 'c': 's'}
        self.words = [
            word(f'h{number}', zone, front=Address(f'10.0.0.{number}', 80))
            for number, zone in enumerate('aabc')
        ]

    def hosts(self, zone, words=None):
        fronts = fronts_for(zone, self.regions, words or self.words)
        return [front.ip for front in fronts]

    def test_a_caller_gets_the_fronts_of_its_zone(self):
        self.assertEqual(self.hosts('a'), ['10.0.0.0', '10.0.0.1'])

    def test_a_single_front_is_joined_by_the_region(self):
        found = self.hosts('b')
        self.assertEqual(found, ['10.0.0.0', '10.0.0.1', '10.0.0.2'])

    def test_a_lonely_region_gets_all(self):
        self.assertEqual(len(self.hosts('c')), 4)
        self.assertEqual(len(self.hosts('elsewhere')), 4)


class TestTakeover(TestCase):
    def test_the_first_acts_while_the_store_is_away(self):
        others = [word('h2'), word('h3')]
        self.assertTrue(takes_over('h1', others, alone_s=5))
        self.assertFalse(takes_over('h4', others, alone_s=5))

    def test_nobody_takes_over_from_a_known_holder(self):
        others = [word('h2'), word('h3', holding=6)]
        self.assertFalse(takes_over('h1', others, alone_s=5))

    def test_those_that_stop_or_know_nothing_are_passed_over(self):
        others = [word('h1', takes_callers=False), word('h3')]
        self.assertTrue(takes_over('h2', others, alone_s=5))

    def test_the_first_acts_while_no_holder_is_heard(self):
        self.assertEqual(self.acts(heard=3, known=4, alone_s=5), 1)
        self.assertEqual(self.acts(heard=3, known=4, alone_s=0.5), 0)

    def test_one_that_is_cut_off_from_most_does_not_act(self):
        self.assertEqual(self.acts(heard=1, known=7, alone_s=5), 0)
        self.assertEqual(self.acts(heard=3, known=7, alone_s=5), 1)

    def test_word_of_a_holder_ends_the_acting(self):
        gossip = self.gossip(heard=3, known=4)
        gossip.hear(word('h3', holding=6))
        self.assertEqual(gossip.holding, 0)

    def acts(self, heard, known, alone_s):
        gossip = self.gossip(heard, known)
        later = monotonic_s() + alone_s
        with patch(
            'mallowcrank.gateway.gossip.monotonic_s', return_value=later
        ):
            return gossip.holding

    def gossip(self, heard, known):
        peers = Mock()
        peers.live.return_value = [
            Mock(word=word(f'h{number}')) for number in range(2, 2 + heard)
        ]
        peers.count.return_value = known
        return Gossip(
            core=Mock(
                peers=peers,
                settings=Mock(host='h1'),
                fleet=Fleet(quiet_journal()),
            ),
            known=Mock(newest=None, version=3),
            duty=Mock(holding=0),
            incarnation='abcd',
        )

    def test_a_gateway_that_stops_tells_that_it_holds_nothing(self):
        self.assertEqual(self.told(is_stopping=False).holding, 7)
        self.assertEqual(self.told(is_stopping=True).holding, 0)

    def told(self, is_stopping):
        gossip = Gossip(
            core=Mock(fleet=Fleet(quiet_journal()), ledger=MemoryLedger()),
            known=Mock(newest=None, version=3),
            duty=Mock(holding=7),
            incarnation='abcd',
        )
        gossip.is_stopping = is_stopping
        return gossip.word()

    def test_a_short_outage_passes_nothing_on(self):
        self.assertFalse(takes_over('h1', [], alone_s=0.5))


class SteadyLink:
    """
    Answers each call alike, after a turn of the loop.
    """

    unavailable_since = None

    def __init__(self, body):
        self.body = body
        self.names = []

    async def call(self, name, call, wait_s=0):
        self.names.append(name)
        await asyncio.sleep(0)
        return StoreResponse(200, self.body)


class TestDuty(IsolatedAsyncioTestCase):
    def setUp(self):
        body = b'{"generation": 4, "ttl_ms": 3000, "parts": [["t", 0, 0]]}'
        self.link = SteadyLink(body)
        self.duty = Duty(
            settings=Mock(min_lease_s=3),
            member='h1/abcd/10.0.0.1:1',
            link=self.link,
            vocabulary=VOCABULARY,
            peers=Mock(),
            journal=quiet_journal(),
        )

    async def test_the_owner_of_the_first_partition_holds_the_duty(self):
        running = asyncio.create_task(self.duty.run())
        while not self.duty.holding:
            await asyncio.sleep(0)
        self.assertEqual(self.duty.holding, 4)
        running.cancel()

    async def test_a_member_that_leaves_does_not_join_again(self):
        for turns in range(6):
            with self.subTest(turns=turns):
                self.setUp()
                running = asyncio.create_task(self.duty.run())
                for _ in range(turns):
                    await asyncio.sleep(0)
                await self.duty.leave()
                self.assertEqual(self.link.names[-1], 'leave')
                self.assertFalse(await self.duty.renew())
                self.assertEqual(self.link.names[-1], 'leave')
                self.assertEqual(self.duty.holding, 0)
                running.cancel()


class TestJournal(TestCase):
    def setUp(self):
        reader, writer = os.pipe()
        self.reader = reader
        os.set_blocking(writer, False)
        self.journal = Journal('h1', writer)

    def lines(self):
        raw = os.read(self.reader, 1 << 20)
        return [json.loads(line) for line in raw.splitlines()]

    def test_a_line_has_its_fields(self):
        self.journal.say('part: done', request='r1', why='x')
        self.journal.flush()
        line = self.lines()[0]
        self.assertEqual(line['says'], 'part: done')
        self.assertEqual((line['host'], line['request']), ('h1', 'r1'))

    def test_usual_lines_are_dropped_first_and_counted(self):
        for _ in range(3000):
            self.journal.say('request: served', Importance.ROUTINE)
        self.journal.say('request: cut', Importance.FAILURE)
        self.journal.flush()
        lines = self.lines()
        self.assertEqual(lines[-1]['says'], 'request: cut')
        dropped = sum(line.get('dropped_before', 0) for line in lines)
        self.assertEqual(len(lines) + dropped, 3001)
        self.assertGreater(dropped, 1000)

    def test_a_reader_that_takes_nothing_blocks_nothing(self):
        for _ in range(6000):
            self.journal.say('part: done', text='x' * 300)
            self.journal.flush()
        self.assertTrue(self.journal.has_buffered)
        self.assertGreater(len(self.lines()), 100)
