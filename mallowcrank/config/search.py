"""
Searches the log for a record by its id.
"""

from dataclasses import dataclass, replace

from mallowcrank.config.outcomes import Outcome
from mallowcrank.config.replica import Replica, apply_page
from mallowcrank.config.tree import find_outcome
from mallowcrank.ports import LogPage


@dataclass(frozen=True)
class Search:
    """
    The state of a search.

    :param record_id: the id of the record to find.
    :param replica: the replica after the records read so far.
    :param outcome: the record's outcome, once the record is found.
    :param has_gap: whether the log dropped records before they were read, so
        that the record may have been among them.
    """

    record_id: str
    replica: Replica
    outcome: Outcome | None = None
    has_gap: bool = False


def search_page(search: Search, page: LogPage) -> Search:
    """
    Return the search after a page, which is read up to the record if the page
    has it.
    """
    start = search.replica.read_through + 1
    updated = replace(search, has_gap=search.has_gap or page.first > start)
    for each in page.records:
        new_replica = apply_page(
            updated.replica, replace(page, records=(each,))
        )
        updated = replace(updated, replica=new_replica)
        outcome = new_replica.tree and find_outcome(
            new_replica.tree, search.record_id
        )
        if outcome:
            return replace(updated, outcome=outcome)
    if not page.records:
        new_replica = apply_page(updated.replica, page)
        updated = replace(updated, replica=new_replica)
    return updated
