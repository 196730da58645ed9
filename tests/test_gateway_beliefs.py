"""
State of a gateway: targets, desired state, other gateways, leadership, log.
"""

import asyncio
import json
import os
from dataclasses import replace
from math import inf
from random import Random
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import Mock, patch

import msgpack

from mallowcrank.chains.crash_evidence import Trait
from mallowcrank.chains.memory import MemoryLedger
from mallowcrank.gateway.assignment import HostAssignment
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.datagrams import (
    GatewayStatus,
    pack_status,
    read_status,
)
from mallowcrank.gateway.desired_status import DesiredStatus
from mallowcrank.gateway.directory import fronts_for
from mallowcrank.gateway.entries_status import (
    EntriesSnapshot,
    EntriesStatus,
    pack_snapshot,
    read_snapshot,
)
from mallowcrank.gateway.fleet import LAPSED_ENTRY_GRACE_S, Fleet
from mallowcrank.gateway.followers import DesiredFollower
from mallowcrank.gateway.gossip import Gossip
from mallowcrank.gateway.journal import Importance, Journal
from mallowcrank.gateway.latest_desired import LatestDesired
from mallowcrank.gateway.leadership import (
    RENEWAL_INTERVAL_S,
    SPARE_LEASE_S,
    SPARE_RENEWAL_INTERVAL_S,
    Leadership,
    should_take_over,
)
from mallowcrank.gateway.ports import HttpCall, LogPosition
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.status_parts import (
    AnsweredTrait,
    LostReport,
    SuspectsReport,
)
from mallowcrank.gateway.store_client import (
    StoreClient,
    StoreFailure,
    StoreResponse,
)
from mallowcrank.gateway.target_channel import (
    ChannelPool,
    Response,
    ResponseHead,
)
from mallowcrank.gateway.targets import HeldLayers, Lifetime
from mallowcrank.gateway.targets_follower import TargetsFollower
from mallowcrank.platform.entries import read_entry
from mallowcrank.platform.standins.bodies import (
    desired_body,
    entry_body,
    route_row,
)
from mallowcrank.platform.vocabulary import platform_vocabulary
from tests.utils.platform_pages import newest_page, read_page

VOCABULARY = platform_vocabulary()
PART = Trait('model', '5c1e07a2')
WHOLE = Trait('model', 'd1', is_whole=True)
SUSPECTS_REPORT = SuspectsReport(
    lost=(LostReport('r1', Lifetime('i-1', 7), 2.5, 0.5, (PART, WHOLE)),),
    answered=(AnsweredTrait(PART, 0.25),),
    confirmed=(PART,),
)


def quiet_journal():
    return Journal('test', os.open(os.devnull, os.O_WRONLY))


def entry(**changes):
    return json.dumps(entry_body(**changes)).encode()


def raw_desired(version):
    return json.dumps(desired_body(version=version)).encode()


