"""
Fair queue over a tree of root, branches and workspaces.

Each branch has a virtual time that grows by its served tokens divided by its
weight; the branch with the lowest virtual time goes next. An idle branch that
gets a request joins at the virtual time of the others, so that others may use
its idle share, and it neither saves up share nor owes any. Within a branch,
urgent requests go first. Every `FAIR_TURN_INTERVAL`th turn goes by the virtual
times of the workspaces and by age instead, so that urgency can't starve a
sibling.
"""

from bisect import insort
from collections.abc import Callable
from dataclasses import dataclass, field

from mallowcrank.router.ports import Ticket
from mallowcrank.view import WorkspaceSettings

FAIR_TURN_INTERVAL = 4
MAX_URGENCY = 100
SMOOTHING = 0.1  # weight of the newest request in the mean cost


@dataclass(frozen=True, slots=True)
class Entry:
    """
    A waiting request.

    :param number: number in the order of arrival.
    """

    ticket: Ticket
    workspace: WorkspaceSettings
    number: int

    @property
    def urgency(self) -> int:
        """
        Return the priority within the branch; a higher one goes first.
        """
        asked = self.ticket.priority + self.workspace.urgency
        return max(-MAX_URGENCY, min(MAX_URGENCY, asked))

    @property
    def cost(self) -> int:
        """
        Return the estimated cost, in tokens.
        """
        return max(1, self.ticket.tokens)


@dataclass(slots=True)
class _WorkspaceQueue:
    entries: list[tuple[int, int, Entry]] = field(default_factory=list)
    virtual_time: float = 0

    @property
    def oldest(self) -> int:
        return min(range(len(self.entries)), key=self._number)

    def _number(self, index: int) -> int:
        return self.entries[index][1]


@dataclass(slots=True)
class _Branch:
    workspaces: dict[str, _WorkspaceQueue] = field(default_factory=dict)
    waiting: int = 0
    virtual_time: float = 0
    served_virtual_time: float = 0
    turns: int = 0
    share: float = 1


