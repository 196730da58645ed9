"""
A small log of settings records, as two specifications use it.

Two publishers change the same setting, and a third one restores the whole tree.
Records are folded by the product's own functions.
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
RESTORED = 'organisation.urgency'
PUBLISHERS = ('p', 'q')
RESTORER = 'r'
SNAPSHOT = 'snapshot'

BASES = 'a change is based on the version in force'
DOUBLES = 'a doubled record is known by its id'
FLOOR = 'a record from before a restore is too old'
RESTORES = 'a restore is refused when a record came between'
FOLD_RULES = (BASES, DOUBLES, FLOOR, RESTORES)

Rules = frozenset[str]
ALL_RULES: Rules = frozenset()


class Entry(NamedTuple):
    """
    One record of the log, in short.

    :param writer: a publisher, or `snapshot`.
    :param base: the version that a change is based on.
    :param read: what the writer had read; for a snapshot what it covers.
    """

    writer: str
    base: int
    read: int


Log = tuple[Entry, ...]
Truth = Callable[[Log], Tree]


@cache
def to_record(without: Rules, log: Log, at: int) -> LogRecord:
    """
    Return a record of the log as the product's types.
    """
    entry = log[at]
    if entry.writer == SNAPSHOT:
        tree = fold_history(without, log[: entry.read + 1])
        body = to_body(make_snapshot(tree, f's{at}', 'h'))
    elif entry.writer == RESTORER:
        body = to_body(RestoreRecord(RESTORER, {RESTORED: 1}, entry.read))
    else:
        change = Change(SETTING, entry.base, entry.writer)
        record = ConfigRecord(entry.writer, (change,), entry.read)
        body = to_body(record)
    return LogRecord(at, float(at), body)


@cache
def fold_history(without: Rules, log: Log) -> Tree:
    """
    Return the tree that all records together fold to.
    """
    tree = Tree()
    for at, _ in enumerate(log):
        record = to_record(without, log, at)
        if is_settings_change(record):
            tree = fold_mutated(without, tree, record)
        tree = replace(tree, through=at)
    return tree


def fold_mutated(without: Rules, tree: Tree, record: LogRecord) -> Tree:
    """
    Fold by the product's function, after undoing the rules taken out.
    """
    body = dict(record.body)
    if BASES in without and 'changes' in body:
        version = version_of(tree, SETTING)
        body['changes'] = [{**body['changes'][0], 'base': version}]
    if FLOOR in without and 'changes' in body:
        body['read'] = record.offset
    if RESTORES in without and 'settings' in body:
        body['read'] = record.offset
    mutated = replace(record, body=body)
    if DOUBLES not in without:
        return fold(tree, mutated)
    folded = fold(replace(tree, outcomes=()), mutated)
    return replace(folded, outcomes=(*tree.outcomes, *folded.outcomes))