class TestFleet(TestCase):
    def setUp(self):
        self.fleet = Fleet(quiet_journal())

    def apply(self, identity='i-1', now=0, may_be_outdated=False, **changes):
        raw = entry(**changes)
        self.fleet.apply_entry(
            read_entry(identity, raw), raw, now, may_be_outdated
        )

    def test_leaving_target_accepts_no_new_work(self):
        self.apply()
        self.assertEqual(len(self.fleet.accepting_targets('stock')), 1)
        self.apply(state='draining')
        self.assertEqual(self.fleet.accepting_targets('stock'), [])
        self.assertEqual(len(self.fleet.all_targets('stock')), 1)

    def test_outdated_entry_brings_back_no_target_that_left(self):
        for state in ('draining', 'ready'):
            with self.subTest(state=state):
                self.setUp()
                self.apply(state=state, sequence=6)
                self.fleet.apply_removal('i-1', since=1, is_confirmed=True)
                self.apply(now=2, sequence=5, may_be_outdated=True)
                self.apply(now=2, sequence=6, may_be_outdated=True)
                self.assertIsNone(self.fleet.find('i-1'))

    def test_outdated_entry_ends_no_leaving(self):
        for sequence in (5, 6):
            self.apply(state='draining', sequence=6)
            self.apply(now=1, sequence=sequence, may_be_outdated=True)
            self.assertTrue(self.fleet.find('i-1').leaving)

    def test_target_that_writes_again_is_back(self):
        self.apply(sequence=6)
        self.fleet.apply_removal('i-1', since=1, is_confirmed=True)
        self.apply(now=2, sequence=7, may_be_outdated=True)
        self.assertIsNotNone(self.fleet.find('i-1'))

    def test_new_lifetime_is_no_outdated_entry(self):
        self.apply(sequence=6, born=5)
        self.fleet.apply_removal('i-1', since=1, is_confirmed=True)
        self.apply(now=2, sequence=1, born=6, may_be_outdated=True)
        self.assertIsNotNone(self.fleet.find('i-1'))

    def test_outdated_entry_keeps_a_target_that_lapsed(self):
        self.apply(sequence=6)
        self.fleet.apply_removal('i-1', since=1, is_confirmed=False)
        self.apply(now=2, sequence=5, may_be_outdated=True)
        self.fleet.drop_lapsed(10)
        self.assertIsNotNone(self.fleet.find('i-1'))

    def test_reused_address_removes_the_previous_target(self):
        self.apply('i-1')
        self.apply('i-2', now=3)
        self.assertIsNone(self.fleet.find('i-1'))
        self.assertIsNotNone(self.fleet.find('i-2'))

    def test_unchanged_entry_of_a_displaced_target_is_ignored(self):
        self.apply('i-1')
        self.apply('i-2', now=3)
        self.apply('i-1', now=4)
        self.assertIsNone(self.fleet.find('i-1'))
        self.apply('i-1', now=5, sequence=99)
        self.assertIsNotNone(self.fleet.find('i-1'))
        self.assertIsNone(self.fleet.find('i-2'))

    def test_displaced_target_may_return_after_its_entry_is_gone(self):
        self.apply('i-1')
        self.apply('i-2', now=3)
        self.fleet.apply_missing(['i-2'], since=4, is_confirmed=False)
        self.apply('i-1', now=5)
        self.assertIsNotNone(self.fleet.find('i-1'))

    def test_confirmed_removal_drops_the_target_at_once(self):
        self.apply()
        self.fleet.apply_removal('i-1', since=1, is_confirmed=True)
        self.assertIsNone(self.fleet.find('i-1'))

    def test_lapsed_entry_keeps_its_target_if_it_returns(self):
        self.apply()
        self.fleet.apply_removal('i-1', since=1, is_confirmed=False)
        self.fleet.drop_lapsed(1 + LAPSED_ENTRY_GRACE_S - 0.1)
        self.assertIsNotNone(self.fleet.find('i-1'))
        self.apply(now=2)
        self.fleet.drop_lapsed(10)
        self.assertIsNotNone(self.fleet.find('i-1'))

    def test_lapsed_entry_drops_its_target_after_the_grace_period(self):
        self.apply()
        self.fleet.apply_removal('i-1', since=1, is_confirmed=False)
        self.fleet.apply_removal('i-1', since=2, is_confirmed=False)
        self.fleet.drop_lapsed(1 + LAPSED_ENTRY_GRACE_S + 0.1)
        self.assertIsNone(self.fleet.find('i-1'))

    def test_new_lifetime_has_no_health_records_of_the_old_one(self):
        self.apply(born=1)
        old = Lifetime('i-1', 1)
        self.fleet.health.record_silence(old, 'test', 0)
        self.fleet.health.record_refusal(old, 0)
        self.apply(born=2)
        self.assertNotIn(old, self.fleet.health.unresponsive())
        self.assertEqual(self.fleet.health.backing_off(0.1), [])
        self.assertEqual(self.fleet.find('i-1').lifetime, Lifetime('i-1', 2))

    def test_reused_address_is_found_as_the_new_target(self):
        self.apply('i-1')
        self.fleet.apply_removal('i-1', since=1, is_confirmed=True)
        self.apply('i-2', service='other')
        found = self.fleet.find_by_address('10.128.0.9:8080')
        self.assertEqual(found.identity, 'i-2')

    def test_reported_layers_override_an_older_entry(self):
        moved = HeldLayers(8, 16, 1)
        self.apply(layers={'source': 0, 'to': 8, 'version': 1})
        self.fleet.update_layers('i-1', moved, now=1)
        self.apply(now=2, layers={'source': 0, 'to': 8, 'version': 1})
        self.assertEqual(self.fleet.find('i-1').layers, moved)
        self.apply(now=9, layers={'source': 0, 'to': 8, 'version': 1})
        self.assertEqual(self.fleet.find('i-1').layers, HeldLayers(0, 8, 1))

    def test_layers_from_other_gateways_neither_override_nor_spread(self):
        mine = HeldLayers(8, 16, 1)
        self.apply(layers={'source': 0, 'to': 8, 'version': 1})
        self.fleet.update_layers('i-1', mine, now=1)
        theirs = HeldLayers(0, 8, 1)
        self.fleet.update_layers('i-1', theirs, now=1.1, is_direct=False)
        self.assertEqual(self.fleet.find('i-1').layers, mine)
        self.apply('i-2', layers=None, address='10.128.0.10:8080')
        self.fleet.update_layers('i-2', theirs, now=1, is_direct=False)
        self.assertEqual(
            dict(self.fleet.health.reported_layers(1.1)), {'i-1': mine}
        )


