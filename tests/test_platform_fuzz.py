"""
Property tests of the decoders of outside input, with a fixed seed.

Malformed input must be refused as such: it must neither raise nor be taken for
valid, and must not disturb other requests.
"""

import asyncio
import json
from unittest import TestCase

from hypothesis import example, given, settings
from hypothesis import strategies as st

from mallowcrank.findings import Finding
from mallowcrank.gateway.addresses import parse_address
from mallowcrank.gateway.caller_channel import CallerChannels
from mallowcrank.gateway.datagrams import (
    GatewayStatus,
    pack_status,
    read_status,
)
from mallowcrank.gateway.desired import Desired, Limits
from mallowcrank.gateway.event_buffer import EventBuffer
from mallowcrank.gateway.ports import (
    DecodeFailure,
    LogSlice,
    Membership,
    NewestPage,
)
from mallowcrank.gateway.settings import Address, GatewaySettings
from mallowcrank.gateway.target_channel import (
    BodyChunk,
    ChannelBroken,
    ResponseEnd,
    ResponseHead,
    TargetChannel,
)
from mallowcrank.gateway.targets import Target, TargetReport
from mallowcrank.operators.explain import explain, read_log
from mallowcrank.platform.standins.bodies import desired_body, entry_body
from mallowcrank.platform.standins.in_process import settings_text
from mallowcrank.platform.vocabulary import platform_vocabulary
from tests.utils.fake_transport import FakeTransport
from tests.utils.strategies import PLAIN_VALUES

VOCABULARY = platform_vocabulary()
FIXED = settings(derandomize=True, deadline=None, max_examples=80)
GET = b'GET /a/b?c=d HTTP/1.1\r\nHost: shop.example\r\nX-Own: 1\r\n\r\n'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody'
LIMITS = Limits(header_bytes=400, body_bytes=100, header_s=3, idle_s=15)


def corrupted(raw):
    """
    Return a strategy of a message with some bytes replaced, split anywhere into
    two pieces.
    """
    positions = st.integers(0, len(raw) - 1)
    changes = st.dictionaries(positions, st.integers(0, 255), max_size=4)
    return st.builds(_corrupt, st.just(raw), changes, positions)


def _corrupt(raw, changes, cut):
    mutated = bytearray(raw)
    for position, byte in changes.items():
        mutated[position] = byte
    return bytes(mutated[:cut]), bytes(mutated[cut:])


def mutated(body):
    """
    Return a strategy of JSON objects that differ from a valid one in some
    fields.
    """
    names = st.sampled_from(sorted(body))
    return st.dictionaries(names, PLAIN_VALUES, max_size=3).map(
        lambda changes: json.dumps({**body, **changes}).encode()
    )


class TestDecoders(TestCase):
    @FIXED
    @given(st.one_of(st.binary(max_size=80), mutated(entry_body())))
    @example(b'{"state": "ready"}')
    @example(b'[]')
    @example(b'\xff')
    def test_an_entry_is_a_target_or_unreadable(self, raw):
        found = VOCABULARY.read_entry('i-1', raw)
        self.assertIsInstance(found, Target | DecodeFailure)

    @FIXED
    @given(
        mutated(
            {
                'sequence': 1,
                'born': 2,
                'pace': 1.5,
                'layers': {'source': 0, 'to': 4, 'version': 1},
                'busy': False,
                'stalled': [{'id': 'r', 'address': 'a'}],
            }
        )
    )
    def test_a_report_is_one_or_unreadable(self, raw):
        found = VOCABULARY.read_report('i-1', raw)
        self.assertIsInstance(found, TargetReport | DecodeFailure)

    @FIXED
    @given(st.one_of(st.binary(max_size=80), mutated(desired_body())))
    def test_a_desired_state_is_one_or_unreadable(self, raw):
        found = VOCABULARY.read_desired(raw)
        self.assertIsInstance(found, Desired | DecodeFailure)

    @FIXED
    @given(
        st.one_of(
            st.text(max_size=40),
            st.builds(
                '{0}:{1}'.format,
                st.text(max_size=12),
                st.one_of(st.integers(), st.text(max_size=6)),
            ),
        )
    )
    @example('10.0.0.1:80')
    @example('10.0.0.1:65536')
    @example('a.example:1')
    def test_an_address_is_one_or_refused(self, text):
        try:
            address = parse_address(text)
        except ValueError as error:
            self.assertLess(len(str(error)), 200)
            return
        host, _, port = text.rpartition(':')
        self.assertEqual((address.ip, address.port), (host, int(port)))
        self.assertTrue(address.ip.isascii())
        self.assertIn(address.port, range(1, 65_536))

    @FIXED
    @given(st.text(max_size=200))
    @example('node_name=x\nnode_name=y')
    @example('zones.=\n=\n')
    def test_malformed_settings_give_findings(self, text):
        found = VOCABULARY.read_settings(text)
        self.assertIsInstance(found, list)
        self.assertTrue(all(isinstance(each, Finding) for each in found))

    @FIXED
    @given(
        corrupted(
            settings_text(
                'h1', '127.0.0.1', 'a', Address('127.0.0.1', 1), ()
            ).encode()
        )
    )
    def test_corrupted_settings_are_read_or_refused(self, pieces):
        text = b''.join(pieces).decode(errors='replace')
        found = VOCABULARY.read_settings(text)
        self.assertIsInstance(found, GatewaySettings | list)


