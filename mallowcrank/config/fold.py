"""
Folds configuration records into the settings tree, in log order.

The fold checks only a record's structure, not what its settings mean, so that
agents of different releases fold the same log into the same tree.
"""

from collections.abc import Iterable
from dataclasses import replace
from functools import singledispatch

from mallowcrank.config.outcomes import Conflict, Outcome, Verdict
from mallowcrank.config.parsing import (
    parse_record,
)
from mallowcrank.config.records import (
    Change,
    ConfigRecord,
    MalformedRecord,
    ParsedRecord,
    RestoreRecord,
)
from mallowcrank.config.tree import (
    Entries,
    Entry,
    Tree,
    find_entry,
    find_outcome,
    split_path,
    version_of,
)
from mallowcrank.ports import LogRecord

MAX_OUTCOMES = 256
MAX_REMOVED_AGE_OFFSETS = 1_000_000  # then its version is dropped


def fold(tree: Tree, record: LogRecord) -> Tree:
    """
    Return the tree after one configuration record.

    :param record: a record that `is_settings_change` accepts; it is ignored if
        the tree covers its offset already.
    :returns: the tree with the record's outcome, and with its changes if it
        was accepted.
    :raises KeyError: when it is not a configuration record.
    :raises TypeError: when it is a snapshot.
    """
    if record.offset <= tree.through:
        return tree
    parsed = parse_record(record)
    if parsed.id and find_outcome(tree, parsed.id):
        return _advance(tree, record)
    outcome = decide(tree, parsed, record)
    folded = tree
    if outcome.verdict is Verdict.ACCEPTED:
        folded = _apply(parsed, tree, record.offset)
    recent = (*folded.outcomes, outcome)[-MAX_OUTCOMES:]
    return _advance(replace(folded, outcomes=recent), record)


def decide(tree: Tree, parsed: ParsedRecord, record: LogRecord) -> Outcome:
    """
    Return the outcome of one record, which is accepted whole or not at all.

    :param parsed: the parsed record.
    :param record: the same record as read from the log.
    :raises TypeError: when the record is a snapshot.
    """
    accepted = Outcome(
        record=parsed.id,
        offset=record.offset,
        verdict=Verdict.ACCEPTED,
        time=record.time,
    )
    return _decide_by_type(parsed, tree, accepted)


def _advance(tree: Tree, record: LogRecord) -> Tree:
    return replace(tree, last=record.offset, through=record.offset)


@singledispatch
def _decide_by_type(
    parsed: ParsedRecord, tree: Tree, accepted: Outcome
) -> Outcome:
    raise TypeError(f'{parsed!r} can not be folded')


@_decide_by_type.register
def _(parsed: MalformedRecord, tree: Tree, accepted: Outcome) -> Outcome:
    return replace(accepted, verdict=Verdict.MALFORMED, reason=parsed.reason)


@_decide_by_type.register
def _(parsed: RestoreRecord, tree: Tree, accepted: Outcome) -> Outcome:
    attributed = replace(accepted, author=parsed.author, note=parsed.note)
    if tree.last > parsed.read:
        return replace(
            attributed,
            verdict=Verdict.STALE,
            reason='another record came between',
        )
    return replace(attributed, changed=len(parsed.settings))


@_decide_by_type.register
def _(parsed: ConfigRecord, tree: Tree, accepted: Outcome) -> Outcome:
    attributed = replace(accepted, author=parsed.author, note=parsed.note)
    if parsed.read < tree.floor:
        return replace(
            attributed,
            verdict=Verdict.STALE,
            reason='the settings that it was based on were replaced',
        )
    conflicts = find_conflicts(tree, parsed.changes)
    if conflicts:
        return replace(
            attributed,
            verdict=Verdict.CONFLICT,
            reason='another record changed a setting first',
            conflicts=conflicts,
        )
    return replace(attributed, changed=len(parsed.changes))


def find_conflicts(
    tree: Tree, changes: Iterable[Change]
) -> tuple[Conflict, ...]:
    """
    Return a conflict for each change whose base is not the current version.
    """
    return tuple(
        _make_conflict(tree, change.setting)
        for change in changes
        if version_of(tree, change.setting) != change.base
    )


def _make_conflict(tree: Tree, setting: str) -> Conflict:
    entry = find_entry(tree, setting) or Entry(None, tree.version, '')
    return Conflict(setting, entry.version, entry.record)


@singledispatch
def _apply(parsed: ParsedRecord, tree: Tree, offset: int) -> Tree:
    raise TypeError(f'{parsed!r} can not be applied')


@_apply.register
def _(parsed: ConfigRecord, tree: Tree, offset: int) -> Tree:
    nodes = dict(tree.nodes)
    floor = max(tree.floor, offset - MAX_REMOVED_AGE_OFFSETS)
    removed = _drop_expired(tree.removed, floor)
    for change in parsed.changes:
        entry = Entry(change.value, offset, parsed.id)
        _write_entry(nodes, removed, change.setting, entry)
    return replace(
        tree, version=offset, floor=floor, nodes=nodes, removed=removed
    )


@_apply.register
def _(parsed: RestoreRecord, tree: Tree, offset: int) -> Tree:
    nodes: dict[str, dict[str, Entry]] = {}
    for path, value in parsed.settings.items():
        node, name = split_path(path)
        entry = Entry(value, offset, parsed.id)
        nodes.setdefault(node, {})[name] = entry
    return Tree(version=offset, floor=offset, nodes=nodes)


def _write_entry(
    nodes: dict[str, Entries],
    removed: dict[str, Entry],
    path: str,
    entry: Entry,
) -> None:
    node, name = split_path(path)
    entries = dict(nodes.get(node, {}))
    entries.pop(name, None)
    removed.pop(path, None)
    if entry.value is None:
        removed[path] = entry
    else:
        entries[name] = entry
    nodes[node] = entries
    if not entries:
        nodes.pop(node)


def _drop_expired(removed: Entries, floor: int) -> dict[str, Entry]:
    return {
        path: entry for path, entry in removed.items() if entry.version >= floor
    }