class TestTargetHealth(TestCase):
    def setUp(self):
        self.target_health = Fleet(quiet_journal()).health
        self.lifetime = Lifetime('i-1', 0)

    def test_backoff_grows_with_each_refusal(self):
        now = 0
        backoffs = []
        for _ in range(6):
            self.target_health.record_refusal(self.lifetime, now)
            start = now
            while self.target_health.backing_off(now):
                now += 0.1
            backoffs.append(now - start)
        self.assertEqual(backoffs, sorted(backoffs))
        self.assertLess(backoffs[-1], 4.2)
        self.assertTrue(self.target_health.refuses_repeatedly(self.lifetime))

    def test_simultaneous_refusals_count_once(self):
        for _ in range(20):
            self.target_health.record_refusal(self.lifetime, 0)
        self.assertFalse(self.target_health.refuses_repeatedly(self.lifetime))

    def test_accepted_request_ends_the_refusals(self):
        for now in (0, 1, 3, 8):
            self.target_health.record_refusal(self.lifetime, now)
        self.target_health.record_acceptance((self.lifetime,))
        self.assertFalse(self.target_health.refuses_repeatedly(self.lifetime))
        self.assertEqual(self.target_health.backing_off(8), [])

    def test_pace_from_another_gateway_expires(self):
        self.target_health.record_answer(self.lifetime, 1, 0)
        self.target_health.record_peer_pace(self.lifetime, 5, valid_until=1)
        self.assertEqual(self.target_health.pace(self.lifetime, 0.5), 5)
        self.assertEqual(self.target_health.pace(self.lifetime, 2), 1)

    def test_answer_ends_unresponsiveness(self):
        self.target_health.record_silence(self.lifetime, 'test', 0)
        self.assertIn(self.lifetime, self.target_health.unresponsive())
        self.target_health.record_answer(self.lifetime, 1, 1)
        self.assertNotIn(self.lifetime, self.target_health.unresponsive())


class TestLatestDesired(TestCase):
    def test_version_never_decreases(self):
        known = LatestDesired(VOCABULARY, quiet_journal(), Mock())
        for version, in_force in ((5, 5), (9, 9), (7, 9), (12, 12), (1, 12)):
            known.update(raw_desired(version), 'test')
            self.assertEqual(known.version, in_force)

    def test_unreadable_state_is_ignored(self):
        known = LatestDesired(VOCABULARY, quiet_journal(), Mock())
        known.update(raw_desired(5), 'test')
        known.update(b'{"version": 9', 'test')
        self.assertEqual(known.version, 5)

    def test_state_that_cannot_work_is_ignored(self):
        known = LatestDesired(VOCABULARY, quiet_journal(), Mock())
        known.update(raw_desired(5), 'test')
        without_weight = [{'service': 'stock', 'weight': 0}]
        for routes in (
            [route_row('a', service='gone')],
            [route_row('a', traffic_split=without_weight)],
            [route_row('a'), route_row('a', hostname='else.example')],
            [route_row('a'), route_row('b', path_prefix='/a/')],
        ):
            with self.subTest(routes=routes):
                body = desired_body(version=9, routes=routes)
                self.assertFalse(known.update(json.dumps(body).encode(), 'x'))
                self.assertEqual(known.version, 5)


