"""
Fairness between a hot branch, which requests far more than its share, and a
quiet one.
"""

from collections import Counter
from dataclasses import dataclass, replace

from mallowcrank.router.ports import Ticket
from mallowcrank.routing.bound import Workload
from scripts.trials.fleet import (
    MODEL,
    FleetSettings,
    VirtualFleet,
    unlimited_workspaces,
)
from scripts.trials.strategy_trial import PROMPT_COUNT, percentile
from scripts.trials.traffic import Job, RequestShape
from scripts.trials.virtual import PROMPT_TOKENS_PER_STEP

QUIET_START_S = 8  # first request of the quiet branch
RUN_S = 20
HOT_LOAD = 3  # ratio to the throughput bound
HOT_PRIORITY = 100
BRANCHES = ('hot', 'quiet')


@dataclass(frozen=True)
class FairnessFigures:
    """
    Results of one trial.

    :param quiet_load: the quiet branch's load as a ratio to the throughput
        bound.
    :param priorities: `fair` or `caller`, as in the trial.
    :param lent: tokens of the hot branch while the quiet one is idle, as a
        ratio to the bound.
    :param quiet_part: the quiet branch's share of the tokens from 1 s after
        its start.
    :param quiet_served: share of the quiet branch's requests that were
        answered in time.
    :param back_s: seconds from the quiet branch's start until it gets 90% of
        its share over half a second.
    :param quiet_first_p95_ms: the quiet branch's time to the first token.
    :param quiet_between_p95_ms: its time between tokens.
    """

    quiet_load: float
    priorities: str
    lent: float
    quiet_part: float
    quiet_served: float
    back_s: float
    quiet_first_p95_ms: float
    quiet_between_p95_ms: float


class FairnessTrial:
    """
    Loads two branches with equal shares.

    :param quiet_load: as in the figures.
    :param priorities: `fair` for the priorities that the policy sets, `caller`
        to forward the callers' priorities to the engines.
    """

    def __init__(self, quiet_load: float, priorities: str, seed: int) -> None:
        self._quiet_load = quiet_load
        self._priorities = priorities
        self._fleet = VirtualFleet(
            FleetSettings(seed=seed, workspaces=unlimited_workspaces(BRANCHES))
        )
        units = RequestShape().prompt_tokens / PROMPT_TOKENS_PER_STEP
        work = Workload(prompt_steps=units, answer_tokens=RequestShape().answer)
        bound = self._fleet.bound(work).tokens_per_s
        self._rate = bound / RequestShape().answer
        self._jobs: list[Job] = []

    def run(self) -> FairnessFigures:
        """
        Run the trial.
        """
        loop = self._fleet.loop
        loop.call_later(
            0, lambda: self._send_next('hot', HOT_LOAD * self._rate)
        )
        quiet = self._quiet_load * self._rate
        loop.call_later(QUIET_START_S, lambda: self._send_next('quiet', quiet))
        loop.run(RUN_S)
        return self._figures()

    def _send_next(self, branch: str, rate: float) -> None:
        fleet, now = self._fleet, self._fleet.loop.now
        shape = replace(RequestShape(), timeout_s=4)
        hot = branch == 'hot'
        ticket = Ticket(
            f'{branch}{len(self._jobs)}',
            f'{branch}/w',
            now + shape.timeout_s,
            HOT_PRIORITY if hot else 0,
            shape.answer + shape.prompt_tokens,
            MODEL,
        )
        prompt = int(PROMPT_COUNT * fleet.random.random() ** 2)
        job = Job(ticket, prompt, shape, now, lambda _: None)
        if self._priorities == 'caller':
            job.forced_priority = ticket.priority
        self._jobs.append(job)
        fleet.random.choice(fleet.routers).arrive(job)
        fleet.loop.call_later(
            fleet.random.expovariate(rate),
            lambda: self._send_next(branch, rate),
        )

    def _figures(self) -> FairnessFigures:
        settled_at = QUIET_START_S + 1
        before = self._count_tokens(QUIET_START_S - 3, QUIET_START_S)
        after = self._count_tokens(settled_at, RUN_S)
        quiet = [
            job
            for job in self._jobs
            if job.ticket.request.startswith('quiet')
            and job.arrived < RUN_S - 4
        ]
        good = [
            job for job in quiet if len(job.token_times) == job.shape.answer
        ]
        gaps = [
            later - earlier
            for job in good
            for earlier, later in zip(
                job.token_times, job.token_times[1:], strict=False
            )
        ]
        first = [job.token_times[0] - job.arrived for job in good]
        return FairnessFigures(
            quiet_load=self._quiet_load,
            priorities=self._priorities,
            lent=before['hot'] / (3 * self._rate * RequestShape().answer),
            quiet_part=after['quiet'] / after.total(),
            quiet_served=len(good) / len(quiet),
            back_s=self._recovery_s(),
            quiet_first_p95_ms=percentile(first or [0], 0.95) * 1000,
            quiet_between_p95_ms=percentile(gaps or [0], 0.95) * 1000,
        )

    def _recovery_s(self) -> float:
        part = min(0.5, self._quiet_load)
        for tenth in range((RUN_S - QUIET_START_S) * 10 - 5):
            start = QUIET_START_S + tenth / 10
            tokens = self._count_tokens(start, start + 0.5)
            if tokens['quiet'] >= 0.9 * part * tokens.total():
                return tenth / 10 + 0.5
        return RUN_S

    def _count_tokens(self, start: float, end: float) -> Counter[str]:
        counted: Counter[str] = Counter()
        for job in self._jobs:
            branch = job.ticket.workspace.partition('/')[0]
            counted[branch] += sum(start < at <= end for at in job.token_times)
        return counted
