"""
Where an operators' command gets the settings from.
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
    Return the settings of the agent that reaches furthest, and what the log
    holds beyond.

    :returns: a `Failure` where neither agents nor the log can be read.
    """
    trees = fetch_trees(client.settings.agents)
    replica = Replica()
    if trees:
        best = max(trees, key=lambda tree: tree.through)
        replica = Replica(tree=best, read_through=best.through)
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
    Return the settings in force.
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
    Read the log to its present end.
    """
    read = replica
    while True:
        page = log.read(read.read_through + 1, PAGE_RECORDS, 0)
        if isinstance(page, Failure):
            return page
        read = apply_page(read, page)
        if read.read_through >= page.next - 1:
            return read


def read_outcome(
    replica: Replica, log: LogPort, record: str
) -> Outcome | Failure | None:
    """
    Look for a record by its id, from what a replica has read on.

    :returns: its outcome, `None` where it is not in the log, or a `Failure`
        where that can't be told.
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
    Return the trees of all agents that answer and have one.
    """
    asked = call_each(agents, lambda each: get_admin(each, '/admin/settings'))
    return [
        parse_tree(answer)
        for answer in asked.values()
        if not isinstance(answer, Failure)
        and answer.get('settings') is not None
    ]


def parse_tree(page: Mapping[str, Any]) -> Tree:
    """
    Build a tree out of an agent's `/admin/settings`.
    """
    nodes: dict[str, dict[str, Entry]] = {}
    for path, plain in page['settings'].items():
        node, name = split_path(path)
        nodes.setdefault(node, {})[name] = Entry(**plain)
    return replace(
        Tree(),
        version=page['version'],
        last=page['last'],
        through=page['through'],
        floor=page['floor'],
        nodes=nodes,
        removed={
            gone: Entry(**entry) for gone, entry in page['removed'].items()
        },
        outcomes=from_plain(page['outcomes'], tuple[Outcome, ...]),
    )