class FakeLink:
    """
    Store link that returns prepared answers.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.recovered_at = -100
        self.era_changed_at = -inf
        self.era = 0
        self.unavailable_since = None

    async def call(self, name, call, wait_s=0):
        self.calls.append(call.path)
        return self.answers.pop(0)


class TestFollowers(IsolatedAsyncioTestCase):
    def setUp(self):
        self.fleet = Fleet(quiet_journal())

    def make_follower(self, *answers):
        self.link = FakeLink(*answers)
        self.peers = Mock()
        self.peers.live.return_value = []
        core = Mock(
            fleet=self.fleet,
            vocabulary=VOCABULARY,
            random=Random(1),
            journal=quiet_journal(),
            peers=self.peers,
            settings=Mock(bounds=Mock(drain_s=2)),
        )
        return TargetsFollower(core, self.link)

    def make_follower_of_a_removal(self):
        return self.make_follower(
            StoreResponse(200, newest_page(9, {'i-1': entry()})),
            StoreResponse(200, read_page(10, ('i-1', None))),
        )

    def report_reads(self, *seconds):
        """
        Let other gateways say for how long they have read the entries.
        """
        statuses = [
            make_status(entries=EntriesStatus(LogPosition(0, 9), read_for_s))
            for read_for_s in seconds
        ]
        self.peers.live.return_value = [
            Mock(last_status=status) for status in (make_status(), *statuses)
        ]

    async def test_entries_are_read_and_followed(self):
        follower = self.make_follower(
            StoreResponse(200, newest_page(9, {'i-1': entry()})),
            StoreResponse(200, read_page(11, ('i-2', entry()), ('i-1', None))),
        )
        self.assertTrue(await follower.step())
        self.assertTrue(await follower.step())
        self.assertIn('source=9', self.link.calls[1])
        self.assertIsNone(self.fleet.find('i-1'))
        self.assertIsNotNone(self.fleet.find('i-2'))

    async def test_all_pages_are_read(self):
        first = newest_page(9, {'i-1': entry()}, has_more=True)
        follower = self.make_follower(
            StoreResponse(200, first),
            StoreResponse(
                200,
                newest_page(9, {'i-2': entry(address='10.128.0.10:8080')}),
            ),
        )
        self.assertTrue(await follower.step())
        self.assertIn('after=i-1', self.link.calls[1])
        self.assertEqual(len(self.fleet), 2)

    async def test_record_written_between_two_pages_is_read(self):
        follower = self.make_follower(
            StoreResponse(200, newest_page(9, {'i-2': entry()}, has_more=True)),
            StoreResponse(200, newest_page(10, {})),
            StoreResponse(200, read_page(10, ('i-1', entry()))),
        )
        for _ in range(2):
            self.assertTrue(await follower.step())
        self.assertIn('source=9', self.link.calls[2])

    async def test_pages_of_two_eras_are_no_view(self):
        follower = self.make_follower(
            StoreResponse(
                200, newest_page(9, {'i-1': entry()}, has_more=True), era=1
            ),
            StoreResponse(200, newest_page(9, {'i-2': entry()}), era=2),
        )
        self.assertFalse(await follower.step())
        self.assertEqual(len(self.fleet), 0)

    async def test_deleted_history_is_read_again_from_the_newest(self):
        follower = self.make_follower(
            StoreResponse(200, newest_page(9, {'i-1': entry()})),
            StoreResponse(410, b'{"first_offset": 40}'),
            StoreResponse(200, newest_page(50, {'i-2': entry()})),
        )
        for _ in range(2):
            self.assertTrue(await follower.step())
        self.assertIsNotNone(self.fleet.find('i-2'))
        self.fleet.drop_lapsed(monotonic_s() + LAPSED_ENTRY_GRACE_S + 1)
        self.assertIsNone(self.fleet.find('i-1'))

    async def test_position_of_another_era_is_not_read_on(self):
        follower = self.make_follower(
            StoreResponse(200, newest_page(9, {'i-1': entry()}), era=1),
            StoreResponse(200, read_page(12, ('i-1', None)), era=2),
            StoreResponse(200, newest_page(11, {'i-1': entry()}), era=2),
            StoreResponse(200, read_page(12, ('i-2', entry())), era=2),
        )
        for _ in range(3):
            self.assertTrue(await follower.step())
        self.assertIn('log-newest', self.link.calls[2])
        self.assertIn('source=11', self.link.calls[3])
        self.assertEqual(follower.position, (2, 12))

    async def test_lapsed_entries_of_a_snapshot_lapse(self):
        follower = self.make_follower(
            StoreResponse(200, newest_page(9, {'i-1': entry()}))
        )
        await follower.step()
        snapshot = EntriesSnapshot(
            LogPosition(0, 12),
            {'i-1': entry(), 'i-2': entry(address='10.128.0.10:8080')},
            {'i-2': 1},
        )
        packed = pack_snapshot(snapshot)
        self.assertEqual(read_snapshot(packed), snapshot)
        follower.adopt(snapshot)
        self.assertEqual(follower.position, (0, 12))
        self.assertAlmostEqual(monotonic_s() - self.fleet.lapsed['i-2'], 1, 1)
        self.fleet.drop_lapsed(monotonic_s() + 1)
        self.assertIsNone(self.fleet.find('i-2'))
        self.assertIsNotNone(self.fleet.find('i-1'))

    async def test_earlier_snapshot_changes_nothing(self):
        follower = self.make_follower(
            StoreResponse(200, newest_page(9, {'i-1': entry()}), era=2)
        )
        await follower.step()
        for position in (LogPosition(2, 9), LogPosition(1, 90)):
            follower.adopt(EntriesSnapshot(position, {}, {}))
        self.assertIsNotNone(self.fleet.find('i-1'))

    async def test_failed_reads_change_nothing(self):
        follower = self.make_follower(
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

    async def test_malformed_entry_does_not_affect_others(self):
        page = newest_page(9, {'i-1': b'\xff', 'i-2': entry()})
        follower = self.make_follower(StoreResponse(200, page))
        self.assertTrue(await follower.step())
        self.assertEqual(len(self.fleet), 1)

    async def test_removal_is_confirmed_where_others_reached_the_store(self):
        follower = self.make_follower_of_a_removal()
        await follower.step()
        self.link.recovered_at = monotonic_s()
        self.report_reads(0, 30)
        await follower.step()
        self.assertIsNone(self.fleet.find('i-1'))

    async def test_removal_is_unconfirmed_if_no_gateway_reached_the_store(
        self,
    ):
        follower = self.make_follower_of_a_removal()
        await follower.step()
        self.link.recovered_at = monotonic_s()
        self.report_reads(0, 1)
        await follower.step()
        self.assertIsNotNone(self.fleet.find('i-1'))

    async def test_unconfirmed_removal_ends_two_seconds_after_the_outage(self):
        follower = self.make_follower_of_a_removal()
        await follower.step()
        self.link.recovered_at = monotonic_s() - 1.4
        await follower.step()
        self.fleet.drop_lapsed(monotonic_s() + 0.6)
        self.assertIsNone(self.fleet.find('i-1'))

    async def test_missing_entry_is_gone_if_the_store_was_reached(self):
        follower = self.make_follower(
            StoreResponse(200, newest_page(9, {'i-1': entry()})),
            StoreResponse(410, b'{"first_offset": 40}'),
            StoreResponse(200, newest_page(50, {})),
        )
        for _ in range(2):
            await follower.step()
        self.assertIsNone(self.fleet.find('i-1'))

    async def test_removal_right_after_an_outage_is_unconfirmed(self):
        follower = self.make_follower_of_a_removal()
        await follower.step()
        self.link.recovered_at = monotonic_s()
        await follower.step()
        self.assertIsNotNone(self.fleet.find('i-1'))

    async def test_removal_is_confirmed_two_seconds_after_an_outage(self):
        follower = self.make_follower_of_a_removal()
        await follower.step()
        self.link.recovered_at = monotonic_s() - 2
        await follower.step()
        self.assertIsNone(self.fleet.find('i-1'))

    async def test_version_of_a_later_era_replaces_one_of_the_same_number(
        self,
    ):
        known = LatestDesired(VOCABULARY, quiet_journal(), Mock())
        changed = json.dumps(desired_body(version=7, routes=[])).encode()
        known.update(raw_desired(7), 'store', era=1)
        known.update(changed, 'another gateway')
        known.update(changed, 'store', era=1)
        self.assertTrue(known.newest.routes)
        known.update(changed, 'store', era=2)
        self.assertFalse(known.newest.routes)
        known.update(raw_desired(6), 'store', era=3)
        self.assertEqual(known.version, 7)

    async def test_only_the_newest_of_several_versions_applies(self):
        known = LatestDesired(VOCABULARY, quiet_journal(), Mock())
        pages = read_page(
            12, ('config', raw_desired(8)), ('config', raw_desired(9))
        )
        link = FakeLink(
            StoreResponse(200, newest_page(10, {'config': raw_desired(7)})),
            StoreResponse(200, pages),
            StoreResponse(200, read_page(13, ('else', b'x'))),
        )
        follower = DesiredFollower(
            known, link, VOCABULARY, Random(1), quiet_journal()
        )
        await follower.step()
        self.assertEqual(known.version, 7)
        await follower.step()
        self.assertEqual(known.version, 9)
        await follower.step()
        self.assertIn('source=12', link.calls[2])

    async def test_versions_between_are_skipped_by_a_read_of_the_newest(self):
        known = LatestDesired(VOCABULARY, quiet_journal(), Mock())
        link = FakeLink(
            StoreResponse(200, newest_page(10, {'config': raw_desired(7)})),
            StoreResponse(200, read_page(40, ('config', raw_desired(8)))),
            StoreResponse(200, newest_page(40, {'config': raw_desired(30)})),
        )
        follower = DesiredFollower(
            known, link, VOCABULARY, Random(1), quiet_journal()
        )
        for _ in range(2):
            await follower.step()
        self.assertEqual(known.version, 30)
        self.assertEqual(follower.position, (0, 40))


def make_status(host='h1', zone='a', **changes):
    fields = {
        'incarnation': 'x',
        'front': Address('10.0.0.1', 80),
        'gossip': Address('10.0.0.1', 81),
        'peers': Address('10.0.0.1', 82),
        'accepts_callers': True,
        'desired_version': 7,
        'leader_generation': 0,
        'reserved': {'i-1': 500},
        'unresponsive_targets': ('i-2',),
        'paces': {'i-3': 4.5},
        'layers': {'i-4': HeldLayers(0, 8, 1)},
    }
    return GatewayStatus(host=host, zone=zone, **{**fields, **changes})


class TestStoreEras(IsolatedAsyncioTestCase):
    def setUp(self):
        self.headers = []
        self.entered = Mock()
        self.client = StoreClient(
            Address('127.0.0.1', 9), VOCABULARY.store, Mock(), Mock()
        )
        self.client.listen(self.entered)

    async def answer(self, *eras, delay_s=0):
        """
        Make a call whose answer has these eras.
        """

        async def read_response(timeout_s, transfer_s):
            await asyncio.sleep(delay_s)
            headers = tuple((b'Store-Era', era) for era in eras)
            return Response(ResponseHead(200, headers), b'')

        channel = Mock(read_response=read_response)
        with patch.object(ChannelPool, 'take_idle', return_value=channel):
            return await self.client.call('x', HttpCall('GET', '/'))

    async def test_first_era_is_no_change(self):
        self.assertEqual((await self.answer(b'3')).era, 3)
        self.entered.assert_not_called()

    async def test_change_of_the_era_is_announced_once(self):
        await self.answer(b'3')
        self.assertEqual((await self.answer(b'4')).era, 4)
        await self.answer(b'4')
        self.entered.assert_called_once()

    async def test_late_answer_of_an_earlier_era_is_dropped(self):
        await self.answer(b'3')
        late = asyncio.create_task(self.answer(b'3', delay_s=0.05))
        await asyncio.sleep(0.01)
        await self.answer(b'4')
        self.assertEqual(await late, StoreFailure('outdated'))
        self.assertIsNone(self.client.unavailable_since)

    async def test_lower_era_of_a_later_call_is_a_change(self):
        await self.answer(b'3')
        await self.answer(b'4')
        self.assertEqual((await self.answer(b'2')).era, 2)
        self.assertEqual(self.entered.call_count, 2)

    async def test_invalid_era_counts_as_the_last_one(self):
        await self.answer(b'3')
        for eras in ((), (b'x',), (b'3', b'4'), (b'-1',)):
            with self.subTest(eras=eras):
                self.assertEqual((await self.answer(*eras)).era, 3)
        self.entered.assert_not_called()


class TestStatuses(TestCase):
    def test_status_survives_encoding(self):
        for changes in (
            {},
            {'limits': {}},
            {'limits': {}, 'entries': EntriesStatus(LogPosition(2, 70), 1.5)},
            {'suspects': SUSPECTS_REPORT},
            {'is_cut_off': True},
            {'leaving': (Lifetime('i-1', 7),)},
            {'desired': DesiredStatus(3, 0.25)},
            {'desired': DesiredStatus(-1, inf)},
            {'limits': {}, 'suspects': SUSPECTS_REPORT},
        ):
            with self.subTest(changes=changes):
                status = make_status(**changes)
                self.assertEqual(read_status(pack_status(status)), status)

    def test_malformed_report_of_parts_is_ignored(self):
        fields = msgpack.unpackb(
            pack_status(make_status(suspects=SUSPECTS_REPORT))
        )
        for suspects in (
            [],
            7,
            [[], [], [7]],
            [[['r', 'i', 1, -1, 0, []]], [], []],
            [[['r', 'i', 1, 1, 0, [['s', 'p']]]], [], []],
        ):
            with self.subTest(suspects=suspects):
                raw = msgpack.packb([*fields[:-1], suspects])
                self.assertIsNone(read_status(raw))

    def test_status_with_a_negative_position_is_ignored(self):
        entries = EntriesStatus(LogPosition(2, -1), 0)
        raw = pack_status(make_status(limits={}, entries=entries))
        self.assertIsNone(read_status(raw))

    def test_foreign_datagrams_are_ignored(self):
        packed = pack_status(make_status())
        for raw in (b'', b'\x00', packed[:-3], b'\x91\x02', b'\xc1', b'GET /'):
            with self.subTest(raw=raw):
                self.assertIsNone(read_status(raw))

    def test_large_status_fits_one_datagram(self):
        reserved = {f'i-{number:010}': 1_234_567 for number in range(41)}
        self.assertLess(len(pack_status(make_status(reserved=reserved))), 1400)


class TestDirectory(TestCase):
    def setUp(self):
        self.regions = {'a': 'r', 'b': 'r', 'c': 's'}
        self.statuses = [
            make_status(
                f'h{number}', zone, front=Address(f'10.0.0.{number}', 80)
            )
            for number, zone in enumerate('aabc')
        ]

    def hosts(self, zone, statuses=None):
        fronts = fronts_for(zone, self.regions, statuses or self.statuses)
        return [front.ip for front in fronts]

    def test_caller_gets_the_fronts_of_its_zone(self):
        self.assertEqual(self.hosts('a'), ['10.0.0.0', '10.0.0.1'])

    def test_single_front_in_a_zone_is_joined_by_its_region(self):
        found = self.hosts('b')
        self.assertEqual(found, ['10.0.0.0', '10.0.0.1', '10.0.0.2'])

    def test_gateways_without_targets_are_left_out(self):
        cut_off = replace(self.statuses[0], is_cut_off=True)
        found = self.hosts('a', [cut_off, *self.statuses[1:]])
        self.assertNotIn('10.0.0.0', found)

    def test_gateways_without_targets_stay_if_too_few_others_are_there(self):
        cut_off = [
            replace(status, is_cut_off=True) for status in self.statuses[:3]
        ]
        found = self.hosts('a', [*cut_off, self.statuses[3]])
        self.assertEqual(found, ['10.0.0.0', '10.0.0.1'])

    def test_region_with_a_single_front_gets_all(self):
        self.assertEqual(len(self.hosts('c')), 4)
        self.assertEqual(len(self.hosts('elsewhere')), 4)


class TestTakeover(TestCase):
    def test_first_gateway_acts_during_a_store_outage(self):
        others = [make_status('h2'), make_status('h3')]
        self.assertTrue(should_take_over('h1', others, leaderless_s=5))
        self.assertFalse(should_take_over('h4', others, leaderless_s=5))

    def test_no_takeover_from_a_known_leader(self):
        others = [make_status('h2'), make_status('h3', leader_generation=6)]
        self.assertFalse(should_take_over('h1', others, leaderless_s=5))

    def test_gateways_that_accept_no_callers_are_not_candidates(self):
        others = [make_status('h1', accepts_callers=False), make_status('h3')]
        self.assertTrue(should_take_over('h2', others, leaderless_s=5))

    def test_first_gateway_acts_without_a_known_leader(self):
        self.assertEqual(
            self.acting_generation(live_count=3, known_count=4, leaderless_s=5),
            1,
        )
        self.assertEqual(
            self.acting_generation(
                live_count=3, known_count=4, leaderless_s=0.5
            ),
            0,
        )

    def test_gateway_in_a_minority_does_not_act(self):
        self.assertEqual(
            self.acting_generation(live_count=1, known_count=7, leaderless_s=5),
            0,
        )
        self.assertEqual(
            self.acting_generation(live_count=3, known_count=7, leaderless_s=5),
            1,
        )

    def test_status_of_a_leader_ends_the_takeover(self):
        gossip = self.make_gossip(live_count=3, known_count=4)
        gossip.handle_status(make_status('h3', leader_generation=6))
        self.assertEqual(gossip.leader_generation, 0)

    def test_gateway_that_reaches_no_target_does_not_act(self):
        gossip = self.make_gossip(3, 4, is_cut_off=True)
        later = monotonic_s() + 5
        with patch(
            'mallowcrank.gateway.gossip.monotonic_s', return_value=later
        ):
            self.assertEqual(gossip.leader_generation, 0)

    def test_gateways_that_reach_no_target_are_not_candidates(self):
        others = [make_status('h1', is_cut_off=True), make_status('h3')]
        self.assertTrue(should_take_over('h2', others, leaderless_s=5))

    def acting_generation(self, live_count, known_count, leaderless_s):
        gossip = self.make_gossip(live_count, known_count)
        later = monotonic_s() + leaderless_s
        with patch(
            'mallowcrank.gateway.gossip.monotonic_s', return_value=later
        ):
            return gossip.leader_generation

    def make_gossip(self, live_count, known_count, is_cut_off=False):
        peers = Mock()
        peers.live.return_value = [
            Mock(last_status=make_status(f'h{number}'))
            for number in range(2, 2 + live_count)
        ]
        peers.count.return_value = known_count
        peers.liveness_timeout_s = 0.9
        return Gossip(
            core=Mock(
                peers=peers,
                settings=Mock(host='h1'),
                fleet=Fleet(quiet_journal()),
                proxies=Mock(reachability=Mock(is_cut_off=is_cut_off)),
            ),
            desired=Mock(newest=None, version=3),
            targets=Mock(),
            leadership=Mock(leader_generation=0),
            incarnation='abcd',
        )

    def test_cut_off_gateway_reports_no_leadership(self):
        status = self.sent_status(is_stopping=False, is_cut_off=True)
        self.assertEqual(status.leader_generation, 0)
        self.assertTrue(status.is_cut_off)

    def test_stopping_gateway_reports_no_leadership(self):
        self.assertEqual(
            self.sent_status(is_stopping=False).leader_generation, 7
        )
        self.assertEqual(
            self.sent_status(is_stopping=True).leader_generation, 0
        )

    def sent_status(self, is_stopping, is_cut_off=False):
        gossip = Gossip(
            core=Mock(
                fleet=Fleet(quiet_journal()),
                ledger=MemoryLedger(),
                proxies=Mock(reachability=Mock(is_cut_off=is_cut_off)),
            ),
            desired=Mock(newest=None, version=3),
            targets=Mock(),
            leadership=Mock(leader_generation=7),
            incarnation='abcd',
        )
        gossip.is_stopping = is_stopping
        return gossip.own_status()

    def test_short_outage_causes_no_takeover(self):
        self.assertFalse(should_take_over('h1', [], leaderless_s=0.5))


class SteadyLink:
    """
    Store link that gives each call the same answer, after a yield.
    """

    unavailable_since = None
    era = 0

    def __init__(self, body):
        self.body = body
        self.names = []

    async def call(self, name, call, wait_s=0):
        self.names.append(name)
        await asyncio.sleep(0)
        return StoreResponse(200, self.body, self.era)


def membership_body(generation):
    return (
        b'{"generation": %d, "ttl_ms": 3000, "parts": [["t", 0, 0]]}'
        % generation
    )


class TestLeadership(IsolatedAsyncioTestCase):
    def setUp(self):
        self.link = SteadyLink(membership_body(4))
        self.peers = Mock(count=Mock(return_value=3))
        self.peers.live.return_value = [Mock(), Mock()]
        self.leadership = self.make_leadership()

    def make_leadership(self):
        return Leadership(
            settings=Mock(min_lease_s=3),
            member='h1/abcd/10.0.0.1:1',
            link=self.link,
            vocabulary=VOCABULARY,
            peers=self.peers,
            journal=quiet_journal(),
        )

    async def test_members_are_not_read_with_each_change_of_the_group(self):
        await self.renew_in_generations(range(4, 9))
        self.assertEqual(self.link.names.count('owners'), 1)

    async def test_many_gateways_read_the_members_as_often_as_few(self):
        reads_per_s = {}
        for count in (8, 24, 195):
            self.peers.count.return_value = count
            self.peers.live.return_value = [Mock() for _ in range(count)]
            with self.subTest(gateways=count):
                reads = await self.reads_within(600)
                reads_per_s[count] = count * (reads - 1) / 600
        self.assertLessEqual(max(reads_per_s.values()), 0.8)
        self.assertGreater(reads_per_s[195], 0.3)

    async def reads_within(self, seconds):
        """
        Renew each second while the group changes with each renewal.
        """
        self.link.names.clear()
        self.leadership = self.make_leadership()
        now = 1000.0
        with patch('mallowcrank.gateway.leadership.monotonic_s', lambda: now):
            for generation in range(seconds):
                self.link.body = membership_body(generation + 1)
                await self.leadership.renew()
                now += 1
        return self.link.names.count('owners')

    async def test_member_without_a_partition_renews_less_often(self):
        self.link.body = b'{"generation": 4, "ttl_ms": 3000, "parts": []}'
        await self.leadership.renew()
        interval_s = self.leadership.renewal_interval_s
        self.assertEqual(interval_s, SPARE_RENEWAL_INTERVAL_S)
        self.assertGreaterEqual(self.leadership.lease_s, 3 * interval_s)
        self.link.body = membership_body(5)
        await self.leadership.renew()
        self.assertEqual(self.leadership.leader_generation, 5)
        interval_s = self.leadership.renewal_interval_s
        self.assertEqual(interval_s, RENEWAL_INTERVAL_S)
        self.assertLess(self.leadership.lease_s, SPARE_LEASE_S)

    async def test_isolated_gateway_reads_the_members_of_each_generation(self):
        self.peers.live.return_value = []
        await self.renew_in_generations(range(4, 9))
        self.assertEqual(self.link.names.count('owners'), 5)

    async def renew_in_generations(self, generations):
        for generation in generations:
            self.link.body = membership_body(generation)
            await self.leadership.renew()

    async def test_owner_of_the_first_partition_leads(self):
        running = asyncio.create_task(self.leadership.run())
        while not self.leadership.leader_generation:
            await asyncio.sleep(0)
        self.assertEqual(self.leadership.leader_generation, 4)
        running.cancel()

    async def lead_in_era(self, era):
        self.link.era = era
        self.leadership = self.make_leadership()
        await self.leadership.renew()
        self.assertEqual(self.leadership.leader_generation, 4)

    async def test_leader_of_an_earlier_era_steps_down(self):
        for generation in (1, 4):
            await self.lead_in_era(1)
            self.leadership.handle_status(
                make_status(
                    leader_generation=generation,
                    entries=EntriesStatus(LogPosition(2, 0), 0),
                )
            )
            self.assertEqual(self.leadership.leader_generation, 0)

    async def test_leader_of_a_later_era_stays(self):
        await self.lead_in_era(2)
        for era, generation in ((1, 9), (2, 4)):
            self.leadership.handle_status(
                make_status(
                    leader_generation=generation,
                    entries=EntriesStatus(LogPosition(era, 0), 0),
                )
            )
        self.leadership.handle_status(make_status(leader_generation=0))
        self.assertEqual(self.leadership.leader_generation, 4)

    async def test_leaving_member_does_not_join_again(self):
        for turns in range(6):
            with self.subTest(turns=turns):
                self.setUp()
                running = asyncio.create_task(self.leadership.run())
                for _ in range(turns):
                    await asyncio.sleep(0)
                await self.leadership.leave()
                self.assertEqual(self.link.names[-1], 'leave')
                self.assertFalse(await self.leadership.renew())
                self.assertEqual(self.link.names[-1], 'leave')
                self.assertEqual(self.leadership.leader_generation, 0)
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

    def test_line_has_its_fields(self):
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

    def test_blocked_reader_does_not_block_the_gateway(self):
        for _ in range(6000):
            self.journal.say('part: done', text='x' * 300)
            self.journal.flush()
        self.assertTrue(self.journal.has_buffered)
        self.assertGreater(len(self.lines()), 100)


class TestHostAssignment(TestCase):
    def setUp(self):
        self.assignment = HostAssignment()

    def test_one_live_host_probes_a_target(self):
        hosts = ['h1', 'h2', 'h3']
        self.assignment.update_hosts(hosts)
        chosen = {self.assignment.host_for(f'i-{each}') for each in range(50)}
        self.assertEqual(chosen, set(hosts))

    def test_targets_of_a_lost_host_get_another(self):
        self.assignment.update_hosts(['h1', 'h2', 'h3'])
        before = {
            each: self.assignment.host_for(str(each)) for each in range(50)
        }
        self.assignment.update_hosts(['h1', 'h2'])
        for each, host in before.items():
            after = self.assignment.host_for(str(each))
            self.assertIn(after, {'h1', 'h2'} if host == 'h3' else {host})
