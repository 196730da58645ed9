"""
An agent's replica of the settings tree, updated from the log and from peers.

A replica never goes backwards: an update is applied only if it covers more of
the log, and only if no record in between is missing.
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
    Position and time of the latest snapshot in the log.

    :param offset: the snapshot record's offset, or -1 if there is none.
    :param through: the snapshot covers all records up to this offset.
    :param time: the record's time, in seconds since the epoch, by the log's
        clock.
    """

    offset: int = -1
    through: int = -1
    time: float = 0


@dataclass(frozen=True)
class Replica:
    """
    The settings that an agent has, and how much of the log it has read.

    :param tree: the settings, or `None` if no valid base was found yet.
    :param contiguous_from: all records from this offset to `read_through` have
        been read.
    :param read_through: the log has been read up to this offset.
    :param log_start: the oldest offset that the log still kept at the last
        read.
    :param first_record_time: time of the first record read, in seconds since
        the epoch, by the log's clock.
    :param pending: settings records that wait for missing earlier records.
    :param latest_snapshot: the latest snapshot read from the log.
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
        Return whether no record is missing between the tree and the records
        that were read.
        """
        return (
            self.tree is not None
            and self.tree.through + 1 >= self.contiguous_from
        )


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """
    A record received from a peer.

    :param record: the record as it is in the log.
    :param after: the offset of the previous folded record, so that a receiver
        can detect a missing one.
    """

    record: LogRecord
    after: int


def apply_page(replica: Replica, page: LogPage) -> Replica:
    """
    Return the replica after a page that was read from the offset after
    `read_through`.
    """
    updated = _record_log_start(replica, page)
    for record in page.records:
        updated = _apply_record(updated, record)
    if not page.records:
        updated = replace(
            updated, read_through=max(updated.read_through, page.next - 1)
        )
    return _fold_pending(updated)


def apply_tree(replica: Replica, candidate: Tree) -> Replica:
    """
    Return the replica with a peer's or a snapshot's tree, if that tree covers
    more of the log.
    """
    current = replica.tree
    if current is not None and candidate.through <= current.through:
        return replica
    if current is not None and candidate.version < current.version:
        return replica
    return _fold_pending(replace(replica, tree=candidate))


def apply_peer_progress(replica: Replica, last: int, through: int) -> Replica:
    """
    Return the replica after a peer with the same tree reported how much of
    the log the tree covers.

    :param last: offset of the last record folded into the peer's tree.
    :param through: the peer misses no record up to this offset.
    """
    current = replica.tree
    if current is None or current.last != last:
        return replica
    return apply_tree(replica, replace(current, through=through))


def apply_peer_record(replica: Replica, received: PeerRecord) -> Replica | None:
    """
    Return the replica after a record that a peer forwarded.

    :returns: `None` if earlier records are missing.
    """
    tree = replica.tree
    if tree is None:
        return None
    if received.record.offset <= tree.through:
        return replica
    if received.after > tree.last:
        return None
    return _fold_pending(replace(replica, tree=fold(tree, received.record)))


def _record_log_start(replica: Replica, page: LogPage) -> Replica:
    start = replica.read_through + 1
    updated = replace(replica, log_start=page.first)
    if page.first <= start:
        return updated
    return replace(
        updated,
        contiguous_from=page.first,
        read_through=page.first - 1,
        pending=(),
    )


def _apply_record(replica: Replica, record: LogRecord) -> Replica:
    if record.offset <= replica.read_through:
        return replica
    updated = replace(
        replica,
        read_through=record.offset,
        first_record_time=replica.first_record_time or record.time,
    )
    if is_snapshot(record):
        return _apply_snapshot(updated, record)
    if not is_settings_change(record):
        return updated
    if updated.is_complete:
        return replace(updated, tree=fold(updated.tree, record))
    if _is_full_restore(updated, record):
        return replace(updated, tree=fold(Tree(), record), pending=())
    return replace(updated, pending=(*updated.pending, record))


def _is_full_restore(replica: Replica, record: LogRecord) -> bool:
    """
    Return whether a record restores all settings, so that earlier records are
    not needed.
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
    updated = replica
    if parsed.through >= replica.latest_snapshot.through:
        latest = SnapshotInfo(record.offset, parsed.through, record.time)
        updated = replace(replica, latest_snapshot=latest)
    if replica.is_complete or parsed.through + 1 < replica.contiguous_from:
        return updated
    opened = open_snapshot(parsed)
    if isinstance(opened, MalformedRecord):
        return replica
    return apply_tree(updated, opened)


def _fold_pending(replica: Replica) -> Replica:
    """
    Fold the pending records, once no earlier record is missing.
    """
    folded = replica
    if folded.tree is None and folded.contiguous_from == 0:
        folded = replace(folded, tree=Tree())
    if not folded.is_complete:
        return folded
    tree = fold_all(folded.tree, folded.pending)
    covered = max(tree.through, folded.read_through)
    return replace(folded, tree=replace(tree, through=covered), pending=())


def fold_all(tree: Tree, records: Iterable[LogRecord]) -> Tree:
    """
    Return the tree after records in log order.
    """
    folded = tree
    for record in records:
        folded = fold(folded, record)
    return folded
