"""
Specifies one agent's replica of the settings, on a log with retention.

The agent reads the log, may start late or restart, and receives records and
trees from peers. By induction a peer holds what the log folds to up to some
offset, so that late and stale peers are all prefixes of the log's history. A
publisher whose append got no answer searches the log for its record. The
transitions call the product's own replica.
"""

from collections.abc import Iterator
from dataclasses import replace
from functools import cache, partial
from typing import Any, NamedTuple

from minicheck import Protocol

from mallowcrank.config.parsing import is_settings_change
from mallowcrank.config.replica import (
    PeerRecord,
    Replica,
    apply_page,
    apply_peer_record,
    apply_tree,
)
from mallowcrank.config.search import Search, search_page
from mallowcrank.config.snapshots import pack_tree, unpack_tree
from mallowcrank.config.tree import Tree, version_of
from mallowcrank.models.settings_log import (
    NONE_DISABLED,
    PUBLISHERS,
    RESTORER,
    SETTING,
    SNAPSHOT,
    Entry,
    Log,
    Rules,
    fold_history,
    to_record,
)
from mallowcrank.models.specification import Specification
from mallowcrank.ports import LogPage

MAX_RECORDS = 4
MAX_SNAPSHOTS = 1

SEARCH_FIRST = 'an unanswered append is searched for before it is sent again'
GAP_CHECK = 'a reader detects gaps left by retention'
CHAIN_CHECK = "a peer's record names the preceding change"
PROGRESS_CHECK = 'a tree is adopted only if it covers more of the log'
SNAPSHOT_IN_TIME = (
    'a snapshot is written before retention deletes what it covers'
)
RULES = (SEARCH_FIRST, GAP_CHECK, CHAIN_CHECK, PROGRESS_CHECK, SNAPSHOT_IN_TIME)

Fields = dict[str, Any]


class Reader(NamedTuple):
    """
    The agent's replica, packed so that states can be compared.

    :param tree: the packed tree, empty without one.
    :param contiguous_start: `contiguous_from` of the replica.
    :param last_offset: `read_through` of the replica.
    :param pending: offsets of pending records.
    :param highest_version: the highest version held since the start.
    """

    tree: bytes = b''
    contiguous_start: int = 0
    last_offset: int = -1
    pending: tuple[int, ...] = ()
    highest_version: int = -1


class State(NamedTuple):
    """
    The state of the model.

    :param log: all records ever appended.
    :param first_kept: the offset of the oldest record that is kept.
    :param resent_blindly: whether a record was sent again although the log
        contained it.
    """

    log: Log = ()
    first_kept: int = 0
    reader: Reader = Reader()
    resent_blindly: bool = False


Transition = tuple[str, State]


def build(disabled: Rules) -> Protocol:
    """
    Build the protocol.

    :param disabled: rules that are not applied.
    """
    return Protocol(
        name='replica',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=partial(_transitions, disabled),
        invariants={
            'the agent holds what the log folds to': _matches_log,
            'the current version never decreases': _never_reverts,
            'no record is sent again that the log contains': (
                lambda fields: not fields['resent_blindly']
            ),
            'an agent can always start': partial(
                _can_start, SNAPSHOT_IN_TIME not in disabled
            ),
        },
    )


def _transitions(disabled: Rules, state: tuple[Any, ...]) -> list[Transition]:
    current = State(*state)
    # Transitions after a violation show nothing new.
    if current.resent_blindly or not _matches_log(current._asdict()):
        return []
    transitions = [
        ('the agent restarts', current._replace(reader=Reader())),
        *_truncate(current),
        *_read(disabled, current),
        *_receive(disabled, current),
        *_resend(disabled, current),
    ]
    if len(current.log) < MAX_RECORDS:
        transitions.extend(
            (*_publish(current), *_restore(current), *_snapshot(current))
        )
    return transitions


def _append(state: State, entry: Entry) -> State:
    return state._replace(log=(*state.log, entry))


def _publish(state: State) -> Iterator[Transition]:
    writers = [entry.writer for entry in state.log]
    # The publishers differ by name only, so one order is enough.
    for name in PUBLISHERS:
        if name not in writers:
            tree = fold_history(NONE_DISABLED, state.log)
            base = version_of(tree, SETTING)
            entry = Entry(name, base, len(writers) - 1)
            yield f'{name} appends', _append(state, entry)
            return


def _restore(state: State) -> Iterator[Transition]:
    writers = [entry.writer for entry in state.log]
    if RESTORER not in writers:
        entry = Entry(RESTORER, -1, len(writers) - 1)
        yield 'r restores', _append(state, entry)


def _resend(disabled: Rules, state: State) -> Iterator[Transition]:
    for entry in state.log:
        if entry.writer not in PUBLISHERS or state.resent_blindly:
            continue
        if not _avoids_resend(disabled, state, entry):
            label = f'{entry.writer} appends again'
            yield label, _append(state, entry)._replace(resent_blindly=True)


def _avoids_resend(disabled: Rules, state: State, entry: Entry) -> bool:
    """
    Tell whether a publisher without an answer does not send again.
    """
    if SEARCH_FIRST in disabled:
        return False
    return finds_record(state.log, state.first_kept, entry)


@cache
def finds_record(log: Log, first_kept: int, entry: Entry) -> bool:
    """
    Tell whether a publisher finds its record or a gap in the log.
    """
    tree = fold_history(NONE_DISABLED, log[: entry.last_read + 1])
    start = max(entry.last_read + 1, first_kept)
    records = tuple(
        to_record(NONE_DISABLED, log, offset)
        for offset in range(start, len(log))
    )
    found = search_page(
        Search(entry.writer, Replica(tree=tree, read_through=entry.last_read)),
        LogPage(first_kept, len(log), records),
    )
    return found.outcome is not None or found.has_gap


