"""
Headers between callers, gateways and replicas.
"""

import json
from unittest import TestCase

from mallowcrank.gateway.ports import ForwardFields, Hop
from mallowcrank.gateway.settings import Address
from mallowcrank.platform.exchange import (
    answer_fields,
    caller_fields,
    caller_zone,
    directory_answer,
    target_headers,
)

FORGED = (
    (b'Mallowcrank-Tenant', b'somebody-else'),
    (b'mallowcrank-expect-instance', b'i-9'),
    (b'Mallowcrank-Hop-Count', b'10.0.0.1:1=0-80'),
    (b'Mallowcrank-Request-Priority', b'0'),
    (b'X-Api-Key', b'secret'),
)
SENDING = ForwardFields(
    target='i-1',
    remaining_ms=900,
    workspace='ipoh',
    hops=(
        Hop(Address('10.0.0.1', 80), 0, 20),
        Hop(Address('10.0.0.2', 80), 20, 80),
    ),
)


def sent(headers, sending=SENDING):
    return {
        name.lower(): given for name, given in target_headers(headers, sending)
    }


class TestExchange(TestCase):
    def test_what_a_caller_forges_does_not_pass(self):
        headers = sent(FORGED)
        self.assertEqual(headers[b'mallowcrank-tenant'], b'ipoh')
        self.assertEqual(headers[b'mallowcrank-expect-instance'], b'i-1')
        self.assertEqual(
            headers[b'mallowcrank-hop-count'],
            b'10.0.0.1:80=0-20,10.0.0.2:80=20-80',
        )
        self.assertNotIn(b'x-api-key', headers)
        self.assertNotIn(b'mallowcrank-request-priority', headers)

    def test_other_headers_pass_unchanged(self):
        given = ((b'Mallowcrank-Request-Id', b'r1'), (b'X-Own', b'a, b'))
        headers = target_headers(given, SENDING)
        self.assertEqual(headers[:2], given)

    def test_the_deadline_is_what_is_left(self):
        headers = sent(((b'Mallowcrank-Deadline-Ms', b'2500'),))
        self.assertEqual(headers[b'mallowcrank-deadline-ms'], b'900')

    def test_a_resumed_stream_names_its_last_event(self):
        given = ((b'Last-Event-Id', b'3'),)
        self.assertEqual(sent(given)[b'last-event-id'], b'3')
        resumed = ForwardFields('i-1', 900, '', last_event='8')
        self.assertEqual(sent(given, resumed)[b'last-event-id'], b'8')

    def test_a_request_without_a_workspace_names_none(self):
        headers = sent(FORGED, ForwardFields('i-1', 900, ''))
        self.assertNotIn(b'mallowcrank-tenant', headers)

    def test_reads_what_a_caller_says(self):
        fields = caller_fields(
            (
                (b'Mallowcrank-Request-Id', b'r1'),
                (b'Mallowcrank-Deadline-Ms', b'2500'),
                (b'Mallowcrank-Token-Count', b'1460,80'),
                (b'Mallowcrank-Length-Hint', b'60'),
                (b'X-API-KEY', b'k'),
            )
        )
        self.assertEqual(fields.request_id, 'r1')
        self.assertEqual(fields.deadline_ms, 2500)
        self.assertEqual(
            (fields.prompt_tokens, fields.output_tokens), (1460, 80)
        )
        self.assertEqual(fields.output_estimate, 60)
        self.assertEqual(fields.key, 'k')

    def test_bad_headers_have_a_problem(self):
        deadline = b'Mallowcrank-Deadline-Ms'
        for bad in (b'soon', b'-5', b'1e9', b'nan', b''):
            with self.subTest(bad=bad):
                fields = caller_fields(((deadline, bad),))
                self.assertIn('deadline', fields.problem)
        twice = (b'Mallowcrank-Request-Id', b'r1')
        self.assertIn('twice', caller_fields((twice, twice)).problem)

    def test_reads_what_a_replica_says(self):
        seal = (b'Mallowcrank-Response-Seal', b's')
        self.assertTrue(answer_fields((seal,)).is_genuine)
        self.assertFalse(answer_fields(()).is_genuine)
        encoded = (b'Content-Encoding', b'gzip')
        self.assertFalse(answer_fields((seal, encoded)).is_genuine)
        refusal = answer_fields(
            ((b'Mallowcrank-Not-Executed', b'1'), (b'At-Server', b'a:1'))
        )
        self.assertTrue(refusal.did_not_run)
        self.assertEqual(refusal.fault_address, 'a:1')

    def test_the_directory_names_addresses(self):
        self.assertEqual(caller_zone('name=a&region=b&zone=c'), 'c')
        self.assertEqual(caller_zone(''), '')
        body = directory_answer((Address('10.0.0.1', 80),), 1)
        self.assertEqual(
            json.loads(body), {'addresses': ['10.0.0.1:80'], 'ttl_s': 1}
        )
