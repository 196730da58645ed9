"""
The fold of settings records, and the effective settings of the tree.
"""

from unittest import TestCase

from mallowcrank.config.effective import compute_effective
from mallowcrank.config.fold import fold
from mallowcrank.config.outcomes import Verdict
from mallowcrank.config.parsing import to_body
from mallowcrank.config.records import Change, ConfigRecord
from mallowcrank.config.snapshots import (
    digest_of,
    make_snapshot,
    open_snapshot,
    pack_tree,
    unpack_tree,
)
from mallowcrank.config.tree import Tree, find_outcome, version_of
from mallowcrank.ports import LogRecord

RATE = 'organisation.request_rate'
STREAMS = 'organisation.streams'
COUNTER = 'branches.klang.workspaces.counter'


def fold_record(tree, offset, name, *changes):
    record = ConfigRecord(name, tuple(changes), read=offset - 1)
    return fold(tree, LogRecord(offset, 1.0, to_body(record)))


def make_tree(settings):
    changes = [Change(path, -1, value) for path, value in settings.items()]
    return fold_record(Tree(), 0, 'first', *changes)


class TestFold(TestCase):
    def test_later_of_two_concurrent_changes_conflicts(self):
        """
        Guards against a lost update: two records change the same setting from
        the same base, and the later one must not overwrite the first.
        """
        tree = fold_record(Tree(), 3, 'ann', Change(RATE, -1, 10))
        tree = fold_record(tree, 5, 'bea', Change(RATE, -1, 20))
        rejected = find_outcome(tree, 'bea')
        self.assertIs(rejected.verdict, Verdict.CONFLICT)
        self.assertEqual(rejected.conflicts[0].winner, 'ann')
        self.assertEqual(rejected.conflicts[0].setting, RATE)
        self.assertEqual(tree.version, 3)

    def test_conflicting_record_changes_nothing(self):
        """
        Guards against partly applied records: one change conflicts, so the
        other one must not be applied either.
        """
        tree = fold_record(Tree(), 0, 'ann', Change(RATE, -1, 10))
        both = (Change(STREAMS, -1, 5), Change(RATE, -1, 20))
        tree = fold_record(tree, 1, 'bea', *both)
        self.assertEqual(version_of(tree, STREAMS), -1)

    def test_removed_setting_keeps_its_version(self):
        """
        Guards against a change that is based on "never written", but follows
        the removal of the setting.
        """
        tree = fold_record(Tree(), 0, 'ann', Change(RATE, -1, 10))
        tree = fold_record(tree, 1, 'bea', Change(RATE, 0, None))
        tree = fold_record(tree, 2, 'cid', Change(RATE, -1, 30))
        self.assertIs(find_outcome(tree, 'cid').verdict, Verdict.CONFLICT)

    def test_malformed_records_get_an_outcome_and_change_nothing(self):
        """
        Guards against malformed records that stop the fold or change the tree.
        """
        bodies = (
            {'id': 'a', 'type': 'config'},
            {'id': 'b', 'type': 'config', 'changes': []},
            {'id': 'c', 'type': 'config', 'changes': [{'setting': 'x'}]},
            {'id': 'd', 'type': 'config', 'changes': [{'setting': 7}, 3]},
            {'id': 'e', 'type': 'restore', 'settings': {'a.b': {}}},
        )
        tree = Tree()
        for offset, body in enumerate(bodies):
            tree = fold(tree, LogRecord(offset, 1.0, body))
        self.assertEqual(
            {outcome.verdict for outcome in tree.outcomes},
            {Verdict.MALFORMED},
        )
        self.assertEqual((tree.version, tree.through), (-1, 4))

    def test_snapshot_restores_the_same_tree(self):
        """
        Guards against snapshots that lose or alter parts of the tree.
        """
        tree = fold_record(Tree(), 0, 'ann', Change(RATE, -1, 10))
        opened = open_snapshot(make_snapshot(tree, 's', 'host'))
        self.assertEqual(opened, tree)
        self.assertEqual(
            digest_of(unpack_tree(pack_tree(tree))), digest_of(tree)
        )


class TestEffective(TestCase):
    def setUp(self):
        self.tree = make_tree(
            {
                'organisation.present': True,
                RATE: 50,
                STREAMS: 8,
                'branches.klang.present': True,
                'branches.klang.share': 3,
                'branches.klang.request_rate': 70,
                f'{COUNTER}.present': True,
                f'{COUNTER}.streams': 32,
            }
        )

    def test_workspace_inherits_and_overrides(self):
        """
        Guards against a wrong order of precedence: a workspace overrides its
        branch, which overrides the organisation.
        """
        counter = compute_effective(self.tree).workspaces['klang/counter']
        self.assertEqual(counter.request_rate, 70)
        self.assertEqual(counter.streams, 32)
        self.assertEqual((counter.branch_share, counter.share), (3, 1))

    def test_invalid_and_unknown_settings_are_ignored(self):
        """
        Guards against failing on settings of a newer release: the inherited
        value must apply instead.
        """
        tree = fold_record(
            self.tree,
            1,
            'newer',
            Change(f'{COUNTER}.streams', 0, 'many'),
            Change(f'{COUNTER}.future', -1, 1),
        )
        counter = compute_effective(tree).workspaces['klang/counter']
        self.assertEqual(counter.streams, 8)

    def test_incremental_update_equals_full_computation(self):
        """
        Guards against stale effective settings after a change is applied to
        those of the previous tree.
        """
        changes = (
            Change('organisation.timeout_s', -1, 5),
            Change('branches.klang.request_rate', 0, 90),
            Change(f'{COUNTER}.present', 0, None),
            Change('services.stock.present', -1, True),
            Change('branches.klang.present', 0, None),
        )
        tree, effective = self.tree, compute_effective(self.tree)
        for offset, change in enumerate(changes, start=1):
            new_tree = fold_record(tree, offset, f'r{offset}', change)
            effective = compute_effective(new_tree, effective, tree)
            self.assertEqual(effective, compute_effective(new_tree))
            tree = new_tree
