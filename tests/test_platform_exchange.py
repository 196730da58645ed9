"""
Tests of the headers that callers, gateways and replicas exchange.
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
)
from mallowcrank.platform.forwarding import target_headers

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
        name.lower(): value for name, value in target_headers(headers, sending)
    }


class TestExchange(TestCase):
    def test_forged_gateway_headers_are_replaced_or_dropped(self):
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
        caller_headers = (
            (b'Mallowcrank-Request-Id', b'r1'),
            (b'X-Own', b'a, b'),
        )
        headers = target_headers(caller_headers, SENDING)
        self.assertEqual(headers[:2], caller_headers)

    def test_deadline_is_the_remaining_time(self):
        headers = sent(((b'Mallowcrank-Deadline-Ms', b'2500'),))
        self.assertEqual(headers[b'mallowcrank-deadline-ms'], b'900')

    def test_resumed_stream_sends_its_last_event_id(self):
        caller_headers = ((b'Last-Event-Id', b'3'),)
        self.assertEqual(sent(caller_headers)[b'last-event-id'], b'3')
        resumed = ForwardFields('i-1', 900, '', last_event='8')
        self.assertEqual(sent(caller_headers, resumed)[b'last-event-id'], b'8')

    def test_no_workspace_sends_no_tenant_header(self):
        headers = sent(FORGED, ForwardFields('i-1', 900, ''))
        self.assertNotIn(b'mallowcrank-tenant', headers)

    def test_decodes_caller_headers(self):
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

    def test_malformed_headers_are_reported(self):
        deadline = b'Mallowcrank-Deadline-Ms'
        for bad in (b'soon', b'-5', b'1e9', b'nan', b''):
            with self.subTest(bad=bad):
                fields = caller_fields(((deadline, bad),))
                self.assertIn('deadline', fields.problem)
        twice = (b'Mallowcrank-Request-Id', b'r1')
        self.assertIn('twice', caller_fields((twice, twice)).problem)

    def test_decodes_replica_headers(self):
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

    def test_limit_of_a_replica_is_a_decimal_number_of_any_size(self):
        for text, limit in (
            (b'3', 3),
            (b' 2.4 ', 2.4),
            (b'0.05', 0.05),
            (b'0', 0),
            (b'1e2', 100),
        ):
            with self.subTest(text=text):
                fields = answer_fields(((b'Server-Limit', text),))
                self.assertEqual(fields.rate_limit, limit)
                self.assertEqual(fields.rate_limit_problem, '')
        self.assertIsNone(answer_fields(()).rate_limit)

    def test_invalid_limit_of_a_replica_is_reported(self):
        for bad in (
            b'',
            b'-1',
            b'nan',
            b'inf',
            b'1e999',
            b'1_0',
            b'two',
            b'3, 4',
            b'\xb2',
            b'9' * 1000,
        ):
            with self.subTest(bad=bad):
                fields = answer_fields(((b'server-limit', bad),))
                self.assertIsNone(fields.rate_limit)
                self.assertIn('not a rate', fields.rate_limit_problem)

    def test_lowest_of_several_limits_applies_and_is_reported(self):
        limits = [(b'Server-Limit', text) for text in (b'5', b'2', b'9')]
        fields = answer_fields(tuple(limits))
        self.assertEqual(fields.rate_limit, 2)
        self.assertIn('more than once', fields.rate_limit_problem)
        fields = answer_fields((*limits, (b'Server-Limit', b'x')))
        self.assertEqual(fields.rate_limit, 2)
        self.assertIn('not a rate', fields.rate_limit_problem)

    def test_directory_query_and_answer(self):
        self.assertEqual(caller_zone('name=a&region=b&zone=c'), 'c')
        self.assertEqual(caller_zone(''), '')
        body = directory_answer((Address('10.0.0.1', 80),), 1)
        self.assertEqual(
            json.loads(body), {'addresses': ['10.0.0.1:80'], 'ttl_s': 1}
        )


class TestPromptParts(TestCase):
    def parts(self, text):
        headers = ((b'Mallowcrank-Prompt-Prefix', text.encode()),)
        return caller_fields(headers).prompt_parts

    def test_last_part_belongs_to_the_request(self):
        self.assertEqual(self.parts('5c:800,91:410,e4:250'), ('5c', '91'))
        self.assertEqual(self.parts('5c:800'), ())
        self.assertEqual(caller_fields(()).prompt_parts, ())

    def test_malformed_parts_are_ignored(self):
        for text in ('', ',', ':,::', f'{"a" * 65}:3,b:1'):
            with self.subTest(text=text):
                self.assertEqual(self.parts(text), ())

    def test_number_of_parts_is_bounded(self):
        text = ','.join(f'{number}:1' for number in range(500))
        self.assertEqual(len(self.parts(text)), 32)
