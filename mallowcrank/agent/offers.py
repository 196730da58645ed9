"""
Records that an operator's client has appended and hands to agents, in case the
log is out before any of them has read it.
"""

from typing import Any

from mallowcrank.agent.messages import OfferedRecord, RecordMessage
from mallowcrank.config.replica import Replica


def to_record_message(
    offered: OfferedRecord, replica: Replica
) -> RecordMessage | None:
    """
    Return an offered record as agents pass it on.

    :returns: `None` where a record before it may be missing: the fold depends
        on all of them.
    """
    tree = replica.tree
    if tree is None:
        return None
    after = offered.after
    if tree.through == offered.offset - 1:
        after = tree.last
    if after is None:
        return None
    return RecordMessage(offered.offset, offered.time, after, offered.body)


def apply_offered_record(offered: OfferedRecord, settings: Any) -> bool:
    """
    Have an offered record taken in.

    :param settings: a proxy of the `SettingsActor`.
    :returns: whether it has been folded.
    """
    message = to_record_message(offered, settings.replica().get())
    if message is None:
        return False
    settings.apply_message(message).get()
    return settings.replica().get().tree.through >= offered.offset