def _snapshot(state: State) -> Iterator[Transition]:
    writers = [entry.writer for entry in state.log]
    if len(writers) >= MAX_RECORDS:
        return
    if writers.count(SNAPSHOT) >= MAX_SNAPSHOTS:
        return
    for through, _ in enumerate(state.log):
        label = f'a snapshot through {through} is written'
        yield label, _append(state, Entry(SNAPSHOT, -1, through))


def _truncate(state: State) -> Iterator[Transition]:
    if state.first_kept < len(state.log):
        label = f'retention deletes record {state.first_kept}'
        yield label, state._replace(first_kept=state.first_kept + 1)


def _read(disabled: Rules, state: State) -> Iterator[Transition]:
    start = max(state.reader.last_offset + 1, state.first_kept)
    first_kept = state.first_kept
    if GAP_CHECK in disabled:
        first_kept = min(first_kept, state.reader.last_offset + 1)
    reader = read_log(state.reader, state.log, first_kept, start)
    if reader != state.reader:
        yield 'the agent reads', state._replace(reader=reader)


def _receive(disabled: Rules, state: State) -> Iterator[Transition]:
    for offset, _ in enumerate(state.log):
        received = receive_record(disabled, state.reader, state.log, offset)
        if received != state.reader:
            label = f'the agent receives record {offset}'
            yield label, state._replace(reader=received)
        adopted = receive_tree(disabled, state.reader, state.log, offset + 1)
        if adopted != state.reader:
            label = f'a peer sends its tree through {offset}'
            yield label, state._replace(reader=adopted)


# The agent


@cache
def read_log(reader: Reader, log: Log, first_kept: int, start: int) -> Reader:
    """
    Let the agent read the record at an offset, if there is one.

    :param first_kept: the oldest kept offset, as the log reports it.
    :param start: the offset to read.
    """
    end = min(start + 1, len(log))
    records = tuple(
        to_record(NONE_DISABLED, log, offset) for offset in range(start, end)
    )
    page = LogPage(first_kept, len(log), records)
    return _pack(reader, apply_page(_unpack(reader, log), page))


@cache
def receive_record(
    disabled: Rules, reader: Reader, log: Log, offset: int
) -> Reader:
    """
    Let the agent receive a record from a peer.
    """
    record = to_record(NONE_DISABLED, log, offset)
    replica = _unpack(reader, log)
    if not is_settings_change(record) or replica.tree is None:
        return reader
    after = fold_history(NONE_DISABLED, log[:offset]).last
    if CHAIN_CHECK in disabled:
        after = replica.tree.last
    received = apply_peer_record(replica, PeerRecord(record, after))
    return reader if received is None else _pack(reader, received)


@cache
def receive_tree(
    disabled: Rules, reader: Reader, log: Log, read_count: int
) -> Reader:
    """
    Let the agent receive the tree of a peer that has read part of the log.

    :param read_count: how many records the peer has read.
    """
    offered = fold_history(NONE_DISABLED, log[:read_count])
    replica = _unpack(reader, log)
    if PROGRESS_CHECK in disabled:
        return _pack(reader, replace(replica, tree=offered))
    return _pack(reader, apply_tree(replica, offered))


def _unpack(reader: Reader, log: Log) -> Replica:
    pending = tuple(
        to_record(NONE_DISABLED, log, offset) for offset in reader.pending
    )
    return Replica(
        tree=unpack(reader.tree) if reader.tree else None,
        contiguous_from=reader.contiguous_start,
        read_through=reader.last_offset,
        pending=pending,
    )


def _pack(before: Reader, replica: Replica) -> Reader:
    tree = replica.tree
    version = -1 if tree is None else tree.version
    return Reader(
        tree=b'' if tree is None else pack_tree(tree),
        contiguous_start=replica.contiguous_from,
        last_offset=replica.read_through,
        pending=tuple(record.offset for record in replica.pending),
        highest_version=max(before.highest_version, version),
    )


# Invariants


def _matches_log(fields: Fields) -> bool:
    reader = fields['reader']
    if not reader.tree:
        return True
    through = unpack(reader.tree).through
    return reader.tree == pack_history(fields['log'][: through + 1])


@cache
def pack_history(log: Log) -> bytes:
    """
    Return the packed tree that all records of a log fold to.
    """
    return pack_tree(fold_history(NONE_DISABLED, log))


@cache
def unpack(packed: bytes) -> Tree:
    """
    Return the tree that was packed.
    """
    return unpack_tree(packed)


def _never_reverts(fields: Fields) -> bool:
    reader = fields['reader']
    if not reader.tree:
        return reader.highest_version < 0
    return unpack(reader.tree).version >= reader.highest_version


def _can_start(snapshots_in_time: bool, fields: Fields) -> bool:
    """
    Tell whether an agent that has read the whole log has settings.

    :param snapshots_in_time: whether snapshots are always written before
        retention deletes what they cover.
    """
    log, first_kept, reader = (
        fields['log'],
        fields['first_kept'],
        fields['reader'],
    )
    covered = first_kept == 0 or any(
        entry.writer == SNAPSHOT and entry.last_read + 1 >= first_kept
        for entry in log[first_kept:]
    )
    if reader.last_offset + 1 < len(log) or not (
        covered or not snapshots_in_time
    ):
        return True
    return bool(reader.tree) or not log


REPLICA = Specification(name='replica', build=build, rules=RULES)
