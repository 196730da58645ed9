"""
The router's view out of its agent's messages.
"""

from dataclasses import replace
from unittest import TestCase

from mallowcrank.codec import to_plain
from mallowcrank.router.folding import fold_change, fold_snapshot
from mallowcrank.view import Peer
from mallowcrank.wire import KeyRing, pack_frame
from tests.utils.local_router import (
    LocalRouter,
    make_view,
    service,
    service_target,
    wait_until,
)


class TestFolding(TestCase):
    def setUp(self):
        self.target = service_target('s1', '127.0.0.1:1', 'stock')
        self.view = make_view([self.target], [service('stock')])

    def test_snapshot_with_older_settings_brings_targets_and_peers_only(self):
        peer = Peer('r2', '127.0.0.1:2', 'a', '2' * 16)
        older = replace(make_view((), (), [peer]), version=0, workspaces={})
        folded = fold_snapshot(self.view, {'view': to_plain(older)})
        self.assertEqual(folded.version, 1)
        self.assertEqual(folded.workspaces, self.view.workspaces)
        self.assertEqual((folded.targets, folded.peers), ({}, {'r2': peer}))

    def test_newer_snapshot_is_taken_whole(self):
        newer = replace(make_view(), version=2)
        self.assertEqual(
            fold_snapshot(self.view, {'view': to_plain(newer)}), newer
        )

    def test_change_puts_in_and_takes_out_entries(self):
        other = service_target('s2', '127.0.0.1:2', 'stock')
        message = {
            'version': 5,
            'targets': {'s2': to_plain(other)},
            'gone': {'targets': ['s1'], 'services': ['stock']},
        }
        folded = fold_change(self.view, message)
        self.assertEqual(folded.targets, {'s2': other})
        self.assertEqual((folded.services, folded.version), ({}, 5))
        self.assertEqual(fold_change(folded, {'version': 3}).version, 5)


class TestBadMessages(TestCase):
    def test_router_connects_again_after_a_message_that_it_can_not_read(self):
        router = LocalRouter(make_view())
        self.addCleanup(router.stop)
        bad = ({'type': 'snapshot'}, {'type': 'change', 'targets': [7]})
        for count, message in enumerate(bad, start=2):
            agent = router.agent
            agent.connections[-1].sendall(pack_frame(message, KeyRing()))
            wait_until(lambda many=count: len(agent.connections) == many)
        newer = replace(make_view(), version=2)
        agent.connections[-1].sendall(
            pack_frame({'type': 'snapshot', 'view': to_plain(newer)}, KeyRing())
        )
        router.wait_view(newer)
