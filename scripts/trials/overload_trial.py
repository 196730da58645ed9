"""
Goodput under overload and through the loss of an availability zone.
"""

from dataclasses import dataclass, replace

from mallowcrank.router.ports import Ticket
from mallowcrank.routing.bound import Workload
from scripts.trials.fleet import MODEL, FleetSettings, VirtualFleet
from scripts.trials.strategy_trial import PROMPT_COUNT, percentile
from scripts.trials.traffic import Job, RequestShape
from scripts.trials.virtual import PROMPT_TOKENS_PER_STEP

WARM_S = 5
RUN_S = 14
CALLER_RETRIES = 2  # of a caller, after Retry-After or a missed deadline
SLOTS = 4
RECOVERY_WINDOW_S = (2, 7)  # after the loss, while streams recover
SETTLED_WINDOW_S = (7, 11)


@dataclass(frozen=True)
class LoadCase:
    """
    One case.

    :param load: arriving requests as a ratio to the throughput bound.
    :param has_policy: whether admission and retry budgets are used.
    :param loses_zone: whether an availability zone fails in the middle.
    :param timeout_s: seconds until a request's deadline.
    """

    load: float
    seed: int = 1
    has_policy: bool = True
    loses_zone: bool = False
    timeout_s: float = 4


@dataclass(frozen=True)
class LoadFigures:
    """
    Results of one case.

    :param goodput: tokens a second of answers in time, as a ratio to the
        throughput bound.
    :param after_loss: goodput from 2 s to 7 s after the loss, as a ratio to
        the bound of the remaining engines; 0 without a loss.
    :param settled: the same, from 7 s to 11 s.
    :param late: answers that missed their deadline.
    :param refused: requests refused before they ran.
    :param refused_p99_s: seconds until a refusal.
    :param first_p95_ms: time to the first token.
    :param between_p95_ms: time between tokens.
    :param tries: mean number of starts of the requests that started.
    """

    load: float
    policy: bool
    goodput: float
    after_loss: float
    settled: float
    requests: int
    late: int
    refused: int
    refused_p99_s: float
    first_p95_ms: float
    between_p95_ms: float
    tries: float


class OverloadTrial:
    """
    Sends requests at a given mean rate in an open loop; callers retry those
    that fail.
    """

    def __init__(self, case: LoadCase) -> None:
        self._case = case
        self._fleet = VirtualFleet(
            FleetSettings(
                seed=case.seed, slots=SLOTS, has_budget=case.has_policy
            )
        )
        self._jobs: list[Job] = []
        units = RequestShape().prompt_tokens / PROMPT_TOKENS_PER_STEP
        self._work = Workload(
            prompt_steps=units, answer_tokens=RequestShape().answer
        )
        self._bound = self._fleet.bound(self._work).tokens_per_s
        self._bound_after_loss = self._bound
        self._rate = case.load * self._bound / RequestShape().answer

    def run(self) -> LoadFigures:
        """
        Run the case.
        """
        self._fleet.loop.call_later(0, self._send_next)
        half = WARM_S + RUN_S / 2
        if self._case.loses_zone:
            self._fleet.loop.call_later(half, self._crash_zone)
        end = max(WARM_S + RUN_S, half + SETTLED_WINDOW_S[1])
        self._fleet.loop.run(end + self._case.timeout_s)
        return self._figures(half)

    def _crash_zone(self) -> None:
        self._fleet.crash_zone('a')
        self._bound_after_loss = self._fleet.bound(self._work).tokens_per_s

    def _send_next(self) -> None:
        self._send_request(CALLER_RETRIES)
        random = self._fleet.random
        self._fleet.loop.call_later(
            random.expovariate(self._rate), self._send_next
        )

    def _send_request(self, retries: int) -> None:
        fleet, now = self._fleet, self._fleet.loop.now
        shape = replace(RequestShape(), timeout_s=self._case.timeout_s)
        router = fleet.random.choice(fleet.routers)
        number = len(self._jobs)
        ticket = Ticket(
            f's{number}',
            'b/w',
            now + shape.timeout_s,
            0,
            shape.answer + shape.prompt_tokens,
            MODEL,
        )
        prompt = int(PROMPT_COUNT * fleet.random.random() ** 2)

        def retry_if_failed(job: Job) -> None:
            if retries and not _is_in_time(job):
                refused = job.refused
                pause = refused.retry_after_s if refused else 0
                fleet.loop.call_later(
                    pause or 0, lambda: self._send_request(retries - 1)
                )

        job = Job(ticket, prompt, shape, now, retry_if_failed)
        self._jobs.append(job)
        if self._case.has_policy:
            router.arrive(job)
        else:
            router.start(job)

    def _figures(self, half: float) -> LoadFigures:
        end = WARM_S + RUN_S
        good = [job for job in self._jobs if _is_in_time(job)]
        before = _goodput(good, WARM_S, half if self._case.loses_zone else end)
        started = [job for job in self._jobs if job.attempt]
        refused = [job for job in self._jobs if job.refused]
        refusal_delays_s = [job.ended - job.arrived for job in refused]
        gaps = [
            later - earlier
            for job in good
            for earlier, later in zip(
                job.token_times, job.token_times[1:], strict=False
            )
        ]
        first = [job.token_times[0] - job.arrived for job in good]
        return LoadFigures(
            load=self._case.load,
            policy=self._case.has_policy,
            goodput=before / self._bound,
            after_loss=self._goodput_after_loss(good, half, RECOVERY_WINDOW_S),
            settled=self._goodput_after_loss(good, half, SETTLED_WINDOW_S),
            requests=len(self._jobs),
            late=sum(
                job.ended is not None and not job.refused for job in self._jobs
            )
            - len(good),
            refused=len(refused),
            refused_p99_s=percentile(refusal_delays_s or [0], 0.99),
            first_p95_ms=percentile(first or [0], 0.95) * 1000,
            between_p95_ms=percentile(gaps or [0], 0.95) * 1000,
            tries=sum(job.attempt for job in started) / max(1, len(started)),
        )

    def _goodput_after_loss(
        self, good: list[Job], half: float, window: tuple[float, float]
    ) -> float:
        if not self._case.loses_zone:
            return 0
        start, end = window
        goodput = _goodput(good, half + start, half + end)
        return goodput / self._bound_after_loss


def _is_in_time(job: Job) -> bool:
    return (
        job.ended is not None
        and job.refused is None
        and len(job.token_times) == job.shape.answer
        and job.ended <= job.ticket.deadline
    )


def _goodput(jobs: list[Job], start: float, end: float) -> float:
    tokens = sum(start < at <= end for job in jobs for at in job.token_times)
    return tokens / (end - start)
