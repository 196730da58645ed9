"""
The router's view, built from its agent's messages.
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

    def test_older_snapshot_updates_targets_and_peers_only(self):
        """
        Guards against replacing newer settings by those of an agent that is
        behind.
        """
        peer = Peer('r2', '127.0.0.1:2', 'a', '2' * 16)
        older = replace(make_view((), (), [peer]), version=0, workspaces={})
        folded = fold_snapshot(self.view, {'view': to_plain(older)})
        self.assertEqual(folded.version, 1)
        self.assertEqual(folded.workspaces, self.view.workspaces)
        self.assertEqual((folded.targets, folded.peers), ({}, {'r2': peer}))

    def test_newer_snapshot_replaces_the_view(self):
        """
        Guards against keeping parts of an outdated view.
        """
        newer = replace(make_view(), version=2)
        self.assertEqual(
            fold_snapshot(self.view, {'view': to_plain(newer)}), newer
        )

    def test_change_adds_and_removes_entries(self):
        """
        Guards against keeping removed entries, and against a settings version
        that goes back.
        """
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
    def test_router_reconnects_after_a_malformed_message(self):
        """
        Guards against a feed that stops for good at a malformed message.
        """
        router = LocalRouter(make_view())
        self.addCleanup(router.stop)
        malformed = ({'type': 'snapshot'}, {'type': 'change', 'targets': [7]})
        for count, message in enumerate(malformed, start=2):
            agent = router.agent
            agent.connections[-1].sendall(pack_frame(message, KeyRing()))
            wait_until(
                lambda expected=count: len(agent.connections) == expected
            )
        newer = replace(make_view(), version=2)
        agent.connections[-1].sendall(
            pack_frame({'type': 'snapshot', 'view': to_plain(newer)}, KeyRing())
        )
        router.wait_view(newer)
