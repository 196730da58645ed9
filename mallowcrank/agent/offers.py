"""
Records that an operator's client appended and sends to agents directly.

The log may become unavailable before any agent has read such a record.
"""

from typing import Any

from mallowcrank.agent.messages import OfferedRecord, RecordMessage
from mallowcrank.config.replica import Replica


def to_record_message(
    offered: OfferedRecord, replica: Replica
) -> RecordMessage | None:
    """
    Convert an offered record to a message between agents.

    :returns: `None` if an earlier record may be missing here, since the fold
        depends on all earlier records.
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
    Apply an offered record to the settings, if no earlier one is missing.

    :param settings: a proxy of the `SettingsActor`.
    :returns: whether the record has been folded.
    """
    message = to_record_message(offered, settings.replica().get())
    if message is None:
        return False
    settings.apply_message(message).get()
    return settings.replica().get().tree.through >= offered.offset
