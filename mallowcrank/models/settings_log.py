"""
Models a small log of settings records, for two specifications.

Two publishers change the same setting, and a third writer restores the whole
tree. Records are folded by the product's own functions.
"""

from collections.abc import Callable
from dataclasses import replace
from functools import cache
from typing import NamedTuple

from mallowcrank.config.fold import fold
from mallowcrank.config.parsing import is_settings_change, to_body
from mallowcrank.config.records import Change, ConfigRecord, RestoreRecord
from mallowcrank.config.snapshots import make_snapshot
from mallowcrank.config.tree import Tree, version_of
from mallowcrank.ports import LogRecord

SETTING = 'organisation.streams'
RESTORED_SETTING = 'organisation.urgency'
PUBLISHERS = ('p', 'q')
RESTORER = 'r'
SNAPSHOT = 'snapshot'

BASE_CHECK = 'a change must be based on the current version'
DUPLICATES = 'a duplicate record is recognized by its id'
RESTORE_FLOOR = 'a change that had not read the last restore is rejected'
RESTORE_CONFLICT = 'a restore is rejected if it misses an earlier change'
FOLD_RULES = (BASE_CHECK, DUPLICATES, RESTORE_FLOOR, RESTORE_CONFLICT)

Rules = frozenset[str]
NONE_DISABLED: Rules = frozenset()


class Entry(NamedTuple):
    """
    The parts of a log record that vary.

    :param writer: a publisher, the restorer, or `snapshot`.
    :param base: the version that a change is based on.
    :param last_read: the last offset that the writer had read; for a
        snapshot the last one that it covers.
    """

    writer: str
    base: int
    last_read: int


Log = tuple[Entry, ...]
FoldLog = Callable[[Log], Tree]


@cache
def to_record(disabled: Rules, log: Log, offset: int) -> LogRecord:
    """
    Return a log record in the product's types.

    :param disabled: rules that are not applied.
    """
    entry = log[offset]
    if entry.writer == SNAPSHOT:
        tree = fold_history(disabled, log[: entry.last_read + 1])
        body = to_body(make_snapshot(tree, f's{offset}', 'h'))
    elif entry.writer == RESTORER:
        body = to_body(
            RestoreRecord(RESTORER, {RESTORED_SETTING: 1}, entry.last_read)
        )
    else:
        change = Change(SETTING, entry.base, entry.writer)
        record = ConfigRecord(entry.writer, (change,), entry.last_read)
        body = to_body(record)
    return LogRecord(offset, float(offset), body)


@cache
def fold_history(disabled: Rules, log: Log) -> Tree:
    """
    Return the tree that all records of a log fold to.
    """
    tree = Tree()
    for offset, _ in enumerate(log):
        record = to_record(disabled, log, offset)
        if is_settings_change(record):
            tree = fold_mutated(disabled, tree, record)
        tree = replace(tree, through=offset)
    return tree


def fold_mutated(disabled: Rules, tree: Tree, record: LogRecord) -> Tree:
    """
    Fold by the product's function, on a record that bypasses disabled rules.
    """
    body = dict(record.body)
    if BASE_CHECK in disabled and 'changes' in body:
        version = version_of(tree, SETTING)
        body['changes'] = [{**body['changes'][0], 'base': version}]
    if RESTORE_FLOOR in disabled and 'changes' in body:
        body['read'] = record.offset
    if RESTORE_CONFLICT in disabled and 'settings' in body:
        body['read'] = record.offset
    mutated = replace(record, body=body)
    if DUPLICATES not in disabled:
        return fold(tree, mutated)
    folded = fold(replace(tree, outcomes=()), mutated)
    return replace(folded, outcomes=(*tree.outcomes, *folded.outcomes))
