"""
Tests the stand-ins of the platform and their fault injection.

Guards against faults that affect the wrong calls, last too long or are
miscounted, wrong retention or rate limits of the log, and a host list whose
changes show without the configured lag.
"""

import json
from unittest import TestCase

from mallowcrank.clock import FakeClock
from mallowcrank.standins.faults import Fault, FaultOrder, Faults
from mallowcrank.standins.host_list import HostList
from mallowcrank.standins.log_service import LogService
from mallowcrank.standins.settings import (
    HostListSettings,
    LogSettings,
    StandinSettings,
)
from mallowcrank.web import Request

STANDIN_SETTINGS = StandinSettings('standin', '127.0.0.1:0')


def post(path, payload, peer='1.1.1.1:5'):
    return Request('POST', path, body=json.dumps(payload).encode(), peer=peer)


def get(path, peer='1.1.1.1:5', offset='0'):
    return Request('GET', path, {'from': offset}, peer=peer)


class TestLogService(TestCase):
    def setUp(self):
        self.clock = FakeClock()
        settings = LogSettings(
            STANDIN_SETTINGS, retention_records=3, appends_per_s=5
        )
        self.log = LogService(settings, self.clock)
        self.faults = Faults(self.log.answer, self.clock, self.log.apply_fault)

    def append(self, number):
        return self.faults(post('/append', {'id': number, 'type': 'config'}))

    def read_page(self):
        return json.loads(self.faults(get('/records')).body)

    def test_retention_by_count_advances_first_offset(self):
        for number in range(5):
            self.append(number)
        page = self.read_page()
        self.assertEqual((page['first'], page['next']), (2, 5))
        self.assertEqual(page['records'][0]['body']['id'], 2)

    def test_retention_by_age_deletes_old_records(self):
        self.append(1)
        self.clock.advance(4000)
        self.assertEqual(self.read_page()['first'], 1)

    def test_appends_over_the_rate_limit_are_refused(self):
        statuses = [self.append(number).status for number in range(6)]
        self.assertEqual(statuses, [200, 200, 200, 200, 200, 429])
        self.clock.advance(1)
        self.assertEqual(self.append(7).status, 200)

    def test_lost_answer_keeps_the_appended_record(self):
        self.faults.apply(FaultOrder(Fault.LOSE_ANSWER, count=1))
        with self.assertRaises(OSError):
            self.append('a')
        self.assertEqual(self.read_page()['records'][0]['body']['id'], 'a')

    def test_outage_begins_after_matching_append(self):
        self.faults.apply(FaultOrder(Fault.OUTAGE, seconds=3, after='"config"'))
        self.assertEqual(self.read_page()['next'], 0)
        statuses = [self.append(number).status for number in range(2)]
        self.assertEqual(statuses, [200, 503])
        self.clock.advance(3)
        self.assertEqual(self.read_page()['next'], 1)

    def test_outage_answers_only_counted_waiting_reads(self):
        statuses = []

        def handle_during_outage(request):
            # Two reads are waiting when the outage begins.
            if request.peer == 'first':
                statuses.append(self.faults(get('/records', 'second')).status)
            else:
                self.faults.apply(FaultOrder(Fault.OUTAGE, count=1))
            return self.log.answer(request)

        self.faults = Faults(
            handle_during_outage, self.clock, self.log.apply_fault
        )
        statuses.append(self.faults(get('/records', 'first')).status)
        self.assertEqual(statuses, [200, 503])

    def test_fault_counts_the_calls_that_it_affects(self):
        self.faults.apply(FaultOrder(Fault.DELAY, seconds=2, count=2))
        before = self.clock.steady()
        for number in range(3):
            self.append(number)
        self.assertEqual(self.clock.steady(), before + 4)
        counts = json.loads(self.faults(get('/control')).body)
        self.assertEqual(counts['struck'], {'delay': 2})

    def test_outage_ends_after_its_duration(self):
        self.faults.apply(FaultOrder(Fault.OUTAGE, seconds=3))
        self.assertEqual(self.append(1).status, 503)
        self.clock.advance(3)
        self.assertEqual(self.append(1).status, 200)

    def test_forget_deletes_records_before_offset(self):
        self.append(1)
        self.append(2)
        self.faults(post('/control', {'fault': 'forget', 'offset': 1}))
        self.assertEqual(self.read_page()['first'], 1)

    def test_silence_affects_only_open_connections(self):
        self.faults(get('/records', peer='1.1.1.1:5'))
        self.faults.apply(FaultOrder(Fault.SILENCE))
        with self.assertRaises(OSError):
            self.faults(get('/records', peer='1.1.1.1:5'))
        self.assertEqual(self.faults(get('/records', peer='2:2')).status, 200)

    def test_unknown_fault_is_refused(self):
        answer = self.faults(post('/control', {'fault': 'fire'}))
        self.assertEqual(answer.status, 400)


class TestHostList(TestCase):
    def test_leaving_host_is_listed_after_lag(self):
        clock = FakeClock()
        host_list = HostList(HostListSettings(STANDIN_SETTINGS, lag_s=2), clock)
        host = {
            'name': 'e1',
            'address': '127.0.0.1:9100',
            'availability_zone': 'a',
            'kind': 'engine',
        }
        host_list.answer(post('/register', host))
        clock.advance(3)
        host_list.answer(post('/leave', host))
        self.assertEqual(self.read_leaving(host_list), [False])
        clock.advance(2)
        self.assertEqual(self.read_leaving(host_list), [True])

    def read_leaving(self, host_list):
        listed = json.loads(host_list.answer(get('/hosts')).body)['hosts']
        return [each['leaving'] for each in listed]
