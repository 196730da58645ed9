"""
The fold: log order decides which records change the settings.

It reads a record's shape only and not what its settings mean, so that agents
of different releases fold the same log to the same tree.
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

MAX_OUTCOMES = 256  # records
MAX_REMOVED_AGE_OFFSETS = (
    1_000_000  # how long a removed setting keeps its version
)


def fold(tree: Tree, record: LogRecord) -> Tree:
    """
    Take one configuration record into the tree.

    :param record: of a type that `is_settings_change` accepts; one that the tree
        already reaches changes nothing.
    """
    if record.offset <= tree.through:
        return tree
    parsed = parse_record(record)
    if parsed.id and find_outcome(tree, parsed.id):
        return _reach(tree, record)
    outcome = decide(tree, parsed, record)
    changed = tree
    if outcome.verdict is Verdict.ACCEPTED:
        changed = _apply(parsed, tree, record.offset)
    kept = (*changed.outcomes, outcome)[-MAX_OUTCOMES:]
    return _reach(replace(changed, outcomes=kept), record)


def decide(tree: Tree, parsed: ParsedRecord, record: LogRecord) -> Outcome:
    """
    Decide on one record: it is accepted whole or not at all.
    """
    blank = Outcome(
        record=parsed.id,
        offset=record.offset,
        verdict=Verdict.ACCEPTED,
        time=record.time,
    )
    return _judge(parsed, tree, blank)


def _reach(tree: Tree, record: LogRecord) -> Tree:
    return replace(tree, last=record.offset, through=record.offset)


@singledispatch
def _judge(parsed: ParsedRecord, tree: Tree, blank: Outcome) -> Outcome:
    raise TypeError(f'{parsed!r} is not folded')


@_judge.register
def _(parsed: MalformedRecord, tree: Tree, blank: Outcome) -> Outcome:
    return replace(blank, verdict=Verdict.MALFORMED, reason=parsed.reason)


@_judge.register
def _(parsed: RestoreRecord, tree: Tree, blank: Outcome) -> Outcome:
    signed = replace(blank, author=parsed.author, note=parsed.note)
    if tree.last > parsed.read:
        return replace(
            signed,
            verdict=Verdict.STALE,
            reason='another record came between',
        )
    return replace(signed, changed=len(parsed.settings))


@_judge.register
def _(parsed: ConfigRecord, tree: Tree, blank: Outcome) -> Outcome:
    signed = replace(blank, author=parsed.author, note=parsed.note)
    if parsed.read < tree.floor:
        return replace(
            signed,
            verdict=Verdict.STALE,
            reason='the settings that it was based on were replaced',
        )
    conflicts = find_conflicts(tree, parsed.changes)
    if conflicts:
        return replace(
            signed,
            verdict=Verdict.CONFLICT,
            reason='another record changed a setting first',
            conflicts=conflicts,
        )
    return replace(signed, changed=len(parsed.changes))


def find_conflicts(
    tree: Tree, changes: Iterable[Change]
) -> tuple[Conflict, ...]:
    """
    Return the settings whose version is not the one that a change is based on.
    """
    return tuple(
        _conflict(tree, change.setting)
        for change in changes
        if version_of(tree, change.setting) != change.base
    )


def _conflict(tree: Tree, setting: str) -> Conflict:
    entry = find_entry(tree, setting) or Entry(None, tree.version, '')
    return Conflict(setting, entry.version, entry.record)


@singledispatch
def _apply(parsed: ParsedRecord, tree: Tree, offset: int) -> Tree:
    raise TypeError(f'{parsed!r} is never accepted')


@_apply.register
def _(parsed: ConfigRecord, tree: Tree, offset: int) -> Tree:
    nodes = dict(tree.nodes)
    floor = max(tree.floor, offset - MAX_REMOVED_AGE_OFFSETS)
    removed = _recent(tree.removed, floor)
    for change in parsed.changes:
        entry = Entry(change.value, offset, parsed.id)
        _write(nodes, removed, change.setting, entry)
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


def _write(
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


def _recent(removed: Entries, floor: int) -> dict[str, Entry]:
    return {
        path: entry for path, entry in removed.items() if entry.version >= floor
    }
