"""
One engine, as its streams see it: their steps share calls.

It is used by the driver's thread only, so that a step has two threads to go
through, the driver's and a sender's. Steps gather while calls are in flight. A
call that stays silent for longer than the engine's pace allows is in doubt:
its steps are reported as lost, and go again over a fresh connection. The late
answer of a call in doubt still counts, where a stream still waits for it.
"""

from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial

from mallowcrank.clock import Clock
from mallowcrank.ports import EnginePort, Failure, Step, StepResult
from mallowcrank.refusals import Ran
from mallowcrank.streams.batches import (
    EngineCall,
    is_answer_pending,
    split_batch,
)
from mallowcrank.streams.call_timeouts import (
    CALL_TIMEOUTS,
    CallTimeouts,
    EngineLatency,
    call_timeout,
    initial_latency,
    observe_call,
)
from mallowcrank.streams.timer import Timer

MAX_TIMED_OUT_CALLS = 6  # that can stay open beside those in flight
LATE_ANSWER_WAIT_S = 0.05  # for the answer of a call in doubt to arrive
HARD_TIMEOUT_FACTOR = 4  # silence limits until a call in doubt is closed
HARD_TIMEOUT_BASE_S = 1


@dataclass(frozen=True, slots=True)
class CallEnded:
    """
    To the driver: a call brought its answer, or failed.

    :param engine: the number of the engine in the pool.
    """

    engine: int
    call: EngineCall
    answer: tuple[StepResult, ...] | Failure
    seconds: float


@dataclass(frozen=True, slots=True)
class CallTimedOut:
    """
    To the driver: a call has been silent for too long.
    """

    engine: int
    call_number: int


@dataclass(frozen=True, slots=True)
class RefusalsDue:
    """
    To the driver: refusals were held back for long enough.
    """

    engine: int
    refusals: tuple[StepResult, ...]


EngineMessage = CallEnded | CallTimedOut | RefusalsDue


@dataclass(frozen=True, slots=True)
class StepsAnswered:
    """
    What a call brought: answers to steps.

    :param seconds: of the call, or 0 where it was counted before.
    :param pace: what the engine's calls took so far.
    """

    target: str
    answers: tuple[StepResult, ...]
    seconds: float
    latency: EngineLatency


@dataclass(frozen=True, slots=True)
class StepsLost:
    """
    What a call did not bring: steps without an answer.
    """

    target: str
    steps: tuple[Step, ...]
    ran: Ran
    reason: str


Outcome = StepsAnswered | StepsLost | None


@dataclass(frozen=True, slots=True)
class CallLimits:
    """
    How steps share calls to one engine.

    :param calls: calls in flight at a time, those in doubt not counted.
    :param steps: steps of one call at most.
    """

    max_calls: int = 2
    max_steps: int = 256
    timeouts: CallTimeouts = CALL_TIMEOUTS


@dataclass(frozen=True)
class EngineSettings:
    """
    One engine, as it is called.

    :param number: its number in the pool.
    :param open_port: opens fresh connections to it.
    """

    target: str
    number: int
    step_ms: float
    open_port: Callable[[], EnginePort]
    limits: CallLimits = CallLimits()


