"""
When a snapshot is due, and whether one that was written is right.
"""

from mallowcrank.config.parsing import parse_record
from mallowcrank.config.records import MalformedRecord
from mallowcrank.config.replica import Replica
from mallowcrank.config.snapshots import digest_of, open_snapshot
from mallowcrank.findings import Finding
from mallowcrank.ports import LogRecord

SNAPSHOT_RETENTION_RATIO = 0.25  # of the retention, until a snapshot is renewed


def check_snapshot(replica: Replica, record: LogRecord) -> Finding | None:
    """
    Compare a snapshot with the replica's own tree.

    :returns: what is wrong with the snapshot, if anything is.
    """
    parsed = parse_record(record)
    place = f'record {record.offset}'
    if isinstance(parsed, MalformedRecord):
        return Finding(place, parsed.reason, 'it is passed over')
    opened = open_snapshot(parsed)
    if isinstance(opened, MalformedRecord):
        return Finding(place, opened.reason, 'it is passed over')
    own = replica.tree
    if own is None or own.last != opened.last:
        return None
    if digest_of(own) == parsed.digest:
        return None
    return Finding(
        place,
        'the snapshot differs from the settings here',
        'restart the agent on either host to fetch them again',
    )


def is_snapshot_due(replica: Replica, retention_s: float, now: float) -> bool:
    """
    Tell whether a snapshot must be written before retention takes records.

    :param retention_s: seconds that the log keeps a record.
    :param now: seconds since the epoch.
    """
    if not replica.is_complete or replica.read_through < 0:
        return False
    latest = replica.latest_snapshot
    if latest.offset < 0:
        return (
            now - replica.first_record_time
            > retention_s * SNAPSHOT_RETENTION_RATIO
        )
    if latest.offset < replica.log_start:
        return True
    return now - latest.time > retention_s * SNAPSHOT_RETENTION_RATIO
