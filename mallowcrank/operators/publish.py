"""
Publishing: append a record once, and learn what became of it.
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
TIMED_OUT = 'the time is over'


@dataclass(frozen=True)
class Publication:
    """
    One record to publish.

    :param body: the record's body, with its id.
    :param replica: the settings that it was based on.
    :param deadline: steady time in seconds at which to give up.
    :param may_be_appended: whether it may have been appended before.
    """

    body: Mapping[str, Any]
    replica: Replica
    deadline: float
    may_be_appended: bool = False


@dataclass(frozen=True, slots=True)
class RecordMetadata:
    """
    Who writes a record, and why.

    :param record: the record's id, unique for each publication.
    """

    record: str
    author: str = ''
    note: str = ''


def publish(
    client: OperatorClient, publication: Publication
) -> Outcome | Failure:
    """
    Append a record and return the fold's decision on it.

    After an answer was lost, the record is looked for by its id before it is
    appended again.

    :returns: a `Failure` that says whether the record may be in the log.
    """
    may_be_there = publication.may_be_appended
    reason = TIMED_OUT
    while client.steady() < publication.deadline:
        if may_be_there:
            found = look_up_outcome(client, publication)
            if isinstance(found, Outcome):
                return found
            if isinstance(found, Failure):
                reason = found.reason
                client.sleep(RETRY_INTERVAL_S)
                continue
        appended = client.log.append(publication.body)
        may_be_there = True
        if isinstance(appended, Failure):
            reason = appended.reason
            may_be_there = appended.ran is not Ran.NO
            client.sleep(RETRY_INTERVAL_S)
        else:
            offer_record(client, publication, appended)
    return Failure(reason, Ran.UNKNOWN if may_be_there else Ran.NO)


def offer_record(
    client: OperatorClient, publication: Publication, offset: int
) -> None:
    """
    Hand an accepted record to some agents, which pass it on: the log may be
    out before any of them has read it.
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
    Look for a record by its id, with the agents first and then in the log.

    :returns: its outcome, `None` where it is not in the log, or a `Failure`
        where that can't be told.
    """
    record = publication.body['id']
    for agent in client.settings.agents:
        told = fetch_outcome(agent, record)
        if told is not None:
            return told
    return read_outcome(publication.replica, client.log, record)


def fetch_outcome(agent: str, record: str) -> Outcome | None:
    """
    Return what an agent knows of a record.
    """
    answer = get_admin(agent, f'/admin/settings?record={record}')
    if isinstance(answer, Failure) or answer.get('outcome') is None:
        return None
    return from_plain(answer['outcome'], Outcome)


def change_body(
    replica: Replica, difference: Difference, metadata: RecordMetadata
) -> dict[str, Any]:
    """
    Return the body of a record with changes.
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
    Return the body of a record that sets the whole tree anew.
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
