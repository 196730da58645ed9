"""
Property tests of the parsers of outside input, with a fixed seed.

Malformed input must be refused as such, and must neither raise nor be taken
for valid.
"""

import json
from unittest import TestCase

import msgpack
from hypothesis import example, given, settings
from hypothesis import strategies as st

from mallowcrank.config.files import read_draft
from mallowcrank.config.parsing import is_settings_change
from mallowcrank.config.replica import Replica, apply_page
from mallowcrank.leases.fold import LeaseTable, fold
from mallowcrank.leases.records import decode_record
from mallowcrank.membership.messages import BadMessageError, from_body
from mallowcrank.ports import LogPage, LogRecord
from mallowcrank.refusals import Ran, Refused
from mallowcrank.requests.calls import Completion, ServiceCall
from mallowcrank.requests.completion_parsing import read_completion
from mallowcrank.requests.key_names import read_key
from mallowcrank.requests.parsing import read_service_call
from mallowcrank.web import Request
from mallowcrank.wire import BadFrameError, FrameReader, KeyRing, pack_frame
from tests.utils.local_router import WORKSPACE, make_view, service
from tests.utils.strategies import PLAIN_VALUES

KEYS = KeyRing(1, {1: b'key'})
VIEW = make_view(services=[service('stock', repeatable=False)])
FIXED = settings(derandomize=True, deadline=None, max_examples=60)
HEADERS = st.fixed_dictionaries(
    {'x-mallowcrank-workspace': st.just(WORKSPACE)},
    optional={
        'x-mallowcrank-deadline-ms': st.text(max_size=8),
        'x-mallowcrank-priority': st.text(max_size=8),
        'x-mallowcrank-repeatable': st.sampled_from(['yes', 'no', 'maybe']),
        'idempotency-key': st.text(max_size=300),
    },
)


def bodies(names, **known):
    """
    Return a strategy of bodies.

    :param names: of fields with arbitrary values; each may be absent.
    :param known: fields with fixed values.
    """
    fields = {name: PLAIN_VALUES for name in names}
    return st.fixed_dictionaries(
        {name: st.just(given) for name, given in known.items()},
        optional=fields,
    )


COMPLETIONS = bodies(
    ('prompt', 'max_tokens', 'max_completion_tokens', 'n', 'stream'), model='m'
)
CHATS = bodies(('messages', 'n', 'stream', 'max_tokens'), model='m')
MESSAGES = st.sampled_from(
    ['hello', 'beat', 'digest', 'delta', 'post', 'ask', 'answer', 'other']
).flatmap(
    lambda kind: bodies(
        ('name', 'incarnation', 'address', 'digest', 'buckets', 'facts')
        + ('number', 'topic', 'body'),
        type=kind,
    )
)
RECORDS = st.sampled_from(
    ['config', 'restore', 'snapshot', 'lease', 'other']
).flatmap(
    lambda kind: bodies(
        ('id', 'changes', 'read', 'author', 'note', 'settings')
        + ('through', 'digest', 'tree', 'holder', 'groups', 'release'),
        type=kind,
    )
)


class TestFrames(TestCase):
    @FIXED
    @given(st.binary(max_size=200))
    def test_any_bytes(self, received):
        self.read(received)

    @FIXED
    @given(PLAIN_VALUES)
    @example([[], b'', b''])
    @example([1, 'mac', b''])
    @example([1, b'', 7])
    def test_any_array(self, frame):
        self.read(msgpack.packb(bounded(frame)))

    @FIXED
    @given(st.integers(0, 60), st.integers(1, 255))
    def test_changed_byte_is_never_trusted(self, place, change):
        frame = bytearray(pack_frame({'type': 'beat', 'number': 5}, KEYS))
        frame[place % len(frame)] ^= change
        self.assertEqual(self.read(bytes(frame)), [])

    @FIXED
    @given(st.lists(st.integers(1, 9), min_size=30, max_size=60))
    def test_frames_in_pieces(self, sizes):
        sent = [{'type': 'beat', 'number': number} for number in range(3)]
        left = b''.join(pack_frame(body, KEYS) for body in sent)
        reader = FrameReader(KEYS)
        got = []
        for size in (*sizes, len(left)):
            got.extend(reader.feed(left[:size]))
            left = left[size:]
        self.assertEqual(got, sent)

    def read(self, received):
        try:
            return list(FrameReader(KEYS).feed(received))
        except BadFrameError:
            return []


