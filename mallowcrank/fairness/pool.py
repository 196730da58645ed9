"""
Waiting and running requests of one model or service.

Branches may use the idle share of others. A branch below its share may start
requests even if the pool is full with such borrowed share, so that it gets
its share back at once and not only when the borrowers' streams end.
"""

from collections import Counter
from dataclasses import dataclass

from mallowcrank.fairness.queue import Entry, FairQueue
from mallowcrank.overload.concurrency import PoolLimit
from mallowcrank.overload.retry_after import RetryAfterSchedule

OVERCOMMIT_FACTOR = 2  # of the limit, while borrowed share is returned
MAX_LEAD_FACTOR = 1  # of its share that a branch may be ahead of others
SMOOTHING = 0.1  # weight of the newest request in the means
QUEUED_TIME_FACTOR = 1.25  # of a request's time that must be left in a queue
IDLE_TIME_FACTOR = 0.5  # the same without a queue
ARRIVAL_WAIT_FACTOR = 1.5  # of the expected wait that must be left on arrival


@dataclass(slots=True)
class RunTimeMeter:
    """
    Moving averages of the run time of requests.

    :param mean_s: seconds per request, 0 until one has ended.
    :param token_s: seconds per estimated token.
    """

    mean_s: float = 0
    token_s: float = 0

    def add_sample(self, seconds: float, tokens: int) -> None:
        """
        Add the run time of a request.

        :param seconds: run time.
        :param tokens: estimated tokens.
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
    Starts requests in fair order within an adaptive limit.
    """

    def __init__(self, limit: PoolLimit) -> None:
        self.limit = limit
        self.queue = FairQueue()
        self.run_times = RunTimeMeter()
        self.retry_schedule = RetryAfterSchedule()
        self._running: Counter[str] = Counter()
        self._shares: dict[str, float] = {}
        self._running_total = 0

    # Queries

    @property
    def running(self) -> int:
        """
        Return the number of running requests.
        """
        return self._running_total

    def wait_s(self, entry: Entry) -> float:
        """
        Estimate the seconds until a request starts.
        """
        if not self.queue and self._may_start(entry.workspace.branch):
            return 0
        position = 1 + self.queue.estimate_ahead(entry)
        return position * self.run_times.mean_s / max(1, self.limit.limit)

    def misses_deadline(
        self, entry: Entry, now: float, *, is_new: bool = False
    ) -> bool:
        """
        Return whether a request is expected to miss its deadline.

        :param now: steady time, in seconds.
        :param is_new: whether it has just arrived. A new request needs more
            time left, so that few are queued and refused later.
        """
        margin = ARRIVAL_WAIT_FACTOR if is_new else 1
        wait_s = self.wait_s(entry) * margin
        time_factor = QUEUED_TIME_FACTOR if wait_s else IDLE_TIME_FACTOR
        needed_s = wait_s + time_factor * self.run_times.token_s * entry.cost
        return now + needed_s > entry.ticket.deadline

    def is_below_share(self, branch: str) -> bool:
        """
        Return whether a branch runs less than its share while another runs
        more.
        """
        if not self._may_catch_up(branch):
            return False
        return any(
            self._running[other] > self._guaranteed_limit(other)
            for other in self._shares
            if other != branch
        )

    # Commands

    def push(self, entry: Entry) -> None:
        """
        Queue a request.
        """
        branch = entry.workspace.branch
        self._shares[branch] = max(entry.workspace.branch_share, 0.001)
        self.queue.push(entry)

    def pop(self) -> Entry | None:
        """
        Start the next request if the limit allows it.

        :returns: the request, or none if none may start.
        """
        entry = self.queue.pop(self._may_start)
        if entry is not None:
            self._running[entry.workspace.branch] += 1
            self._running_total += 1
        return entry

    def finish(self, entry: Entry, seconds: float, tokens: int) -> None:
        """
        Record the end of a running request.

        :param seconds: run time.
        :param tokens: its actual cost, in tokens.
        """
        branch = entry.workspace.branch
        self._running[branch] -= 1
        self._running_total -= 1
        if tokens or entry.ticket.is_service:
            self.run_times.add_sample(seconds, entry.cost)
        self.queue.settle(entry.workspace, entry.cost - max(1, tokens))
        if not self._running[branch]:
            self._running.pop(branch)

    def assign_retry_after_s(self, entry: Entry, now: float) -> float:
        """
        Assign a refused request its retry delay.

        :param now: steady time, in seconds.
        :returns: seconds.
        """
        mean_s = self.run_times.mean_s
        rate = self.limit.limit / mean_s if mean_s else 0
        return self.retry_schedule.assign_delay_s(now, self.wait_s(entry), rate)

    def forget_idle(self) -> None:
        """
        Remove branches without waiting or running requests.
        """
        self._shares = {
            branch: share
            for branch, share in self._shares.items()
            if self._is_active(branch)
        }
        self.queue.forget_idle()

    def _may_start(self, branch: str) -> bool:
        limit = self.limit.limit
        if self._running_total < limit:
            return True
        if self._running_total >= OVERCOMMIT_FACTOR * limit:
            return False
        return self._may_catch_up(branch)

    def _may_catch_up(self, branch: str) -> bool:
        """
        Return whether a branch runs less than its share and is not too far
        ahead of others.
        """
        guaranteed_limit = self._guaranteed_limit(branch)
        is_below = self._running[branch] + 1 <= guaranteed_limit
        return (
            is_below
            and self.queue.lead_of(branch) < MAX_LEAD_FACTOR * guaranteed_limit
        )

    def _guaranteed_limit(self, branch: str) -> float:
        share = self._shares.get(branch, 1)
        others = sum(
            other_share
            for other, other_share in self._shares.items()
            if other != branch and self._is_active(other)
        )
        return self.limit.limit * share / (share + others)

    def _is_active(self, branch: str) -> bool:
        return self._running[branch] > 0 or self.queue.is_waiting(branch)
