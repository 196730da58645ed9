"""
Tests of decoding replicas' entries and reports in the platform's format.
"""

import json
from unittest import TestCase

from mallowcrank.gateway.ports import DecodeFailure
from mallowcrank.gateway.settings import Address
from mallowcrank.gateway.targets import HeldLayers, Lifetime
from mallowcrank.platform.entries import read_entry, read_report
from mallowcrank.platform.standins.bodies import entry_body


def read(**changes):
    return read_entry('i-1', json.dumps(entry_body(**changes)).encode())


class TestEntries(TestCase):
    def test_entry_becomes_a_target(self):
        layers = {'source': 20, 'to': 31, 'version': 2}
        target = read(layers=layers, kind='l4', born=1_700_000_000_123)
        self.assertEqual(target.lifetime, Lifetime('i-1', 1_700_000_000_123))
        self.assertEqual(target.address, Address('10.128.0.9', 8080))
        self.assertEqual(target.layers, HeldLayers(20, 31, 2))
        self.assertFalse(target.leaving)

    def test_draining_replica_is_leaving(self):
        self.assertTrue(read(state='draining').leaving)

    def test_lifetimes_of_one_identity_differ(self):
        self.assertNotEqual(read(born=1).lifetime, read(born=2).lifetime)

    def test_engine_without_layers_has_none(self):
        self.assertIsNone(read(layers=None).layers)
        self.assertIsNone(read(layers={'source': 3, 'to': 3}).layers)

    def test_malformed_entry_is_unreadable(self):
        for changes in (
            {'state': 'asleep'},
            {'state': None},
            {'address': 'nowhere'},
            {'address': '10.0.0.1:http'},
            {'address': 7},
            {'slots': 'many'},
            {'slots': True},
            {'slots': 1.5},
            {'zone': ''},
            {'service': ['stock']},
            {'born': 'yesterday'},
            {'layers': [20, 31]},
            {'layers': {'source': -1, 'to': 5}},
        ):
            with self.subTest(changes=changes):
                self.assertIsInstance(read(**changes), DecodeFailure)

    def test_bytes_other_than_an_object_are_unreadable(self):
        for content in (b'', b'\xff\x00', b'null', b'{"service":'):
            with self.subTest(content=content):
                self.assertIsInstance(read_entry('i-1', content), DecodeFailure)

    def test_report_has_orders_layers_and_stalled_streams(self):
        body = {
            'pace': 3.5,
            'kv_used': 10,
            'kv_total': 90,
            'running': 2,
            'queued': 1,
            'busy': True,
            'sequence': 5,
            'layers': {'source': 0, 'to': 8, 'version': 1},
            'stalled': [{'id': 'r1', 'address': '10.0.0.1:80'}],
        }
        report = read_report('i-1', json.dumps(body).encode())
        self.assertEqual(report.orders, 5)
        self.assertEqual(report.pace, 3.5)
        self.assertEqual(report.stalled, (('r1', '10.0.0.1:80'),))
        self.assertEqual(report.layers, HeldLayers(0, 8, 1))

    def test_malformed_report_is_unreadable(self):
        for body in (b'', b'{"pace": "slow"}', b'{"stalled": [7]}'):
            with self.subTest(body=body):
                self.assertIsInstance(read_report('i-1', body), DecodeFailure)
