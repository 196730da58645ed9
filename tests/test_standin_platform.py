"""
The platform's stand-ins and their faults.
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

ON = StandinSettings('standin', '127.0.0.1:0')


def post(path, payload, peer='1.1.1.1:5'):
    return Request('POST', path, body=json.dumps(payload).encode(), peer=peer)


def get(path, peer='1.1.1.1:5', offset='0'):
    return Request('GET', path, {'from': offset}, peer=peer)


class TestLog(TestCase):
    def setUp(self):
        self.clock = FakeClock()
        settings = LogSettings(ON, retention_records=3, appends_per_s=5)
        self.log = LogService(settings, self.clock)
        self.faults = Faults(self.log.answer, self.clock, self.log.apply_fault)

    def append(self, number):
        return self.faults(post('/append', {'id': number, 'type': 'config'}))

    def page(self):
        return json.loads(self.faults(get('/records')).body)

    def test_retention_by_count_moves_the_first_offset(self):
        for number in range(5):
            self.append(number)
        page = self.page()
        self.assertEqual((page['first'], page['next']), (2, 5))
        self.assertEqual(page['records'][0]['body']['id'], 2)

    def test_retention_by_age(self):
        self.append(1)
        self.clock.advance(4000)
        self.assertEqual(self.page()['first'], 1)

    def test_rate_limit(self):
        statuses = [self.append(number).status for number in range(6)]
        self.assertEqual(statuses, [200, 200, 200, 200, 200, 429])
        self.clock.advance(1)
        self.assertEqual(self.append(7).status, 200)

    def test_lost_answer_after_the_append_took_effect(self):
        self.faults.apply(FaultOrder(Fault.LOSE_ANSWER, count=1))
        with self.assertRaises(OSError):
            self.append('a')
        self.assertEqual(self.page()['records'][0]['body']['id'], 'a')

    def test_outage_that_begins_right_after_a_change_was_accepted(self):
        self.faults.apply(FaultOrder(Fault.OUTAGE, seconds=3, after='"config"'))
        self.assertEqual(self.page()['next'], 0)
        statuses = [self.append(number).status for number in range(2)]
        self.assertEqual(statuses, [200, 503])
        self.clock.advance(3)
        self.assertEqual(self.page()['next'], 1)

    def test_outage_cuts_waiting_reads_but_for_one(self):
        statuses = []

        def wait(request):
            # Two reads wait when the outage begins.
            if request.peer == 'first':
                statuses.append(self.faults(get('/records', 'second')).status)
            else:
                self.faults.apply(FaultOrder(Fault.OUTAGE, count=1))
            return self.log.answer(request)

        self.faults = Faults(wait, self.clock, self.log.apply_fault)
        statuses.append(self.faults(get('/records', 'first')).status)
        self.assertEqual(statuses, [200, 503])

    def test_fault_is_counted_by_what_it_strikes(self):
        self.faults.apply(FaultOrder(Fault.DELAY, seconds=2, count=2))
        before = self.clock.steady()
        for number in range(3):
            self.append(number)
        self.assertEqual(self.clock.steady(), before + 4)
        counts = json.loads(self.faults(get('/control')).body)
        self.assertEqual(counts['struck'], {'delay': 2})

    def test_outage_ends(self):
        self.faults.apply(FaultOrder(Fault.OUTAGE, seconds=3))
        self.assertEqual(self.append(1).status, 503)
        self.clock.advance(3)
        self.assertEqual(self.append(1).status, 200)

    def test_forgotten_records_are_gone(self):
        self.append(1)
        self.append(2)
        self.faults(post('/control', {'fault': 'forget', 'offset': 1}))
        self.assertEqual(self.page()['first'], 1)

    def test_open_connections_go_silent_and_new_ones_work(self):
        self.faults(get('/records', peer='1.1.1.1:5'))
        self.faults.apply(FaultOrder(Fault.SILENCE))
        with self.assertRaises(OSError):
            self.faults(get('/records', peer='1.1.1.1:5'))
        self.assertEqual(self.faults(get('/records', peer='2:2')).status, 200)

    def test_unknown_fault_is_refused(self):
        answer = self.faults(post('/control', {'fault': 'fire'}))
        self.assertEqual(answer.status, 400)


class TestHostList(TestCase):
    def test_list_lags(self):
        clock = FakeClock()
        hosts = HostList(HostListSettings(ON, lag_s=2), clock)
        host = {
            'name': 'e1',
            'address': '127.0.0.1:9100',
            'availability_zone': 'a',
            'kind': 'engine',
        }
        hosts.answer(post('/register', host))
        clock.advance(3)
        hosts.answer(post('/leave', host))
        self.assertEqual(self.read_leaving(hosts), [False])
        clock.advance(2)
        self.assertEqual(self.read_leaving(hosts), [True])

    def read_leaving(self, hosts):
        listed = json.loads(hosts.answer(get('/hosts')).body)['hosts']
        return [each['leaving'] for each in listed]
