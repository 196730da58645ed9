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
from mallowcrank.operators.asking import ask_each
from mallowcrank.operators.desk import Desk, get_admin, post_admin
from mallowcrank.operators.source import read_outcome
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran

RETRY_S = 0.2
OFFERED_AGENTS = 3
TIMED_OUT = 'the time is over'


@dataclass(frozen=True)
class Publication:
    """
    One record to publish.

    :param body: the record's body, with its id.
    :param replica: the settings that it was based on.
    :param deadline: steady time in seconds at which to give up.
    :param sent: whether it may have been appended before.
    """

    body: Mapping[str, Any]
    replica: Replica
    deadline: float
    sent: bool = False


@dataclass(frozen=True, slots=True)
class Signature:
    """
    Who writes a record, and why.

    :param record: the record's id, unique for each publication.
    """

    record: str
    author: str = ''
    note: str = ''


def publish(desk: Desk, publication: Publication) -> Outcome | Failure:
    """
    Append a record and return the fold's decision on it.

    After an answer was lost, the record is looked for by its id before it is
    appended again.

    :returns: a `Failure` that says whether the record may be in the log.
    """
    may_be_there = publication.sent
    reason = TIMED_OUT
    while desk.steady() < publication.deadline:
        if may_be_there:
            found = look_for(desk, publication)
            if isinstance(found, Outcome):
                return found
            if isinstance(found, Failure):
                reason = found.reason
                desk.sleep(RETRY_S)
                continue
        appended = desk.log.append(publication.body)
        may_be_there = True
        if isinstance(appended, Failure):
            reason = appended.reason
            may_be_there = appended.ran is not Ran.NO
            desk.sleep(RETRY_S)
        else:
            offer(desk, publication, appended)
    return Failure(reason, Ran.UNKNOWN if may_be_there else Ran.NO)


def offer(desk: Desk, publication: Publication, offset: int) -> None:
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
    ask_each(
        desk.settings.agents[:OFFERED_AGENTS],
        lambda agent: post_admin(agent, '/admin/records', to_plain(offered)),
    )


def look_for(desk: Desk, publication: Publication) -> Outcome | Failure | None:
    """
    Look for a record by its id, with the agents first and then in the log.

    :returns: its outcome, `None` where it is not in the log, or a `Failure`
        where that can't be told.
    """
    record = publication.body['id']
    for agent in desk.settings.agents:
        told = ask_outcome(agent, record)
        if told is not None:
            return told
    return read_outcome(publication.replica, desk.log, record)


def ask_outcome(agent: str, record: str) -> Outcome | None:
    """
    Return what an agent knows of a record.
    """
    answer = get_admin(agent, f'/admin/settings?record={record}')
    if isinstance(answer, Failure) or answer.get('outcome') is None:
        return None
    return from_plain(answer['outcome'], Outcome)


def change_body(
    replica: Replica, difference: Difference, signature: Signature
) -> dict[str, Any]:
    """
    Return the body of a record with changes.
    """
    return to_body(
        ConfigRecord(
            id=signature.record,
            changes=difference.changes,
            read=replica.tree.through,
            author=signature.author,
            note=signature.note,
        )
    )


def restore_body(
    replica: Replica, draft: Draft, signature: Signature
) -> dict[str, Any]:
    """
    Return the body of a record that sets the whole tree anew.
    """
    return to_body(
        RestoreRecord(
            id=signature.record,
            settings=dict(draft.settings),
            read=replica.read_through,
            author=signature.author,
            note=signature.note,
        )
    )