class FairQueue:
    """
    The waiting requests of one pool of targets.
    """

    def __init__(self) -> None:
        self._branches: dict[str, _Branch] = {}
        self._virtual_time: float = 0
        self._waiting = 0
        self._mean_cost: float = 1

    # Queries

    def __len__(self) -> int:
        """
        Return the number of waiting requests.
        """
        return self._waiting

    def is_waiting(self, branch: str) -> bool:
        """
        Return whether a branch has waiting requests.
        """
        known = self._branches.get(branch)
        return known is not None and known.waiting > 0

    def lead_of(self, branch: str) -> float:
        """
        Return how far a branch is ahead of its share.

        The branch is compared with the waiting branch that was served least.

        :returns: requests of mean cost.
        """
        known = self._branches.get(branch)
        if known is None:
            return 0
        least = min(
            (
                other.virtual_time
                for name, other in self._branches.items()
                if other.waiting and name != branch
            ),
            default=known.virtual_time,
        )
        return (known.virtual_time - least) * known.share / self._mean_cost

    def estimate_ahead(self, entry: Entry) -> float:
        """
        Estimate how many requests start before a waiting or new one.

        The estimate is the number of requests of its branch that go first,
        divided by the branch's share among the waiting branches. It is at
        most the number of waiting requests.
        """
        branch = self._branches.get(entry.workspace.branch)
        ahead = _count_before(branch, entry) if branch else 0
        share = self.share_of(entry.workspace)
        return min(self._waiting, ahead / share)

    def share_of(self, workspace: WorkspaceSettings) -> float:
        """
        Return the share of a workspace's branch among the waiting branches.

        :returns: 0 to 1.
        """
        others = sum(
            branch.share
            for name, branch in self._branches.items()
            if branch.waiting and name != workspace.branch
        )
        return workspace.branch_share / (workspace.branch_share + others)

    # Commands

    def push(self, entry: Entry) -> None:
        """
        Add a request.
        """
        branch = self._branches.setdefault(entry.workspace.branch, _Branch())
        branch.share = entry.workspace.branch_share
        if not branch.waiting:
            branch.virtual_time = max(branch.virtual_time, self._join_time())
        queue = branch.workspaces.setdefault(
            entry.workspace.name, _WorkspaceQueue()
        )
        if not queue.entries:
            queue.virtual_time = max(queue.virtual_time, _join_time(branch))
        insort(queue.entries, (-entry.urgency, entry.number, entry))
        branch.waiting += 1
        self._waiting += 1

    def pop(self, may_start: Callable[[str], bool]) -> Entry | None:
        """
        Remove and return the next request.

        :param may_start: returns whether a branch may start a request now.
        :returns: none if no waiting branch may start one.
        """
        eligible = [
            branch
            for name, branch in self._branches.items()
            if branch.waiting and may_start(name)
        ]
        if not eligible:
            return None
        next_branch = min(eligible, key=_virtual_time)
        self._virtual_time = max(self._virtual_time, next_branch.virtual_time)
        entry = self._pop_from(next_branch)
        next_branch.virtual_time += entry.cost / max(next_branch.share, 0.001)
        self._mean_cost += SMOOTHING * (entry.cost - self._mean_cost)
        return entry

    def remove(self, entry: Entry) -> None:
        """
        Remove a request that no longer waits.
        """
        branch = self._branches[entry.workspace.branch]
        queue = branch.workspaces[entry.workspace.name]
        queue.entries.remove((-entry.urgency, entry.number, entry))
        self._count_removal(branch)

    def settle(self, workspace: WorkspaceSettings, unused: int) -> None:
        """
        Correct virtual times by the error of a request's estimated cost.

        :param unused: estimated tokens that were not used; negative if the
            request used more.
        """
        branch = self._branches.get(workspace.branch)
        if branch is None:
            return
        branch.virtual_time -= unused / max(workspace.branch_share, 0.001)
        queue = branch.workspaces.get(workspace.name)
        if queue is not None:
            queue.virtual_time -= unused / max(workspace.share, 0.001)

    def forget_idle(self) -> None:
        """
        Remove branches and workspaces that neither wait nor are ahead.
        """
        for branch in self._branches.values():
            branch.workspaces = {
                name: queue
                for name, queue in branch.workspaces.items()
                if queue.entries
                or queue.virtual_time > branch.served_virtual_time
            }
        self._branches = {
            name: known
            for name, known in self._branches.items()
            if known.waiting or known.virtual_time > self._virtual_time
        }

    def _join_time(self) -> float:
        waiting = (
            branch.virtual_time
            for branch in self._branches.values()
            if branch.waiting
        )
        return min(waiting, default=self._virtual_time)

    def _pop_from(self, branch: _Branch) -> Entry:
        branch.turns += 1
        waiting = _waiting(branch)
        if branch.turns % FAIR_TURN_INTERVAL:
            queue = min(waiting, key=_by_urgency)
            _, _, entry = queue.entries.pop(0)
        else:
            queue = min(waiting, key=_virtual_time)
            _, _, entry = queue.entries.pop(queue.oldest)
        branch.served_virtual_time = max(
            branch.served_virtual_time, queue.virtual_time
        )
        queue.virtual_time += entry.cost / max(entry.workspace.share, 0.001)
        self._count_removal(branch)
        return entry

    def _count_removal(self, branch: _Branch) -> None:
        branch.waiting -= 1
        self._waiting -= 1


def _virtual_time(node: _Branch | _WorkspaceQueue) -> float:
    return node.virtual_time


def _waiting(branch: _Branch) -> list[_WorkspaceQueue]:
    return [queue for queue in branch.workspaces.values() if queue.entries]


def _join_time(branch: _Branch) -> float:
    waiting = (queue.virtual_time for queue in _waiting(branch))
    return min(waiting, default=branch.served_virtual_time)


def _by_urgency(queue: _WorkspaceQueue) -> tuple[int, float]:
    return queue.entries[0][0], queue.virtual_time


def _count_before(branch: _Branch, entry: Entry) -> int:
    key = (-entry.urgency, entry.number)
    return sum(
        1
        for queue in branch.workspaces.values()
        for urgency, number, _ in queue.entries
        if (urgency, number) < key
    )
