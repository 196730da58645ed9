"""
The fold of settings, and what follows from the folded tree.
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


def write(tree, offset, name, *changes):
    record = ConfigRecord(name, tuple(changes), read=offset - 1)
    return fold(tree, LogRecord(offset, 1.0, to_body(record)))


def tree_of(settings):
    changes = [Change(path, -1, value) for path, value in settings.items()]
    return write(Tree(), 0, 'first', *changes)


class TestFold(TestCase):
    def test_first_of_two_racing_records_wins_and_the_other_is_told(self):
        tree = write(Tree(), 3, 'ann', Change(RATE, -1, 10))
        tree = write(tree, 5, 'bea', Change(RATE, -1, 20))
        lost = find_outcome(tree, 'bea')
        self.assertIs(lost.verdict, Verdict.CONFLICT)
        self.assertEqual(lost.conflicts[0].winner, 'ann')
        self.assertEqual(lost.conflicts[0].setting, RATE)
        self.assertEqual(tree.version, 3)

    def test_record_is_taken_whole_or_not_at_all(self):
        tree = write(Tree(), 0, 'ann', Change(RATE, -1, 10))
        both = (Change(STREAMS, -1, 5), Change(RATE, -1, 20))
        tree = write(tree, 1, 'bea', *both)
        self.assertEqual(version_of(tree, STREAMS), -1)

    def test_removed_setting_keeps_its_version(self):
        tree = write(Tree(), 0, 'ann', Change(RATE, -1, 10))
        tree = write(tree, 1, 'bea', Change(RATE, 0, None))
        tree = write(tree, 2, 'cid', Change(RATE, -1, 30))
        self.assertIs(find_outcome(tree, 'cid').verdict, Verdict.CONFLICT)

    def test_malformed_records_are_passed_over(self):
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

    def test_snapshot_brings_back_the_same_tree(self):
        tree = write(Tree(), 0, 'ann', Change(RATE, -1, 10))
        opened = open_snapshot(make_snapshot(tree, 's', 'host'))
        self.assertEqual(opened, tree)
        self.assertEqual(
            digest_of(unpack_tree(pack_tree(tree))), digest_of(tree)
        )


class TestEffective(TestCase):
    def setUp(self):
        self.tree = tree_of(
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
        counter = compute_effective(self.tree).workspaces['klang/counter']
        self.assertEqual(counter.request_rate, 70)
        self.assertEqual(counter.streams, 32)
        self.assertEqual((counter.branch_share, counter.share), (3, 1))

    def test_values_that_are_of_no_use_count_as_not_written(self):
        tree = write(
            self.tree,
            1,
            'newer',
            Change(f'{COUNTER}.streams', 0, 'many'),
            Change(f'{COUNTER}.future', -1, 1),
        )
        counter = compute_effective(tree).workspaces['klang/counter']
        self.assertEqual(counter.streams, 8)

    def test_each_change_gives_the_same_as_working_out_anew(self):
        changes = (
            Change('organisation.timeout_s', -1, 5),
            Change('branches.klang.request_rate', 0, 90),
            Change(f'{COUNTER}.present', 0, None),
            Change('services.stock.present', -1, True),
            Change('branches.klang.present', 0, None),
        )
        tree, effective = self.tree, compute_effective(self.tree)
        for offset, change in enumerate(changes, start=1):
            after = write(tree, offset, f'r{offset}', change)
            effective = compute_effective(after, effective, tree)
            self.assertEqual(effective, compute_effective(after))
            tree = after
