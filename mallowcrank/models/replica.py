"""
One agent's replica of the settings, on a log that forgets.

The agent reads the log, starts late or again, and hears peers. By induction a
peer holds what the log folds to, up to some offset, so that late and stale
peers are all prefixes of the log's history. A publisher that lost its answer
looks for its record. The transitions call the product's own replica.
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
    ALL_RULES,
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

LOOK_FIRST = 'a lost append is looked for before it is sent again'
GAPS = 'a reader notices that the log has lost records'
CHAIN = "a peer's record names the one before it"
FURTHER = 'a tree is taken only if it reaches further'
IN_TIME = 'a snapshot is written before retention takes what it covers'
RULES = (LOOK_FIRST, GAPS, CHAIN, FURTHER, IN_TIME)

Seen = dict[str, Any]


class Reader(NamedTuple):
    """
    The agent's replica, packed so that states can be compared.

    :param tree: the packed tree, or no bytes for none.
    :param pending: offsets of pending records.
    :param top: the highest version that was in force since the start.
    """

    tree: bytes = b''
    since: int = 0
    reached: int = -1
    pending: tuple[int, ...] = ()
    top: int = -1


class State(NamedTuple):
    """
    All that the model follows.

    :param log: all records ever appended.
    :param first: the oldest one that is kept.
    :param blind: whether a record was sent again though the log had it.
    """

    log: Log = ()
    first: int = 0
    reader: Reader = Reader()
    blind: bool = False


Move = tuple[str, State]


def build(without: Rules) -> Protocol:
    """
    Make the protocol with some rules taken out.
    """
    return Protocol(
        name='replica',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=partial(_moves, without),
        invariants={
            'the agent holds what the log folds to': _agrees,
            'the version in force never goes back': _never_reverts,
            'no record is sent again blindly': lambda seen: not seen['blind'],
            'an agent can always start': partial(
                _can_start, IN_TIME not in without
            ),
        },
    )


def _moves(without: Rules, state: tuple[Any, ...]) -> list[Move]:
    now = State(*state)
    # What comes after a broken promise tells nothing more.
    if now.blind or not _agrees(now._asdict()):
        return []
    moves = [
        ('the agent restarts', now._replace(reader=Reader())),
        *_forget(now),
        *_read(without, now),
        *_hear(without, now),
        *_look(without, now),
    ]
    if len(now.log) < MAX_RECORDS:
        moves.extend((*_publish(now), *_restore(now), *_snapshot(now)))
    return moves


def _append(state: State, entry: Entry) -> State:
    return state._replace(log=(*state.log, entry))


def _publish(state: State) -> Iterator[Move]:
    written = [entry.writer for entry in state.log]
    # The publishers differ by name only: one order of them is enough.
    for name in PUBLISHERS:
        if name not in written:
            tree = fold_history(ALL_RULES, state.log)
            base = version_of(tree, SETTING)
            entry = Entry(name, base, len(written) - 1)
            yield f'{name} appends', _append(state, entry)
            return


def _restore(state: State) -> Iterator[Move]:
    written = [entry.writer for entry in state.log]
    if RESTORER not in written:
        entry = Entry(RESTORER, -1, len(written) - 1)
        yield 'r restores', _append(state, entry)


def _look(without: Rules, state: State) -> Iterator[Move]:
    for entry in state.log:
        if entry.writer not in PUBLISHERS or state.blind:
            continue
        if not _finds(without, state, entry):
            label = f'{entry.writer} appends again'
            yield label, _append(state, entry)._replace(blind=True)


def _finds(without: Rules, state: State, entry: Entry) -> bool:
    """
    Tell whether a publisher that lost an answer keeps from sending again.
    """
    if LOOK_FIRST in without:
        return False
    return finds_record(state.log, state.first, entry)


@cache
def finds_record(log: Log, first: int, entry: Entry) -> bool:
    """
    Tell whether a publisher finds its record, or can't tell.
    """
    tree = fold_history(ALL_RULES, log[: entry.read + 1])
    start = max(entry.read + 1, first)
    records = tuple(
        to_record(ALL_RULES, log, at) for at in range(start, len(log))
    )
    found = search_page(
        Search(entry.writer, Replica(tree=tree, read_through=entry.read)),
        LogPage(first, len(log), records),
    )
    return found.outcome is not None or found.has_gap


def _snapshot(state: State) -> Iterator[Move]:
    writers = [entry.writer for entry in state.log]
    if len(writers) >= MAX_RECORDS:
        return
    if writers.count(SNAPSHOT) >= MAX_SNAPSHOTS:
        return
    for through, _ in enumerate(state.log):
        label = f'a snapshot through {through} is written'
        yield label, _append(state, Entry(SNAPSHOT, -1, through))


def _forget(state: State) -> Iterator[Move]:
    if state.first < len(state.log):
        label = f'the log forgets record {state.first}'
        yield label, state._replace(first=state.first + 1)


def _read(without: Rules, state: State) -> Iterator[Move]:
    start = max(state.reader.reached + 1, state.first)
    first = state.first
    if GAPS in without:
        first = min(first, state.reader.reached + 1)
    reader = read_log(state.reader, state.log, first, start)
    if reader != state.reader:
        yield 'the agent reads', state._replace(reader=reader)


def _hear(without: Rules, state: State) -> Iterator[Move]:
    for at, _ in enumerate(state.log):
        heard = hear_record(without, state.reader, state.log, at)
        if heard != state.reader:
            label = f'the agent hears record {at}'
            yield label, state._replace(reader=heard)
        given = take_tree(without, state.reader, state.log, at + 1)
        if given != state.reader:
            label = f'a peer gives its tree through {at}'
            yield label, state._replace(reader=given)


# The agent


@cache
def read_log(reader: Reader, log: Log, first: int, start: int) -> Reader:
    """
    Let the agent read the record at an offset, if there is one.

    :param first: the oldest kept offset, as the log tells it.
    """
    ends = min(start + 1, len(log))
    records = tuple(to_record(ALL_RULES, log, at) for at in range(start, ends))
    page = LogPage(first, len(log), records)
    return _pack(reader, apply_page(_unpack(reader, log), page))


@cache
def hear_record(without: Rules, reader: Reader, log: Log, at: int) -> Reader:
    """
    Let the agent hear a record from a peer.
    """
    record = to_record(ALL_RULES, log, at)
    replica = _unpack(reader, log)
    if not is_settings_change(record) or replica.tree is None:
        return reader
    after = fold_history(ALL_RULES, log[:at]).last
    if CHAIN in without:
        after = replica.tree.last
    heard = apply_peer_record(replica, PeerRecord(record, after))
    return reader if heard is None else _pack(reader, heard)


@cache
def take_tree(without: Rules, reader: Reader, log: Log, reach: int) -> Reader:
    """
    Let the agent take the tree of a peer that has read some of the log.
    """
    offered = fold_history(ALL_RULES, log[:reach])
    replica = _unpack(reader, log)
    if FURTHER in without:
        return _pack(reader, replace(replica, tree=offered))
    return _pack(reader, apply_tree(replica, offered))


def _unpack(reader: Reader, log: Log) -> Replica:
    pending = tuple(to_record(ALL_RULES, log, at) for at in reader.pending)
    return Replica(
        tree=unpack(reader.tree) if reader.tree else None,
        contiguous_from=reader.since,
        read_through=reader.reached,
        pending=pending,
    )


def _pack(before: Reader, replica: Replica) -> Reader:
    tree = replica.tree
    version = -1 if tree is None else tree.version
    return Reader(
        tree=b'' if tree is None else pack_tree(tree),
        since=replica.contiguous_from,
        reached=replica.read_through,
        pending=tuple(record.offset for record in replica.pending),
        top=max(before.top, version),
    )


# Invariants


def _agrees(seen: Seen) -> bool:
    reader = seen['reader']
    if not reader.tree:
        return True
    through = unpack(reader.tree).through
    return reader.tree == pack_history(seen['log'][: through + 1])


@cache
def pack_history(log: Log) -> bytes:
    """
    Return what all records together fold to, packed.
    """
    return pack_tree(fold_history(ALL_RULES, log))


@cache
def unpack(packed: bytes) -> Tree:
    """
    Return a packed tree.
    """
    return unpack_tree(packed)


def _never_reverts(seen: Seen) -> bool:
    reader = seen['reader']
    if not reader.tree:
        return reader.top < 0
    return unpack(reader.tree).version >= reader.top


def _can_start(in_time: bool, seen: Seen) -> bool:
    """
    Tell whether an agent that has read the whole log has settings.

    :param in_time: whether a snapshot is always written in time.
    """
    log, first, reader = seen['log'], seen['first'], seen['reader']
    covered = first == 0 or any(
        entry.writer == SNAPSHOT and entry.read + 1 >= first
        for entry in log[first:]
    )
    if reader.reached + 1 < len(log) or not (covered or not in_time):
        return True
    return bool(reader.tree) or not log


REPLICA = Specification(name='replica', build=build, rules=RULES)