class TestMessages(TestCase):
    @FIXED
    @given(MESSAGES)
    def test_any_message_of_a_peer(self, body):
        try:
            message = from_body(body)
        except BadMessageError:
            return
        self.assertIsNotNone(message)


class TestCallers(TestCase):
    def check(self, read):
        if isinstance(read, Refused):
            self.assertEqual(read.ran, Ran.NO)
            self.assertTrue(read.field)
        else:
            self.assertIsInstance(read, Completion | ServiceCall)

    def complete(self, headers, body, *, chat):
        request = Request('POST', '/v1', headers=headers, body=body)
        self.check(read_completion(request, VIEW, chat=chat))

    @FIXED
    @given(HEADERS, COMPLETIONS)
    @example(
        {'x-mallowcrank-workspace': WORKSPACE},
        {'model': 'm', 'prompt': 'hat', 'n': []},
    )
    def test_any_completion(self, headers, body):
        self.complete(headers, json.dumps(body).encode(), chat=False)

    @FIXED
    @given(HEADERS, CHATS)
    def test_any_chat(self, headers, body):
        self.complete(headers, json.dumps(body).encode(), chat=True)

    @FIXED
    @given(st.binary(max_size=60))
    def test_any_body(self, body):
        headers = {'x-mallowcrank-workspace': WORKSPACE}
        self.complete(headers, body, chat=False)

    @FIXED
    @given(HEADERS, st.text(max_size=20))
    def test_any_service_call(self, headers, rest):
        target = f'/v1/services/stock/{rest}'
        request = Request('POST', target, headers=headers, target=target)
        self.check(read_service_call(request, VIEW))

    @FIXED
    @given(st.text(max_size=80))
    def test_any_key(self, key):
        name = read_key(key)
        self.assertTrue(name is None or name.key == key)


class TestLog(TestCase):
    @FIXED
    @given(st.lists(RECORDS, max_size=8))
    def test_any_record_leaves_a_version_that_never_reverts(self, found):
        replica = Replica()
        before = -1
        for offset, body in enumerate(found):
            record = LogRecord(offset, 0, body)
            page = LogPage(0, offset + 1, (record,))
            replica = apply_page(replica, page)
            version = -1 if replica.tree is None else replica.tree.version
            self.assertGreaterEqual(version, before)
            before = version

    @FIXED
    @given(PLAIN_VALUES)
    def test_any_body(self, body):
        record = LogRecord(0, 0, body)
        self.assertIn(is_settings_change(record), {True, False})
        apply_page(Replica(), LogPage(0, 1, (record,)))
        self.assertTrue(body or decode_record(body) is None)

    @FIXED
    @given(st.lists(RECORDS, max_size=8))
    def test_any_record_leaves_fences_that_never_revert(self, found):
        table = LeaseTable()
        for offset, body in enumerate(found):
            before = table.leases
            record = decode_record(body)
            if record is not None:
                table = fold(table, record, offset, offset)
            for group, lease in before.items():
                self.assertGreaterEqual(table.get(group).fence, lease.fence)

    @FIXED
    @given(st.text(max_size=200))
    def test_any_settings_file(self, text):
        reading = read_draft(text, 'any.toml')
        for finding in reading.findings:
            self.assertTrue(finding.problem)


def bounded(plain):
    """
    Return a plain value with its integers limited to the range of msgpack.
    """
    if isinstance(plain, int) and not isinstance(plain, bool):
        return max(-(2**63), min(2**63 - 1, plain))
    if isinstance(plain, list):
        return [bounded(each) for each in plain]
    if isinstance(plain, dict):
        return {name: bounded(each) for name, each in plain.items()}
    return plain
