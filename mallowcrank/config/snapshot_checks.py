"""
Checks whether a new snapshot is due, and whether a written one is correct.
"""

from mallowcrank.config.parsing import parse_record
from mallowcrank.config.records import MalformedRecord
from mallowcrank.config.replica import Replica
from mallowcrank.config.snapshots import digest_of, open_snapshot
from mallowcrank.findings import Finding
from mallowcrank.ports import LogRecord

SNAPSHOT_INTERVAL_RATIO = 0.25  # of the log's retention


def check_snapshot(replica: Replica, record: LogRecord) -> Finding | None:
    """
    Compare a snapshot record with the replica's tree.

    :returns: a finding if the snapshot is not valid or differs from the tree,
        else `None`, also if the two are not comparable.
    """
    parsed = parse_record(record)
    location = f'record {record.offset}'
    if isinstance(parsed, MalformedRecord):
        return Finding(location, parsed.reason, 'it is passed over')
    opened = open_snapshot(parsed)
    if isinstance(opened, MalformedRecord):
        return Finding(location, opened.reason, 'it is passed over')
    current = replica.tree
    if current is None or current.last != opened.last:
        return None
    if digest_of(current) == parsed.digest:
        return None
    return Finding(
        location,
        'the snapshot differs from the settings here',
        'restart the agent on either host to fetch them again',
    )


def is_snapshot_due(replica: Replica, retention_s: float, now: float) -> bool:
    """
    Return whether a snapshot must be written now, so that the log doesn't drop
    records before a snapshot covers them.

    :param retention_s: how long the log keeps a record, in seconds.
    :param now: the current time, in seconds since the epoch.
    """
    if not replica.is_complete or replica.read_through < 0:
        return False
    latest = replica.latest_snapshot
    if latest.offset < 0:
        return (
            now - replica.first_record_time
            > retention_s * SNAPSHOT_INTERVAL_RATIO
        )
    if latest.offset < replica.log_start:
        return True
    return now - latest.time > retention_s * SNAPSHOT_INTERVAL_RATIO
