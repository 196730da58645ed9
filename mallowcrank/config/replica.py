"""
One agent's replica of the tree: what it takes from the log and from peers.

A replica never goes back: it takes only what reaches further than it does,
and only where no record between is missing.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from mallowcrank.config.fold import fold
from mallowcrank.config.parsing import (
    is_settings_change,
    is_snapshot,
    parse_record,
)
from mallowcrank.config.records import (
    MalformedRecord,
    RestoreRecord,
    SnapshotRecord,
)
from mallowcrank.config.snapshots import open_snapshot
from mallowcrank.config.tree import Tree
from mallowcrank.ports import LogPage, LogRecord


@dataclass(frozen=True, slots=True)
class SnapshotInfo:
    """
    What is known of the latest snapshot in the log.

    :param offset: its place, or -1 for none.
    :param through: what it reaches.
    :param time: seconds since the epoch, by the log's clock.
    """

    offset: int = -1
    through: int = -1
    time: float = 0


@dataclass(frozen=True)
class Replica:
    """
    What one agent holds.

    :param tree: the settings, or `None` where nothing trustworthy was found.
    :param contiguous_from: the first offset from which all records have been read.
    :param read_through: the log was read up to this offset.
    :param log_start: the oldest offset that the log kept, when last read.
    :param first_record_time: time of the first record read, by the log's clock.
    :param pending: records read while those before them were missing.
    :param latest_snapshot: the latest snapshot seen in the log.
    """

    tree: Tree | None = None
    contiguous_from: int = 0
    read_through: int = -1
    log_start: int = 0
    first_record_time: float = 0
    pending: tuple[LogRecord, ...] = ()
    latest_snapshot: SnapshotInfo = SnapshotInfo()

    @property
    def is_complete(self) -> bool:
        """
        Tell whether nothing is missing between the tree and what was read.
        """
        return (
            self.tree is not None
            and self.tree.through + 1 >= self.contiguous_from
        )


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """
    A record that spreads from agent to agent.

    :param after: the offset of the folded record before it, so that a
        receiver knows whether it misses one.
    """

    record: LogRecord
    after: int


def apply_page(replica: Replica, page: LogPage) -> Replica:
    """
    Take in a page that was read from the offset after `read_through` on.
    """
    read = _note_first(replica, page)
    for record in page.records:
        read = _apply_record(read, record)
    if not page.records:
        read = replace(read, read_through=max(read.read_through, page.next - 1))
    return _settle(read)


def apply_tree(replica: Replica, offered: Tree) -> Replica:
    """
    Take a peer's or a snapshot's tree, where it reaches further.
    """
    own = replica.tree
    if own is not None and offered.through <= own.through:
        return replica
    if own is not None and offered.version < own.version:
        return replica
    return _settle(replace(replica, tree=offered))


def apply_peer_progress(replica: Replica, last: int, through: int) -> Replica:
    """
    Take in that a peer with the same tree misses nothing up to an offset.

    :param last: the last record that the peer's tree has folded.
    """
    own = replica.tree
    if own is None or own.last != last:
        return replica
    return apply_tree(replica, replace(own, through=through))


def apply_peer_record(replica: Replica, message: PeerRecord) -> Replica | None:
    """
    Take in a record that a peer passed on.

    :returns: `None` where records before it are missing.
    """
    tree = replica.tree
    if tree is None:
        return None
    if message.record.offset <= tree.through:
        return replica
    if message.after > tree.last:
        return None
    return _settle(replace(replica, tree=fold(tree, message.record)))


def _note_first(replica: Replica, page: LogPage) -> Replica:
    start = replica.read_through + 1
    noted = replace(replica, log_start=page.first)
    if page.first <= start:
        return noted
    return replace(
        noted,
        contiguous_from=page.first,
        read_through=page.first - 1,
        pending=(),
    )


def _apply_record(replica: Replica, record: LogRecord) -> Replica:
    if record.offset <= replica.read_through:
        return replica
    read = replace(
        replica,
        read_through=record.offset,
        first_record_time=replica.first_record_time or record.time,
    )
    if is_snapshot(record):
        return _apply_snapshot(read, record)
    if not is_settings_change(record):
        return read
    if read.is_complete:
        return replace(read, tree=fold(read.tree, record))
    if _is_base(read, record):
        return replace(read, tree=fold(Tree(), record), pending=())
    return replace(read, pending=(*read.pending, record))


def _is_base(replica: Replica, record: LogRecord) -> bool:
    """
    Tell whether a record restores all settings, so that none before matter.
    """
    parsed = parse_record(record)
    if not isinstance(parsed, RestoreRecord):
        return False
    last = replica.pending[-1].offset if replica.pending else -1
    return replica.contiguous_from <= parsed.read + 1 and last <= parsed.read


def _apply_snapshot(replica: Replica, record: LogRecord) -> Replica:
    parsed = parse_record(record)
    if not isinstance(parsed, SnapshotRecord):
        return replica
    noted = replica
    if parsed.through >= replica.latest_snapshot.through:
        latest = SnapshotInfo(record.offset, parsed.through, record.time)
        noted = replace(replica, latest_snapshot=latest)
    if replica.is_complete or parsed.through + 1 < replica.contiguous_from:
        return noted
    opened = open_snapshot(parsed)
    if isinstance(opened, MalformedRecord):
        return replica
    return apply_tree(noted, opened)


def _settle(replica: Replica) -> Replica:
    """
    Fold what was pending, once nothing before it is missing.
    """
    settled = replica
    if settled.tree is None and settled.contiguous_from == 0:
        settled = replace(settled, tree=Tree())
    if not settled.is_complete:
        return settled
    tree = fold_all(settled.tree, settled.pending)
    reach = max(tree.through, settled.read_through)
    return replace(settled, tree=replace(tree, through=reach), pending=())


def fold_all(tree: Tree, records: Iterable[LogRecord]) -> Tree:
    """
    Fold records in the order of the log.
    """
    folded = tree
    for record in records:
        folded = fold(folded, record)
    return folded
