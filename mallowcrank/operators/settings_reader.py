"""
Reads settings from agents and from the platform's log.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any

from mallowcrank.codec import from_plain
from mallowcrank.config.outcomes import Outcome
from mallowcrank.config.replica import Replica, apply_page
from mallowcrank.config.search import Search, search_page
from mallowcrank.config.tree import Entry, Tree, split_path
from mallowcrank.operators.client import OperatorClient, get_admin
from mallowcrank.operators.concurrent_calls import call_each
from mallowcrank.ports import Failure, LogPort
from mallowcrank.refusals import Ran

PAGE_RECORDS = 500


def read_replica(client: OperatorClient) -> Replica | Failure:
    """
    Return the settings of the most advanced agent plus later log records.

    :returns: a `Failure` if neither agents nor the log can be read.
    """
    trees = fetch_trees(client.settings.agents)
    replica = Replica()
    if trees:
        latest = max(trees, key=lambda tree: tree.through)
        replica = Replica(tree=latest, read_through=latest.through)
    if client.log is None:
        if trees:
            return replica
        return Failure('no agent answered and no --log is given', Ran.NO)
    read = read_to_end(replica, client.log)
    if isinstance(read, Failure) and trees:
        return replica
    return read


def read_tree(client: OperatorClient) -> Tree | Failure:
    """
    Return the settings in force, or a `Failure` if they are incomplete.
    """
    replica = read_replica(client)
    if isinstance(replica, Failure):
        return replica
    if replica.tree is None or not replica.is_complete:
        return Failure(
            'records before the oldest kept one are missing, and no agent '
            'answered that has them',
            Ran.NO,
        )
    return replica.tree


def read_to_end(replica: Replica, log: LogPort) -> Replica | Failure:
    """
    Read the log up to its current end.
    """
    current = replica
    while True:
        page = log.read(current.read_through + 1, PAGE_RECORDS, 0)
        if isinstance(page, Failure):
            return page
        current = apply_page(current, page)
        if current.read_through >= page.next - 1:
            return current


def read_outcome(
    replica: Replica, log: LogPort, record: str
) -> Outcome | Failure | None:
    """
    Search the log for a record's outcome, after what a replica has read.

    :param record: the record's id.
    :returns: its outcome, `None` if it is not in the log, or a `Failure` if
        that is unknown.
    """
    search = Search(record, replica)
    while True:
        page = log.read(search.replica.read_through + 1, PAGE_RECORDS, 0)
        if isinstance(page, Failure):
            return page
        search = search_page(search, page)
        if search.outcome is not None:
            return search.outcome
        if search.has_gap:
            return Failure('the log has lost records', Ran.UNKNOWN)
        if search.replica.read_through >= page.next - 1:
            return None


def fetch_trees(agents: Iterable[str]) -> list[Tree]:
    """
    Return the trees of all agents that respond and have one.
    """
    responses = call_each(
        agents, lambda each: get_admin(each, '/admin/settings')
    )
    return [
        parse_tree(response)
        for response in responses.values()
        if not isinstance(response, Failure)
        and response.get('settings') is not None
    ]


def parse_tree(page: Mapping[str, Any]) -> Tree:
    """
    Build a tree from an agent's `/admin/settings` response.
    """
    nodes: dict[str, dict[str, Entry]] = {}
    for path, fields in page['settings'].items():
        node, name = split_path(path)
        nodes.setdefault(node, {})[name] = Entry(**fields)
    return replace(
        Tree(),
        version=page['version'],
        last=page['last'],
        through=page['through'],
        floor=page['floor'],
        nodes=nodes,
        removed={
            removed_path: Entry(**entry)
            for removed_path, entry in page['removed'].items()
        },
        outcomes=from_plain(page['outcomes'], tuple[Outcome, ...]),
    )
