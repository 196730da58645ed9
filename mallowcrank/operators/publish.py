"""
Publishes records: appends each exactly once and returns its outcome.
"""

import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from mallowcrank.agent.messages import OfferedRecord
from mallowcrank.codec import from_plain, to_plain
from mallowcrank.config.difference import Difference
from mallowcrank.config.files import Draft
from mallowcrank.config.outcomes import Outcome
from mallowcrank.config.parsing import to_body
from mallowcrank.config.records import ConfigRecord, RestoreRecord
from mallowcrank.config.replica import Replica
from mallowcrank.operators.client import OperatorClient, get_admin, post_admin
from mallowcrank.operators.concurrent_calls import call_each
from mallowcrank.operators.settings_reader import read_outcome
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran

RETRY_INTERVAL_S = 0.2
MAX_OFFERED_AGENTS = 3
TIMED_OUT = 'timed out'


@dataclass(frozen=True)
class Publication:
    """
    A record to publish.

    :param body: the record's body, including its id.
    :param replica: the settings that the record is based on.
    :param deadline: steady time in seconds at which to give up.
    :param may_be_appended: whether an earlier run may have appended it.
    """

    body: Mapping[str, Any]
    replica: Replica
    deadline: float
    may_be_appended: bool = False


@dataclass(frozen=True, slots=True)
class RecordMetadata:
    """
    The id of a record, its author and why it is published.

    :param record: the record's id, unique for each publication.
    """

    record: str
    author: str = ''
    note: str = ''


def publish(
    client: OperatorClient, publication: Publication
) -> Outcome | Failure:
    """
    Append a record and return its outcome.

    If a response was lost, the record is looked up by its id before it is
    appended again.

    :returns: the outcome, or a `Failure` that states whether the record may
        be in the log.
    """
    may_be_in_log = publication.may_be_appended
    reason = TIMED_OUT
    while client.steady() < publication.deadline:
        if may_be_in_log:
            found = look_up_outcome(client, publication)
            if isinstance(found, Outcome):
                return found
            if isinstance(found, Failure):
                reason = found.reason
                client.sleep(RETRY_INTERVAL_S)
                continue
        appended = client.log.append(publication.body)
        may_be_in_log = True
        if isinstance(appended, Failure):
            reason = appended.reason
            may_be_in_log = appended.ran is not Ran.NO
            client.sleep(RETRY_INTERVAL_S)
        else:
            offer_record(client, publication, appended)
    return Failure(reason, Ran.UNKNOWN if may_be_in_log else Ran.NO)


def offer_record(
    client: OperatorClient, publication: Publication, offset: int
) -> None:
    """
    Send an appended record to some agents, which spread it by gossip.

    The log may become unavailable before any agent has read the record.
    """
    tree = publication.replica.tree
    is_next = tree is not None and tree.through == offset - 1
    offered = OfferedRecord(
        offset,
        time.time(),
        tree.last if is_next else None,
        dict(publication.body),
    )
    call_each(
        client.settings.agents[:MAX_OFFERED_AGENTS],
        lambda agent: post_admin(agent, '/admin/records', to_plain(offered)),
    )


def look_up_outcome(
    client: OperatorClient, publication: Publication
) -> Outcome | Failure | None:
    """
    Look up a record by its id, on the agents first and then in the log.

    :returns: its outcome, `None` if it is not in the log, or a `Failure` if
        that is unknown.
    """
    record = publication.body['id']
    for agent in client.settings.agents:
        outcome = fetch_outcome(agent, record)
        if outcome is not None:
            return outcome
    return read_outcome(publication.replica, client.log, record)


def fetch_outcome(agent: str, record: str) -> Outcome | None:
    """
    Return a record's outcome from an agent, or `None` if it has none.
    """
    answer = get_admin(agent, f'/admin/settings?record={record}')
    if isinstance(answer, Failure) or answer.get('outcome') is None:
        return None
    return from_plain(answer['outcome'], Outcome)


def change_body(
    replica: Replica, difference: Difference, metadata: RecordMetadata
) -> dict[str, Any]:
    """
    Return the body of a record that changes settings.
    """
    return to_body(
        ConfigRecord(
            id=metadata.record,
            changes=difference.changes,
            read=replica.tree.through,
            author=metadata.author,
            note=metadata.note,
        )
    )


def restore_body(
    replica: Replica, draft: Draft, metadata: RecordMetadata
) -> dict[str, Any]:
    """
    Return the body of a record that restores the whole tree.
    """
    return to_body(
        RestoreRecord(
            id=metadata.record,
            settings=dict(draft.settings),
            read=replica.read_through,
            author=metadata.author,
            note=metadata.note,
        )
    )
