"""
Goodput under overload and through the loss of an availability zone.
"""

from dataclasses import dataclass, replace

from mallowcrank.router.ports import Ticket
from mallowcrank.routing.bound import Workload
from scripts.trials.fleet import MODEL, FleetSettings, VirtualFleet
from scripts.trials.strategy_trial import PROMPTS, percentile
from scripts.trials.traffic import Job, RequestShape
from scripts.trials.virtual import PROMPT_TOKENS_PER_STEP

WARM_S = 5
RUN_S = 14
CALLER_RETRIES = 2  # of a caller, as Retry-After says or after a deadline
SLOTS = 4
AFTER_S = (2, 7)  # since the loss, while streams recover
SETTLED_S = (7, 11)


@dataclass(frozen=True)
class LoadCase:
    """
    One case.

    :param load: requests that come in, over what the bound allows.
    :param has_policy: whether admission and retry budgets are used.
    :param loses_zone: whether a zone is lost in the middle.
    """

    load: float
    seed: int = 1
    has_policy: bool = True
    loses_zone: bool = False
    timeout_s: float = 4


@dataclass(frozen=True)
class LoadFigures:
    """
    What a case gave.

    :param goodput: tokens a second of answers in time, over the bound.
    :param late: answers that missed their deadline.
    :param refused: requests refused before they ran.
    :param refused_p99_s: seconds until a refusal.
    :param after_loss: goodput from 2 s to 7 s after the loss, over the bound
        of what is left; 0 without a loss.
    :param settled: the same, from 7 s to 11 s.
    :param tries: starts over requests that started.
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
    Requests of callers that come at their own rate, and retry.
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
        self._bound_after = self._bound
        self._rate = case.load * self._bound / RequestShape().answer

    def run(self) -> LoadFigures:
        """
        Run the case.
        """
        self._fleet.loop.call_later(0, self._next)
        half = WARM_S + RUN_S / 2
        if self._case.loses_zone:
            self._fleet.loop.call_later(half, self._lose)
        end = max(WARM_S + RUN_S, half + SETTLED_S[1])
        self._fleet.loop.run(end + self._case.timeout_s)
        return self._figures(half)

    def _lose(self) -> None:
        self._fleet.crash_zone('a')
        self._bound_after = self._fleet.bound(self._work).tokens_per_s

    def _next(self) -> None:
        self._ask(CALLER_RETRIES)
        random = self._fleet.random
        self._fleet.loop.call_later(random.expovariate(self._rate), self._next)

    def _ask(self, retries: int) -> None:
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
        prompt = int(PROMPTS * fleet.random.random() ** 2)

        def finished(job: Job) -> None:
            if retries and not _is_good(job):
                refused = job.refused
                pause = refused.retry_after_s if refused else 0
                fleet.loop.call_later(
                    pause or 0, lambda: self._ask(retries - 1)
                )

        job = Job(ticket, prompt, shape, now, finished)
        self._jobs.append(job)
        if self._case.has_policy:
            router.arrive(job)
        else:
            router.start(job)

    def _figures(self, half: float) -> LoadFigures:
        end = WARM_S + RUN_S
        good = [job for job in self._jobs if _is_good(job)]
        before = _goodput(good, WARM_S, half if self._case.loses_zone else end)
        started = [job for job in self._jobs if job.attempt]
        refused = [job for job in self._jobs if job.refused]
        waits = [job.ended - job.arrived for job in refused]
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
            after_loss=self._after(good, half, AFTER_S),
            settled=self._after(good, half, SETTLED_S),
            requests=len(self._jobs),
            late=sum(
                job.ended is not None and not job.refused for job in self._jobs
            )
            - len(good),
            refused=len(refused),
            refused_p99_s=percentile(waits or [0], 0.99),
            first_p95_ms=percentile(first or [0], 0.95) * 1000,
            between_p95_ms=percentile(gaps or [0], 0.95) * 1000,
            tries=sum(job.attempt for job in started) / max(1, len(started)),
        )

    def _after(
        self, good: list[Job], half: float, window: tuple[float, float]
    ) -> float:
        if not self._case.loses_zone:
            return 0
        start, end = window
        goodput = _goodput(good, half + start, half + end)
        return goodput / self._bound_after


def _is_good(job: Job) -> bool:
    return (
        job.ended is not None
        and job.refused is None
        and len(job.token_times) == job.shape.answer
        and job.ended <= job.ticket.deadline
    )


def _goodput(jobs: list[Job], start: float, end: float) -> float:
    tokens = sum(start < at <= end for job in jobs for at in job.token_times)
    return tokens / (end - start)
