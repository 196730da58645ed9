"""
Bytes and records of an earlier build, read and written again unchanged.

It guards against a renamed field, class or enumeration that leaves the
process: builds that run beside each other would misread each other's messages,
and a new build would lose what an old one stored.
"""

from dataclasses import replace
from types import MappingProxyType
from unittest import TestCase

import msgpack

from mallowcrank.config.outcomes import Outcome, Verdict
from mallowcrank.config.snapshots import digest_of, pack_tree, unpack_tree
from mallowcrank.config.tree import Entry, Tree
from mallowcrank.gateway.datagrams import pack_status, read_status
from mallowcrank.gateway.entries_status import EntriesView
from mallowcrank.gateway.ports import LogPosition
from mallowcrank.leases.records import decode_record, encode_record
from mallowcrank.membership.messages import from_body, to_body

STATUS = bytes.fromhex(
    '9d01a6656467652d31a26939a161a831302e302e302e3193cd2023cd1caccd2025c30703'
    '81a265312891a2653281a26533cb3ff800000000000081a2653493002802'
)
# With what the gateway knows of the entries, which earlier builds leave out.
STATUS_WITH_VIEW = bytes.fromhex(
    'dc001501a6656467652d32a26939a161a831302e302e302e3193cd2023cd1caccd2025c3'
    '070381a265312890808090930246cd05dcc0c0c0c09202ccfa940246cf80000000000000'
    '05cd01f4'
)
TREE = bytes.fromhex(
    '970405060181ac6f7267616e69736174696f6e81a974696d656f75745f73931404a27234'
    '81b16f7267616e69736174696f6e2e6e6f746593c003a272339189a67265636f7264a272'
    '34a66f666673657404a776657264696374a86163636570746564a474696d65cb3ff80000'
    '00000000a6617574686f72a3616e6ea46e6f7465a3776879a6726561736f6ea0a7636861'
    '6e67656401a9636f6e666c6963747390'
)
TREE_DIGEST = '25d0bffa7f8640275c5ecd206e125574'
MEMBER_ROW = ('m', 'h1', 2, 3, 'alive', '10.0.0.1:7000', 'a', 0, '', '', '')
TARGET_ROW = ('t', 'e1', 1, False, 4, False, 'engine', '10.0.0.9:9100', 'a')
MESSAGES = (
    {
        'type': 'hello',
        'name': 'h1',
        'incarnation': 2,
        'address': '10.0.0.1:7000',
    },
    {'type': 'beat', 'root': 99},
    {'type': 'digest', 'buckets': [1, 2], 'is_reply': True},
    {
        'type': 'delta',
        'facts': [
            [*MEMBER_ROW, False],
            [*TARGET_ROW, 'assistant', 0, 11, 1, 16, '', 'unstated', 0],
            ['l', 'e1', 5.5, 3],
            ['d', 'h1', 6.0, (('b/w', 0.5),)],
        ],
    },
    {'type': 'post', 'topic': 't', 'body': {'a': 1}},
    {'type': 'ask', 'number': 1, 'topic': 't', 'body': {'b': 2}},
    {'type': 'answer', 'number': 1, 'body': {'c': 3}},
)
LEASE = MappingProxyType(
    {
        'type': 'lease',
        'id': 'r1',
        'holder': 'h1.2',
        'groups': ['targets-9', 'weights'],
        'release': True,
    }
)


class TestRecordedFormats(TestCase):
    def test_datagram_between_gateways(self):
        status = read_status(STATUS)
        self.assertEqual(status.host, 'edge-1')
        self.assertEqual(status.reserved, {'e1': 40.0})
        self.assertEqual(pack_status(status), STATUS)

    def test_datagram_with_a_view_of_the_entries(self):
        status = read_status(STATUS_WITH_VIEW)
        self.assertEqual(
            status.view, EntriesView(LogPosition(2, 70), 2**63 + 5, 0.5)
        )
        self.assertEqual(pack_status(status), STATUS_WITH_VIEW)
        fields = msgpack.unpackb(STATUS_WITH_VIEW)
        earlier = read_status(msgpack.packb(fields[:-1]))
        self.assertEqual(earlier, replace(status, view=None))
        # A later build may add fields at the end.
        self.assertEqual(read_status(msgpack.packb([*fields, 7])), status)

    def test_messages_between_agents(self):
        for body in MESSAGES:
            with self.subTest(body['type']):
                self.assertEqual(to_body(from_body(body)), body)

    def test_packed_tree_of_settings(self):
        tree = unpack_tree(TREE)
        outcome = Outcome(
            'r4', 4, Verdict.ACCEPTED, 1.5, 'ann', 'why', changed=1
        )
        expected = Tree(
            version=4,
            last=5,
            through=6,
            floor=1,
            nodes={'organisation': {'timeout_s': Entry(20, 4, 'r4')}},
            removed={'organisation.note': Entry(None, 3, 'r3')},
            outcomes=(outcome,),
        )
        self.assertEqual(tree, expected)
        self.assertEqual(pack_tree(tree), TREE)
        self.assertEqual(digest_of(tree), TREE_DIGEST)

    def test_lease_record(self):
        self.assertEqual(encode_record(decode_record(LEASE)), LEASE)
