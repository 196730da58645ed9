"""
Looking for a record in the log by its id.
"""

from dataclasses import dataclass, replace

from mallowcrank.config.outcomes import Outcome
from mallowcrank.config.replica import Replica, apply_page
from mallowcrank.config.tree import find_outcome
from mallowcrank.ports import LogPage


@dataclass(frozen=True)
class Search:
    """
    How far a search has come.

    :param replica: what was read so far.
    :param outcome: what became of the record, once it was found.
    :param has_gap: whether the log has lost records that were not read, so
        that one that is not found may have been among them.
    """

    record_id: str
    replica: Replica
    outcome: Outcome | None = None
    has_gap: bool = False


def search_page(search: Search, page: LogPage) -> Search:
    """
    Take in a page, up to the record that is looked for.
    """
    start = search.replica.read_through + 1
    found = replace(search, has_gap=search.has_gap or page.first > start)
    for each in page.records:
        read = apply_page(found.replica, replace(page, records=(each,)))
        found = replace(found, replica=read)
        outcome = read.tree and find_outcome(read.tree, search.record_id)
        if outcome:
            return replace(found, outcome=outcome)
    if not page.records:
        read = apply_page(found.replica, page)
        found = replace(found, replica=read)
    return found
