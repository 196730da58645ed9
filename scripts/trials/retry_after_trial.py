"""
Callers that honour Retry-After, during and after a burst above the throughput
bound.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from mallowcrank.overload.retry_after import RetryAfterSchedule
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

BURST_S = 10  # from the start
ARRIVALS_S = 30
RUN_S = 60
BURST_LOAD = 2  # as a ratio to the throughput bound
QUIET_LOAD = 0.5
TRY_TIMEOUT_S = 4
MAX_TRIES = 20  # of one caller
BRANCHES = 2


@dataclass(frozen=True)
class RetryAfterFigures:
    """
    Results of one trial.

    :param times: `spaced` if the policy spaces the delays in Retry-After,
        `wait` if they are the queue's wait alone.
    :param goodput: tokens a second of whole answers while callers arrive, as a
        ratio to the throughput bound.
    :param served: share of the callers that were served in the end.
    :param refusals: mean number of refusals of a caller.
    :param served_after_p95_s: from the first try to the end of the answer.
    :param peak: tries in the busiest tenth of a second after the burst, as a
        ratio to their mean.
    :param least_branch: served share of the branch where it is lowest.
    :param refused_p99_s: seconds until a refusal.
    """

    times: str
    goodput: float
    served: float
    refusals: float
    served_after_p95_s: float
    peak: float
    least_branch: float
    refused_p99_s: float


class _WaitOnly(RetryAfterSchedule):
    """
    Assigns the queue's wait alone, without spacing.
    """

    def assign_delay_s(
        self, now: float, min_delay_s: float, rate: float
    ) -> float:
        return min_delay_s


@dataclass
class _Caller:
    branch: int
    arrived_at: float
    refusals: int = 0
    served_at: float | None = None


class RetryAfterTrial:
    """
    Simulates the callers of two branches with equal shares.

    :param times: `spaced` or `wait`, as in the figures.
    """

    def __init__(self, times: str, seed: int) -> None:
        self._times = times
        names = [f'b{number}' for number in range(BRANCHES)]
        self._fleet = VirtualFleet(
            FleetSettings(seed=seed, workspaces=unlimited_workspaces(names))
        )
        if times == 'wait':
            for router in self._fleet.routers:
                router.admission.pools.get(MODEL).retry_schedule = _WaitOnly()
        units = RequestShape().prompt_tokens / PROMPT_TOKENS_PER_STEP
        work = Workload(prompt_steps=units, answer_tokens=RequestShape().answer)
        self._bound = self._fleet.bound(work).tokens_per_s
        self._callers: list[_Caller] = []
        self._jobs: list[Job] = []

    def run(self) -> RetryAfterFigures:
        """
        Run the trial.
        """
        self._fleet.loop.call_later(0, self._arrive)
        self._fleet.loop.run(RUN_S)
        return self._figures()

    def _arrive(self) -> None:
        loop, random = self._fleet.loop, self._fleet.random
        if loop.now > ARRIVALS_S:
            return
        caller = _Caller(random.randrange(BRANCHES), loop.now)
        self._callers.append(caller)
        self._send_request(caller)
        load = BURST_LOAD if loop.now < BURST_S else QUIET_LOAD
        rate = load * self._bound / RequestShape().answer
        loop.call_later(random.expovariate(rate), self._arrive)

    def _send_request(self, caller: _Caller) -> None:
        fleet, now = self._fleet, self._fleet.loop.now
        shape = replace(RequestShape(), timeout_s=TRY_TIMEOUT_S)
        ticket = Ticket(
            f's{len(self._jobs)}',
            f'b{caller.branch}/w',
            now + TRY_TIMEOUT_S,
            0,
            shape.answer + shape.prompt_tokens,
            MODEL,
        )
        prompt = int(PROMPT_COUNT * fleet.random.random() ** 2)
        job = Job(ticket, prompt, shape, now, self._retry_callback(caller))
        self._jobs.append(job)
        fleet.random.choice(fleet.routers).arrive(job)

    def _retry_callback(self, caller: _Caller) -> Callable[[Job], None]:
        def handle_end(job: Job) -> None:
            if job.refused is None:
                if len(job.token_times) == job.shape.answer:
                    caller.served_at = job.ended
                return
            caller.refusals += 1
            if caller.refusals < MAX_TRIES:
                pause = job.refused.retry_after_s or 0
                self._fleet.loop.call_later(
                    pause, lambda: self._send_request(caller)
                )

        return handle_end

    def _figures(self) -> RetryAfterFigures:
        callers = self._callers
        served = [each for each in callers if each.served_at is not None]
        good = [
            job
            for job in self._jobs
            if len(job.token_times) == job.shape.answer
        ]
        tokens = sum(at <= ARRIVALS_S for job in good for at in job.token_times)
        refused = [job for job in self._jobs if job.refused]
        refusal_delays_s = [job.ended - job.arrived for job in refused]
        served_shares = [
            _served_share([each for each in callers if each.branch == branch])
            for branch in range(BRANCHES)
        ]
        return RetryAfterFigures(
            times=self._times,
            goodput=tokens / ARRIVALS_S / self._bound,
            served=len(served) / len(callers),
            refusals=len(refused) / len(callers),
            served_after_p95_s=percentile(
                [each.served_at - each.arrived_at for each in served], 0.95
            ),
            peak=self._peak(),
            least_branch=min(served_shares),
            refused_p99_s=percentile(refusal_delays_s or [0], 0.99),
        )

    def _peak(self) -> float:
        tenths = Counter(
            int(job.arrived * 10)
            for job in self._jobs
            if BURST_S < job.arrived < ARRIVALS_S
        )
        span = (ARRIVALS_S - BURST_S) * 10
        return max(tenths.values()) * span / tenths.total()


def _served_share(callers: list[_Caller]) -> float:
    return sum(each.served_at is not None for each in callers) / len(callers)