class TestStoreAnswers(TestCase):
    @FIXED
    @given(st.binary(max_size=120))
    @example(b'{"items": [{"key": 1}]}')
    @example(b'{"items": [{"key": "a", "value": "?", "offset": 0}]}')
    def test_bytes_are_an_answer_or_unreadable(self, raw):
        calls = VOCABULARY.store
        newest = calls.decode_newest(raw)
        self.assertIsInstance(newest, NewestPage | DecodeFailure)
        read = calls.decode_slice(raw, 0)
        self.assertIsInstance(read, LogSlice | DecodeFailure)
        joined = calls.decode_membership(raw)
        self.assertIsInstance(joined, Membership | DecodeFailure)
        owners = calls.decode_owners(raw)
        self.assertIsInstance(owners, tuple | DecodeFailure)

    @FIXED
    @given(
        mutated(
            {
                'generation': 7,
                'ttl_ms': 3000,
                'parts': [['work', 3, 840]],
                'items': [{'key': 'a', 'value': 'YQ==', 'offset': 4}],
                'has_more': False,
                'end_offset': 6,
            }
        )
    )
    def test_tables_are_an_answer_or_unreadable(self, raw):
        calls = VOCABULARY.store
        newest = calls.decode_newest(raw)
        self.assertIsInstance(newest, NewestPage | DecodeFailure)
        joined = calls.decode_membership(raw)
        self.assertIsInstance(joined, Membership | DecodeFailure)


class TestGatewayStatus(TestCase):
    @FIXED
    @given(st.binary(max_size=60))
    def test_any_bytes_are_a_status_or_ignored(self, raw):
        self.assertIsInstance(read_status(raw), GatewayStatus | None)

    @FIXED
    @given(
        corrupted(
            pack_status(
                GatewayStatus(
                    host='h1',
                    incarnation='abcd',
                    zone='a',
                    front=Address('10.0.0.1', 1),
                    gossip=Address('10.0.0.1', 2),
                    peers=Address('10.0.0.1', 3),
                    accepts_callers=True,
                    desired_version=4,
                    leader_generation=0,
                    reserved={'i-1': 300},
                )
            )
        )
    )
    def test_corrupted_status_is_decoded_or_ignored(self, pieces):
        self.assertIsInstance(
            read_status(b''.join(pieces)), GatewayStatus | None
        )


class TestChannels(TestCase):
    @FIXED
    @given(corrupted(GET))
    def test_corrupted_request_is_served_once_or_refused(self, pieces):
        served = []

        async def serve(request, answer):
            served.append(request)
            answer.send(200, (), b'ok')

        async def play():
            transport = FakeTransport()
            channel = CallerChannels(serve, lambda: LIMITS).new_channel()
            channel.connection_made(transport)
            for piece in pieces:
                channel.data_received(piece)
            for _ in range(5):
                await asyncio.sleep(0)
            return transport.written

        written = asyncio.run(play())
        self.assertLessEqual(len(served), 1)
        answers = written.split(b'HTTP/1.1 ')[1:]
        self.assertLessEqual(len(answers), 1)
        self.assertEqual(
            [each[:3] for each in answers].count(b'200'), len(served)
        )

    @FIXED
    @given(corrupted(ANSWER))
    def test_corrupted_answer_ends_once(self, pieces):
        async def play():
            channel = TargetChannel(Address('10.0.0.1', 80))
            channel.connection_made(FakeTransport())
            channel.send(b'GET / HTTP/1.1\r\n\r\n')
            for piece in pieces:
                channel.data_received(piece)
            channel.connection_lost(None)
            events = []
            while True:
                event = await channel.next_event(0)
                if not isinstance(
                    event,
                    ResponseHead | BodyChunk | ResponseEnd | ChannelBroken,
                ):
                    return events
                events.append(event)

        events = asyncio.run(play())
        ends = [
            each
            for each in events
            if isinstance(each, ResponseEnd | ChannelBroken)
        ]
        self.assertEqual(len(ends), 1)
        self.assertIs(events[-1], ends[0])

    @FIXED
    @given(st.lists(st.binary(max_size=30), max_size=6))
    @example([b'id: 1\ndata: a\n\n', b'id: 2\ndata'])
    def test_events_pass_whole_and_unchanged(self, pieces):
        reader = EventBuffer()
        passed = b''.join(reader.feed(piece) for piece in pieces)
        self.assertEqual(passed + reader.remainder, b''.join(pieces))


class TestLogs(TestCase):
    @FIXED
    @given(
        st.lists(PLAIN_VALUES.map(json.dumps), max_size=6), st.text(max_size=4)
    )
    @example(['{"at": 1, "request": "r", "why": 7, "path": []}'], 'r')
    def test_any_line_is_explained_or_passed_over(self, lines, request):
        given = [f'{{"at":2,"request":"r"}} {line}' for line in lines]
        for found in explain(read_log([*lines, *given]), request or 'r'):
            self.assertTrue(found.timed_lines)
