"""
Messages that an agent's feed sends to routers, and those that it survives.
"""

from unittest import TestCase

from mallowcrank.agent.feed import FeedActor
from mallowcrank.config.effective import EffectiveSettings
from mallowcrank.router.folding import fold_change, read_snapshot
from mallowcrank.view import Target, TargetKind, View, WorkspaceSettings


class FakeMembership:
    def __init__(self):
        self.target_map = {}
        self.reports = []

    def apply_report(self, report):
        self.reports.append(report['type'])

    def targets(self):
        return dict(self.target_map)

    def peers(self):
        return {}


class FakeConnection:
    """
    A connection that applies messages to a view as a router does.
    """

    def __init__(self, version=-1, view=None):
        self.router = 'r1'
        self.version = version
        self.has_newer_settings = False
        self.received = []
        self.view = view or View(version=version)

    def send(self, body):
        self.received.append(body['type'])
        if body['type'] == 'snapshot':
            self.view = read_snapshot(body)
        else:
            self.view = fold_change(self.view, body)

    def finish(self):
        self.received.append('end')


class FailingConnection(FakeConnection):
    def send(self, body):
        raise KeyError(body['type'])


def effective(version, *names):
    return EffectiveSettings(
        version,
        workspaces={
            name: WorkspaceSettings(name, name.partition('/')[0])
            for name in names
        },
    )


class TestFeed(TestCase):
    def setUp(self):
        self.membership = FakeMembership()
        self.ref = FeedActor.start(self.membership)
        self.addCleanup(self.ref.stop)
        self.feed = self.ref.proxy()

    def connect(self, router):
        self.feed.connect(router, {'type': 'hello'}).get()
        return router

    def show_target(self, name):
        self.membership.target_map[name] = Target(
            name, TargetKind.SERVICE, '127.0.0.1:1', 'a', 'stock'
        )
        self.feed.update_members().get()

    def test_connection_gets_a_snapshot_then_only_changes(self):
        self.feed.update_settings(effective(3, 'a/x', 'a/y')).get()
        router = self.connect(FakeConnection())
        self.feed.update_settings(effective(4, 'a/x', 'a/z')).get()
        self.show_target('s1')
        self.show_target('s1')
        self.assertEqual(router.received, ['snapshot', 'change', 'change'])
        self.assertEqual(set(router.view.workspaces), {'a/x', 'a/z'})
        self.assertEqual(router.view, self.feed.view().get())

    def test_reconnecting_router_gets_a_snapshot(self):
        self.feed.update_settings(effective(3, 'a/x')).get()
        router = self.connect(FakeConnection())
        self.feed.disconnect(router).get()
        self.feed.update_settings(effective(4, 'a/y')).get()
        reconnected = self.connect(FakeConnection(3, router.view))
        self.assertEqual(router.received, ['snapshot', 'end'])
        self.assertEqual(reconnected.received, ['snapshot'])
        self.assertEqual(set(reconnected.view.workspaces), {'a/y'})

    def test_router_is_lost_after_its_last_connection_closes(self):
        first, second = FakeConnection(), FakeConnection()
        self.connect(first)
        self.connect(second)
        self.feed.disconnect(first).get()
        self.assertEqual(self.membership.reports, ['hello', 'hello'])
        self.feed.disconnect(second).get()
        self.assertEqual(self.membership.reports[-1], 'lost')

    def test_agent_with_older_settings_keeps_its_routers_newer_ones(self):
        newer_view = View(
            version=9, workspaces={'a/x': WorkspaceSettings('a/x', 'a')}
        )
        router = self.connect(FakeConnection(9, newer_view))
        self.show_target('s1')
        self.feed.update_settings(effective(8, 'a/old')).get()
        self.assertEqual(set(router.view.workspaces), {'a/x'})
        self.assertEqual(set(router.view.targets), {'s1'})
        self.feed.update_settings(effective(9, 'a/x')).get()
        self.assertEqual(router.received[-1], 'snapshot')
        self.assertEqual(router.view, self.feed.view().get())

    def test_feed_survives_messages_that_fail(self):
        for message in ('connect', 'disconnect'):
            getattr(self.feed, message).defer(FailingConnection(), {})
        self.feed.connect.defer(FailingConnection(), {'type': 'hello'})
        self.feed.send_heartbeat.defer(0)
        router = self.connect(FakeConnection())
        self.assertEqual(router.received, ['snapshot'])
