"""
The requests of one model or service: those that wait and those that run.

A branch that runs less than its share may start even where the pool is full
with lent share, so that its share comes back at once and not only when the
borrowers' streams end.
"""

from collections import Counter
from dataclasses import dataclass

from mallowcrank.fairness.queue import Entry, FairQueue
from mallowcrank.overload.concurrency import PoolLimit
from mallowcrank.overload.retry_after import RetryAfterSchedule

OVERCOMMIT_FACTOR = 2  # times the limit that run while lent share comes back
MAX_LEAD_FACTOR = (
    1  # times its share that a branch may be served ahead of others
)
SMOOTHING = 0.1  # weight of the newest request in the means
QUEUED_TIME_FACTOR = (
    1.25  # times a request's usual time that must be left, in a queue
)
IDLE_TIME_FACTOR = 0.5  # the same, where nothing waits
ARRIVAL_WAIT_FACTOR = (
    1.5  # times the expected wait that must be left on arrival
)


@dataclass(slots=True)
class RunTimeMeter:
    """
    How long requests run.

    :param mean_s: seconds of a request, or 0 while none has ended.
    :param token_s: seconds for each token of its estimate.
    """

    mean_s: float = 0
    token_s: float = 0

    def add_sample(self, seconds: float, tokens: int) -> None:
        """
        Take in a request that ended.
        """
        token_s = seconds / max(1, tokens)
        if not self.mean_s:
            self.mean_s = seconds
            self.token_s = token_s
            return
        self.mean_s += SMOOTHING * (seconds - self.mean_s)
        self.token_s += SMOOTHING * (token_s - self.token_s)


class Pool:
    """
    Starts requests within an adaptive limit, in fair order.
    """

    def __init__(self, limit: PoolLimit) -> None:
        self.limit = limit
        self.queue = FairQueue()
        self.run_times = RunTimeMeter()
        self.retry_schedule = RetryAfterSchedule()
        self._running: Counter[str] = Counter()
        self._shares: dict[str, float] = {}
        self._total = 0

    # Queries

    @property
    def running(self) -> int:
        """
        Return how many requests run.
        """
        return self._total

    def wait_s(self, entry: Entry) -> float:
        """
        Estimate the seconds until a request starts.
        """
        if not self.queue and self._may_start(entry.workspace.branch):
            return 0
        ahead = 1 + self.queue.estimate_ahead(entry)
        return ahead * self.run_times.mean_s / max(1, self.limit.limit)

    def misses_deadline(
        self, entry: Entry, now: float, *, is_new: bool = False
    ) -> bool:
        """
        Tell whether a request can't be answered before its deadline.

        :param arrives: whether it is new. More is asked of a new one, so that
            few are taken in and refused later.
        """
        margin = ARRIVAL_WAIT_FACTOR if is_new else 1
        wait_s = self.wait_s(entry) * margin
        part = QUEUED_TIME_FACTOR if wait_s else IDLE_TIME_FACTOR
        needed_s = wait_s + part * self.run_times.token_s * entry.cost
        return now + needed_s > entry.ticket.deadline

    def is_below_share(self, branch: str) -> bool:
        """
        Tell whether a branch runs less than its share while others run more.
        """
        if not self._may_catch_up(branch):
            return False
        return any(
            self._running[other] > self._guaranteed(other)
            for other in self._shares
            if other != branch
        )

    # Commands

    def push(self, entry: Entry) -> None:
        """
        Let a request wait.
        """
        branch = entry.workspace.branch
        self._shares[branch] = max(entry.workspace.branch_share, 0.001)
        self.queue.push(entry)

    def pop(self) -> Entry | None:
        """
        Start the request that goes next, where there is room.
        """
        entry = self.queue.pop(self._may_start)
        if entry is not None:
            self._running[entry.workspace.branch] += 1
            self._total += 1
        return entry

    def finish(self, entry: Entry, seconds: float, tokens: int) -> None:
        """
        Take in the end of a request.

        :param tokens: what it really cost.
        """
        branch = entry.workspace.branch
        self._running[branch] -= 1
        self._total -= 1
        if tokens or entry.ticket.is_service:
            self.run_times.add_sample(seconds, entry.cost)
        self.queue.settle(entry.workspace, entry.cost - max(1, tokens))
        if not self._running[branch]:
            self._running.pop(branch)

    def assign_retry_after_s(self, entry: Entry, now: float) -> float:
        """
        Give a refused request the seconds after which to come back.
        """
        mean_s = self.run_times.mean_s
        rate = self.limit.limit / mean_s if mean_s else 0
        return self.retry_schedule.assign_delay_s(now, self.wait_s(entry), rate)

    def forget_idle(self) -> None:
        """
        Forget branches that neither wait nor run.
        """
        self._shares = {
            branch: share
            for branch, share in self._shares.items()
            if self._is_active(branch)
        }
        self.queue.forget_idle()

    def _may_start(self, branch: str) -> bool:
        limit = self.limit.limit
        if self._total < limit:
            return True
        if self._total >= OVERCOMMIT_FACTOR * limit:
            return False
        return self._may_catch_up(branch)

    def _may_catch_up(self, branch: str) -> bool:
        """
        Tell whether a branch runs less than its share, and was not served so
        much more than others that it owes them.
        """
        guaranteed = self._guaranteed(branch)
        below = self._running[branch] + 1 <= guaranteed
        return (
            below and self.queue.lead_of(branch) < MAX_LEAD_FACTOR * guaranteed
        )

    def _guaranteed(self, branch: str) -> float:
        share = self._shares.get(branch, 1)
        others = sum(
            other_share
            for other, other_share in self._shares.items()
            if other != branch and self._is_active(other)
        )
        return self.limit.limit * share / (share + others)

    def _is_active(self, branch: str) -> bool:
        return self._running[branch] > 0 or self.queue.is_waiting(branch)
