"""
Requests on virtual engines, routed and admitted by the product's own policies.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from mallowcrank.policy.admission_controller import AdmissionController, Outcome
from mallowcrank.policy.routes import RoutePolicy
from mallowcrank.policy.settings import PolicySettings
from mallowcrank.refusals import Refused
from mallowcrank.router.ports import Route, RouteDemand, Ticket
from mallowcrank.routing.strategies import SelectionStrategy
from mallowcrank.settings import HostSettings, RouterSettings
from mallowcrank.view import View
from mallowcrank.wire import KeyRing
from scripts.trials.virtual import (
    PROMPT_TOKENS_PER_STEP,
    EventLoop,
    VirtualEngine,
)

LINK_DELAY_S = 0.0005  # one way
CALL_TIMEOUT_S = 0.3  # until a call without an answer fails
THREADS = 192  # of a router
BLOCKS = 8  # of a prompt


@dataclass(frozen=True)
class RequestShape:
    """
    Size and timeout of requests.

    :param answer: length of an answer in tokens.
    :param prompt_tokens: length of a prompt in tokens.
    :param timeout_s: seconds that a caller waits.
    """

    answer: int = 24
    prompt_tokens: int = 128
    timeout_s: float = 1e6


@dataclass
class Job:
    """
    One request and its outcome.

    :param prompt: number of the prompt; equal numbers share all blocks.
    :param arrived: virtual time in seconds.
    :param on_finished: called when the request has ended.
    :param token_times: virtual times of the tokens, in seconds.
    :param attempt: number of starts so far.
    :param ended: virtual time in seconds, or `None` while it runs.
    :param forced_priority: replaces the priority that the policy sets.
    """

    ticket: Ticket
    prompt: int
    shape: RequestShape
    arrived: float
    on_finished: Callable[['Job'], None]
    token_times: list[float] = field(default_factory=list)
    attempt: int = 0
    refused: Refused | None = None
    ended: float | None = None
    route: Route | None = None
    priority: int | None = None
    forced_priority: int | None = None

    @property
    def prefix(self) -> tuple[str, ...]:
        """
        Return the hashes of the prompt's blocks.
        """
        return tuple(f'{self.prompt:08x}{block:08x}' for block in range(BLOCKS))


class VirtualRouter:
    """
    Runs streams on virtual engines by a router's policies.

    :param strategy: selects the engines.
    :param has_budget: whether retries are limited by a budget.
    """

    def __init__(
        self,
        loop: EventLoop,
        host_settings: HostSettings,
        engines: dict[str, VirtualEngine],
        strategy: SelectionStrategy,
        *,
        has_budget: bool = True,
    ) -> None:
        self._loop = loop
        self._engines = engines
        self._has_budget = has_budget
        self._jobs: dict[str, Job] = {}
        settings = RouterSettings(
            host_settings, '', '', '', KeyRing(), threads=THREADS
        )
        random = Random(host_settings.host)
        self.routes = RoutePolicy(
            PolicySettings(settings, loop.clock.steady, random, strategy)
        )
        self.admission = AdmissionController(
            THREADS, host_settings.host, self.routes.slowdown
        )
        loop.call_every(0.1, self._recheck)

    def apply_view(self, view: View) -> None:
        """
        Apply a view to the policies.
        """
        self.routes.apply_view(view)
        self.admission.apply_view(view, self._loop.now)

    def arrive(self, job: Job) -> None:
        """
        Submit a request to admission.
        """
        self._jobs[job.ticket.request] = job
        self._apply_outcomes(self.admission.arrive(job.ticket, self._loop.now))

    def start(self, job: Job) -> None:
        """
        Start a request without admission, or again after a failure.
        """
        job.attempt += 1
        avoid = frozenset[str]()
        if job.route is not None:
            avoid = frozenset(
                stage.target
                for stage in job.route.stages
                if self._engines[stage.target].dead
            )
        route = self.routes.choose_path(
            RouteDemand(
                job.ticket.request,
                job.ticket.workspace,
                job.ticket.serves,
                prefix=job.prefix,
                prompt_tokens=job.shape.prompt_tokens,
                avoid=avoid,
            )
        )
        if isinstance(route, Refused):
            self._end(job, route)
            return
        job.route = route
        job.priority = job.forced_priority
        if job.priority is None:
            job.priority = self.admission.step_priority(job.ticket)
        self._send_step(job, 0, first=True)

    def handle_engine_crash(self, name: str) -> None:
        """
        Fail the calls to a crashed engine after their timeout.
        """
        for job in self._jobs.values():
            if job.ended is None and job.route is not None:
                if any(stage.target == name for stage in job.route.stages):
                    self._loop.call_later(
                        CALL_TIMEOUT_S,
                        partial(self._handle_failure, job, name, job.attempt),
                    )

    def _send_step(self, job: Job, index: int, *, first: bool) -> None:
        stage = job.route.stages[index]
        engine = self._engines[stage.target]
        layers = stage.last_layer - stage.first_layer + 1
        share = layers / engine.layers
        cost: float = 1
        if first:
            tokens = job.shape.prompt_tokens + len(job.token_times)
            if stage.first_layer == 0:
                cost += engine.prompt_cost(job.prefix, tokens)
            else:
                cost += tokens / PROMPT_TOKENS_PER_STEP
        attempt = job.attempt
        sent = self._loop.now
        answered = partial(
            self._handle_answer, job, index, attempt, sent, first
        )
        submit = partial(
            engine.submit,
            cost,
            share,
            job.priority,
            lambda: self._loop.call_later(LINK_DELAY_S, answered),
        )
        self._loop.call_later(LINK_DELAY_S, submit)
        if engine.dead:
            self._loop.call_later(
                CALL_TIMEOUT_S,
                partial(self._handle_failure, job, stage.target, attempt),
            )

    def _handle_answer(
        self, job: Job, index: int, attempt: int, sent: float, first: bool
    ) -> None:
        if attempt != job.attempt or job.ended is not None:
            return
        stage = job.route.stages[index]
        self.routes.record_success(stage.target, self._loop.now - sent)
        if index + 1 < len(job.route.stages):
            self._send_step(job, index + 1, first=first)
            return
        job.token_times.append(self._loop.now)
        if len(job.token_times) >= job.shape.answer:
            self._end(job, None)
        elif self._loop.now > job.ticket.deadline:
            self._end(job, None)
        else:
            self._send_step(job, 0, first=False)

    def _handle_failure(self, job: Job, target: str, attempt: int) -> None:
        if attempt != job.attempt or job.ended is not None:
            return
        self.routes.record_failure(target, 0, 'no answer')
        if self._loop.now > job.ticket.deadline:
            self._end(job, None)
        elif self._may_retry(job):
            self.start(job)
        else:
            self._end(job, None)

    def _may_retry(self, job: Job) -> bool:
        """
        Tell whether a stream may be retried on a new path.

        The first retry is always allowed.
        """
        if not self._has_budget or job.attempt < 2:
            return True
        return self.routes.spend_retry(job.ticket.serves)

    def _end(self, job: Job, refused: Refused | None) -> None:
        job.refused = refused
        job.ended = self._loop.now
        self.routes.release_path(job.ticket.request)
        self._jobs.pop(job.ticket.request, None)
        tokens = (
            0 if refused else len(job.token_times) + job.shape.prompt_tokens
        )
        self._apply_outcomes(
            self.admission.leave(job.ticket, tokens, self._loop.now)
        )
        job.on_finished(job)

    def _recheck(self) -> None:
        waiting = [
            request for request, job in self._jobs.items() if job.route is None
        ]
        for request in waiting:
            self._apply_outcomes(
                self.admission.recheck(request, self._loop.now)
            )

    def _apply_outcomes(self, outcomes: list[Outcome]) -> None:
        for outcome in list(outcomes):
            job = self._jobs.get(outcome.request)
            if job is None:
                continue
            if outcome.refused is None:
                self.start(job)
            else:
                job.refused = outcome.refused
                job.ended = self._loop.now
                self._jobs.pop(outcome.request)
                job.on_finished(job)
