"""
What an agent's feed sends to routers.
"""

from unittest import TestCase

from mallowcrank.agent.feed import FeedActor
from mallowcrank.config.effective import EffectiveSettings
from mallowcrank.router.folding import fold_change, read_snapshot
from mallowcrank.view import Target, TargetKind, View, WorkspaceSettings


class Members:
    def __init__(self):
        self.known = {}
        self.reports = []

    def apply_report(self, report):
        self.reports.append(report['type'])

    def targets(self):
        return dict(self.known)

    def peers(self):
        return {}


class RouterEnd:
    """
    A router's end of the feed; folds what it gets as the router does.
    """

    def __init__(self, version=-1, view=None):
        self.router = 'r1'
        self.version = version
        self.has_newer_settings = False
        self.got = []
        self.view = view or View(version=version)

    def send(self, body):
        self.got.append(body['type'])
        if body['type'] == 'snapshot':
            self.view = read_snapshot(body)
        else:
            self.view = fold_change(self.view, body)

    def finish(self):
        self.got.append('end')


class BrokenEnd(RouterEnd):
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
        self.members = Members()
        self.ref = FeedActor.start(self.members)
        self.addCleanup(self.ref.stop)
        self.feed = self.ref.proxy()

    def connect(self, router):
        self.feed.connect(router, {'type': 'hello'}).get()
        return router

    def show_target(self, name):
        self.members.known[name] = Target(
            name, TargetKind.SERVICE, '127.0.0.1:1', 'a', 'stock'
        )
        self.feed.update_members().get()

    def test_snapshot_then_changes_only(self):
        self.feed.update_settings(effective(3, 'a/x', 'a/y')).get()
        router = self.connect(RouterEnd())
        self.feed.update_settings(effective(4, 'a/x', 'a/z')).get()
        self.show_target('s1')
        self.show_target('s1')
        self.assertEqual(router.got, ['snapshot', 'change', 'change'])
        self.assertEqual(set(router.view.workspaces), {'a/x', 'a/z'})
        self.assertEqual(router.view, self.feed.view().get())

    def test_router_that_connects_again_gets_a_snapshot(self):
        self.feed.update_settings(effective(3, 'a/x')).get()
        router = self.connect(RouterEnd())
        self.feed.disconnect(router).get()
        self.feed.update_settings(effective(4, 'a/y')).get()
        again = self.connect(RouterEnd(3, router.view))
        self.assertEqual(router.got, ['snapshot', 'end'])
        self.assertEqual(again.got, ['snapshot'])
        self.assertEqual(set(again.view.workspaces), {'a/y'})

    def test_router_whose_last_connection_ends_is_lost(self):
        first, second = RouterEnd(), RouterEnd()
        self.connect(first)
        self.connect(second)
        self.feed.disconnect(first).get()
        self.assertEqual(self.members.reports, ['hello', 'hello'])
        self.feed.disconnect(second).get()
        self.assertEqual(self.members.reports[-1], 'lost')

    def test_agent_without_settings_leaves_those_of_its_router(self):
        held = View(
            version=9, workspaces={'a/x': WorkspaceSettings('a/x', 'a')}
        )
        router = self.connect(RouterEnd(9, held))
        self.show_target('s1')
        self.feed.update_settings(effective(8, 'a/old')).get()
        self.assertEqual(set(router.view.workspaces), {'a/x'})
        self.assertEqual(set(router.view.targets), {'s1'})
        self.feed.update_settings(effective(9, 'a/x')).get()
        self.assertEqual(router.got[-1], 'snapshot')
        self.assertEqual(router.view, self.feed.view().get())

    def test_feed_goes_on_after_a_message_that_fails(self):
        for message in ('connect', 'disconnect'):
            getattr(self.feed, message).defer(BrokenEnd(), {})
        self.feed.connect.defer(BrokenEnd(), {'type': 'hello'})
        self.feed.send_heartbeat.defer(0)
        router = self.connect(RouterEnd())
        self.assertEqual(router.got, ['snapshot'])
