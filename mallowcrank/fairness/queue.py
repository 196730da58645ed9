"""
A fair queue along the tree: root, branches, workspaces.

Each branch has a virtual time that grows by the tokens it is served over its
weight; the branch that is furthest behind goes next. A branch that was idle
joins at the others' virtual time, so that idle share is lent and is neither
saved up nor owed. In a branch, urgent requests go first, but each
`FAIR_TURN`th turn goes by the workspaces' own virtual times and by age, so that
urgency never starves a sibling.
"""

from bisect import insort
from collections.abc import Callable
from dataclasses import dataclass, field

from mallowcrank.router.ports import Ticket
from mallowcrank.view import WorkspaceSettings

FAIR_TURN_INTERVAL = 4
MAX_URGENCY = 100
SMOOTHING = 0.1  # weight of the newest request in the usual cost


@dataclass(frozen=True, slots=True)
class Entry:
    """
    One request that waits.

    :param number: its place in the order of arrival.
    """

    ticket: Ticket
    workspace: WorkspaceSettings
    number: int

    @property
    def urgency(self) -> int:
        """
        Return its order in the branch; a higher number goes first.
        """
        asked = self.ticket.priority + self.workspace.urgency
        return max(-MAX_URGENCY, min(MAX_URGENCY, asked))

    @property
    def cost(self) -> int:
        """
        Return what serving it costs, in tokens.
        """
        return max(1, self.ticket.tokens)


@dataclass(slots=True)
class _WorkspaceQueue:
    entries: list[tuple[int, int, Entry]] = field(default_factory=list)
    virtual: float = 0

    @property
    def oldest(self) -> int:
        return min(range(len(self.entries)), key=self._number)

    def _number(self, index: int) -> int:
        return self.entries[index][1]


@dataclass(slots=True)
class _Branch:
    workspaces: dict[str, _WorkspaceQueue] = field(default_factory=dict)
    waiting: int = 0
    virtual: float = 0
    served_virtual: float = 0
    turns: int = 0
    share: float = 1


class FairQueue:
    """
    The requests that wait for one pool of targets.
    """

    def __init__(self) -> None:
        self._branches: dict[str, _Branch] = {}
        self._virtual: float = 0
        self._waiting = 0
        self._usual_cost: float = 1

    # Queries

    def __len__(self) -> int:
        """
        Return the count of waiting requests.
        """
        return self._waiting

    def is_waiting(self, branch: str) -> bool:
        """
        Tell whether a branch waits.
        """
        known = self._branches.get(branch)
        return known is not None and known.waiting > 0

    def lead_of(self, branch: str) -> float:
        """
        Return by how many usual requests a branch was served more than its
        share, against the branch that waits and was served least.
        """
        known = self._branches.get(branch)
        if known is None:
            return 0
        least = min(
            (
                other.virtual
                for name, other in self._branches.items()
                if other.waiting and name != branch
            ),
            default=known.virtual,
        )
        return (known.virtual - least) * known.share / self._usual_cost

    def estimate_ahead(self, entry: Entry) -> float:
        """
        Estimate how many requests start before one that waits or comes.

        Requests of its branch that go first, over the branch's share among
        the branches that wait; at most all that wait.
        """
        branch = self._branches.get(entry.workspace.branch)
        before = _more_urgent(branch, entry) if branch else 0
        share = self.share_of(entry.workspace)
        return min(self._waiting, before / share)

    def share_of(self, workspace: WorkspaceSettings) -> float:
        """
        Return the share of a workspace's branch among those that wait.
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
            branch.virtual = max(branch.virtual, self._joins_at())
        queue = branch.workspaces.setdefault(
            entry.workspace.name, _WorkspaceQueue()
        )
        if not queue.entries:
            queue.virtual = max(queue.virtual, _joins_at(branch))
        insort(queue.entries, (-entry.urgency, entry.number, entry))
        branch.waiting += 1
        self._waiting += 1

    def pop(self, may_start: Callable[[str], bool]) -> Entry | None:
        """
        Take out the request that goes next.

        :param may_start: tells whether a branch may start one now.
        """
        able = [
            branch
            for name, branch in self._branches.items()
            if branch.waiting and may_start(name)
        ]
        if not able:
            return None
        following = min(able, key=_virtual)
        self._virtual = max(self._virtual, following.virtual)
        entry = self._pop_from(following)
        following.virtual += entry.cost / max(following.share, 0.001)
        self._usual_cost += SMOOTHING * (entry.cost - self._usual_cost)
        return entry

    def remove(self, entry: Entry) -> None:
        """
        Take out a request that no longer waits.
        """
        branch = self._branches[entry.workspace.branch]
        queue = branch.workspaces[entry.workspace.name]
        queue.entries.remove((-entry.urgency, entry.number, entry))
        self._took(branch)

    def settle(self, workspace: WorkspaceSettings, unused: int) -> None:
        """
        Settle what a request cost beyond or below its estimate.

        :param unused: tokens; a negative number where it took more.
        """
        branch = self._branches.get(workspace.branch)
        if branch is None:
            return
        branch.virtual -= unused / max(workspace.branch_share, 0.001)
        queue = branch.workspaces.get(workspace.name)
        if queue is not None:
            queue.virtual -= unused / max(workspace.share, 0.001)

    def forget_idle(self) -> None:
        """
        Forget branches and workspaces that are not ahead of the others.
        """
        for branch in self._branches.values():
            branch.workspaces = {
                name: queue
                for name, queue in branch.workspaces.items()
                if queue.entries or queue.virtual > branch.served_virtual
            }
        self._branches = {
            name: known
            for name, known in self._branches.items()
            if known.waiting or known.virtual > self._virtual
        }

    def _joins_at(self) -> float:
        waiting = (
            branch.virtual
            for branch in self._branches.values()
            if branch.waiting
        )
        return min(waiting, default=self._virtual)

    def _pop_from(self, branch: _Branch) -> Entry:
        branch.turns += 1
        waiting = _waiting(branch)
        if branch.turns % FAIR_TURN_INTERVAL:
            queue = min(waiting, key=_by_urgency)
            _, _, entry = queue.entries.pop(0)
        else:
            queue = min(waiting, key=_virtual)
            _, _, entry = queue.entries.pop(queue.oldest)
        branch.served_virtual = max(branch.served_virtual, queue.virtual)
        queue.virtual += entry.cost / max(entry.workspace.share, 0.001)
        self._took(branch)
        return entry

    def _took(self, branch: _Branch) -> None:
        branch.waiting -= 1
        self._waiting -= 1


def _virtual(node: _Branch | _WorkspaceQueue) -> float:
    return node.virtual


def _waiting(branch: _Branch) -> list[_WorkspaceQueue]:
    return [queue for queue in branch.workspaces.values() if queue.entries]


def _joins_at(branch: _Branch) -> float:
    waiting = (queue.virtual for queue in _waiting(branch))
    return min(waiting, default=branch.served_virtual)


def _by_urgency(queue: _WorkspaceQueue) -> tuple[int, float]:
    return queue.entries[0][0], queue.virtual


def _more_urgent(branch: _Branch, entry: Entry) -> int:
    key = (-entry.urgency, entry.number)
    return sum(
        1
        for queue in branch.workspaces.values()
        for urgency, number, _ in queue.entries
        if (urgency, number) < key
    )