class Engine:
    """
    Gathers the steps for one engine and sends them.

    :param tell: sends the driver a message, from any thread.
    """

    def __init__(
        self,
        settings: EngineSettings,
        notify: Callable[[EngineMessage], None],
        timer: Timer,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._target = settings.target
        self._notify = notify
        self._timer = timer
        self._clock = clock
        self._port = settings.open_port()
        self._latency: EngineLatency = initial_latency(settings.step_ms)
        self._senders = ThreadPoolExecutor(
            settings.limits.max_calls + MAX_TIMED_OUT_CALLS,
            thread_name_prefix=settings.target,
        )
        self._waiting: list[Step] = []
        self._calls: dict[int, EngineCall] = {}
        self._timed_out: dict[int, EngineCall] = {}
        self._held_refusals = 0
        self._last_number = 0

    # Queries

    @property
    def settings(self) -> EngineSettings:
        """
        Return how it is called.
        """
        return self._settings

    @property
    def is_idle(self) -> bool:
        """
        Tell whether nothing waits, is in flight, in doubt or held back.
        """
        return not (
            self._waiting
            or self._calls
            or self._timed_out
            or self._held_refusals
        )

    # Commands

    def add_step(self, step: Step) -> None:
        """
        Gather a step.
        """
        self._waiting.append(step)

    def free_states(self, streams: tuple[tuple[str, int], ...]) -> None:
        """
        Free the states of streams, each up to an attempt.
        """
        self._senders.submit(self._port.cancel, streams)

    def stop(self) -> None:
        """
        Let go of the threads.
        """
        self._senders.shutdown(wait=False, cancel_futures=True)

    def flush(self) -> None:
        """
        Send what has gathered, as far as calls may be in flight.
        """
        limits = self._settings.limits
        while self._waiting and len(self._calls) < limits.max_calls:
            steps, rest = split_batch(self._waiting, limits.max_steps)
            self._waiting = rest
            self._start_call(steps)

    def handle(self, message: EngineMessage) -> Outcome:
        """
        Take in what became of a call.

        :returns: what its streams have to be told, if anything.
        """
        match message:
            case CallEnded():
                return self._end_call(message)
            case CallTimedOut(call_number=number):
                return self._time_out_call(number)
            case RefusalsDue(refusals=refusals):
                self._held_refusals -= 1
                return _steps_answered(self._target, refusals, 0, self._latency)

    def _start_call(self, steps: tuple[Step, ...]) -> None:
        self._last_number += 1
        call = EngineCall(self._last_number, steps, self._clock.steady())
        self._calls[call.number] = call
        further = sum(each.extra_tokens for each in self._calls.values())
        silence = self._settings.limits.timeouts
        limit = call_timeout(self._latency, further, silence)
        self._timer.schedule(limit, partial(self._report_timeout, call.number))
        hard = HARD_TIMEOUT_BASE_S + HARD_TIMEOUT_FACTOR * limit
        self._senders.submit(self._send, self._port, call, hard)

    def _report_timeout(self, number: int) -> None:
        """
        Doubt a call that has not ended; runs in the alarm's thread.

        Nearly every call has ended by then, and costs the driver no message.
        """
        if number in self._calls:
            self._notify(CallTimedOut(self._settings.number, number))

    def _send(self, port: EnginePort, call: EngineCall, limit_s: float) -> None:
        """
        Make the call; runs in a sender's thread.
        """
        answer = port.run(call.steps, limit_s)
        seconds = self._clock.steady() - call.started
        self._notify(CallEnded(self._settings.number, call, answer, seconds))

    def _end_call(self, ended: CallEnded) -> Outcome:
        in_time = self._calls.pop(ended.call.number, None)
        self._timed_out.pop(ended.call.number, None)
        if isinstance(ended.answer, Failure):
            if in_time is None:
                return None
            return _steps_lost(self._target, in_time, ended.answer)
        self._latency = observe_call(
            self._latency, ended.seconds, ended.call.extra_tokens
        )
        told = self._hold_refusals(ended.answer)
        return _steps_answered(self._target, told, ended.seconds, self._latency)

    def _hold_refusals(
        self, answers: Sequence[StepResult]
    ) -> tuple[StepResult, ...]:
        """
        Keep back refusals while the call that ran the step may answer.
        """
        if not self._timed_out:
            return tuple(answers)
        doubtful = list(self._timed_out.values())
        held = tuple(
            each for each in answers if is_answer_pending(each, doubtful)
        )
        if held:
            self._held_refusals += 1
            later = RefusalsDue(self._settings.number, held)
            self._timer.schedule(
                LATE_ANSWER_WAIT_S, partial(self._notify, later)
            )
        return tuple(each for each in answers if each not in held)

    def _time_out_call(self, number: int) -> Outcome:
        call = self._calls.pop(number, None)
        if call is None:
            return None
        self._timed_out[number] = call
        self._port = self._settings.open_port()
        silent = Failure('the call went silent', Ran.UNKNOWN)
        return _steps_lost(self._target, call, silent)


def _steps_answered(
    target: str,
    answers: tuple[StepResult, ...],
    seconds: float,
    pace: EngineLatency,
) -> Outcome:
    if not answers:
        return None
    return StepsAnswered(target, answers, seconds, pace)


def _steps_lost(target: str, call: EngineCall, failure: Failure) -> StepsLost:
    return StepsLost(target, call.steps, failure.ran, failure.reason)
