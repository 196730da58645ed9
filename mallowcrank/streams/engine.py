"""
Batches the steps of all streams into calls to one engine.

An engine is used by the driver's thread only, so that a step passes through two
threads: the driver's and a sender's. Steps are collected while calls are in
flight. A call without an answer within the timeout, which follows the engine's
latency, is reported as lost; its steps are sent again over a new connection. A
late answer to a timed-out call is still used if its stream waits for it.
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

MAX_TIMED_OUT_CALLS = 6  # sender threads beside those for calls in flight
LATE_ANSWER_WAIT_S = 0.05  # for the answer to a timed-out call
# A call is aborted after HARD_TIMEOUT_BASE_S + HARD_TIMEOUT_FACTOR timeouts.
HARD_TIMEOUT_FACTOR = 4
HARD_TIMEOUT_BASE_S = 1


@dataclass(frozen=True, slots=True)
class CallEnded:
    """
    Message to the driver: a call was answered or failed.

    :param engine: number of the engine in the pool.
    """

    engine: int
    call: EngineCall
    answer: tuple[StepResult, ...] | Failure
    seconds: float


@dataclass(frozen=True, slots=True)
class CallTimedOut:
    """
    Message to the driver: a call has timed out.
    """

    engine: int
    call_number: int


@dataclass(frozen=True, slots=True)
class RefusalsDue:
    """
    Message to the driver: the wait before passing on refusals is over.
    """

    engine: int
    refusals: tuple[StepResult, ...]


EngineMessage = CallEnded | CallTimedOut | RefusalsDue


@dataclass(frozen=True, slots=True)
class StepsAnswered:
    """
    Answers to steps.

    :param seconds: duration of the call, or 0 if it was already counted.
    :param latency: the engine's measured latency.
    """

    target: str
    answers: tuple[StepResult, ...]
    seconds: float
    latency: EngineLatency


@dataclass(frozen=True, slots=True)
class StepsLost:
    """
    Steps without an answer.
    """

    target: str
    steps: tuple[Step, ...]
    ran: Ran
    reason: str


Outcome = StepsAnswered | StepsLost | None


@dataclass(frozen=True, slots=True)
class CallLimits:
    """
    Limits of calls to one engine.

    :param max_calls: maximum number of calls in flight, without those that
        have timed out.
    :param max_steps: maximum number of steps in one call.
    """

    max_calls: int = 2
    max_steps: int = 256
    timeouts: CallTimeouts = CALL_TIMEOUTS


@dataclass(frozen=True)
class EngineSettings:
    """
    How an engine is called.

    :param number: number of the engine in the pool.
    :param step_ms: step time that the target announces.
    :param open_port: opens new connections to the engine.
    """

    target: str
    number: int
    step_ms: float
    open_port: Callable[[], EnginePort]
    limits: CallLimits = CallLimits()


class Engine:
    """
    Collects steps for one engine and sends them.

    :param notify: sends the driver a message, from any thread.
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
        self._delayed_batches = 0
        self._last_number = 0

    # Queries

    @property
    def settings(self) -> EngineSettings:
        """
        Return how the engine is called.
        """
        return self._settings

    @property
    def is_idle(self) -> bool:
        """
        Tell whether there are no waiting steps, no open calls and no refusals
        that are delayed.
        """
        return not (
            self._waiting
            or self._calls
            or self._timed_out
            or self._delayed_batches
        )

    # Commands

    def add_step(self, step: Step) -> None:
        """
        Add a step to the next call.
        """
        self._waiting.append(step)

    def free_states(self, streams: tuple[tuple[str, int], ...]) -> None:
        """
        Free KV states of streams, each up to an attempt number.
        """
        self._senders.submit(self._port.cancel, streams)

    def stop(self) -> None:
        """
        Release the threads.
        """
        self._senders.shutdown(wait=False, cancel_futures=True)

    def flush(self) -> None:
        """
        Send the waiting steps, within the limit of calls in flight.
        """
        limits = self._settings.limits
        while self._waiting and len(self._calls) < limits.max_calls:
            steps, rest = split_batch(self._waiting, limits.max_steps)
            self._waiting = rest
            self._start_call(steps)

    def handle(self, message: EngineMessage) -> Outcome:
        """
        Handle the outcome of a call.

        :returns: what to report to the streams, if anything.
        """
        match message:
            case CallEnded():
                return self._end_call(message)
            case CallTimedOut(call_number=number):
                return self._time_out_call(number)
            case RefusalsDue(refusals=refusals):
                self._delayed_batches -= 1
                return _steps_answered(self._target, refusals, 0, self._latency)

    def _start_call(self, steps: tuple[Step, ...]) -> None:
        self._last_number += 1
        call = EngineCall(self._last_number, steps, self._clock.steady())
        self._calls[call.number] = call
        tokens = sum(each.extra_tokens for each in self._calls.values())
        timeouts_config = self._settings.limits.timeouts
        timeout = call_timeout(self._latency, tokens, timeouts_config)
        self._timer.schedule(
            timeout, partial(self._report_timeout, call.number)
        )
        hard_timeout = HARD_TIMEOUT_BASE_S + HARD_TIMEOUT_FACTOR * timeout
        self._senders.submit(self._send, self._port, call, hard_timeout)

    def _report_timeout(self, number: int) -> None:
        """
        Report a call that has not ended; runs in the timer's thread.

        Nearly all calls have ended by then, so that the driver gets no message
        for them.
        """
        if number in self._calls:
            self._notify(CallTimedOut(self._settings.number, number))

    def _send(
        self, port: EnginePort, call: EngineCall, timeout_s: float
    ) -> None:
        """
        Send a call and wait for its answer; runs in a sender's thread.
        """
        answer = port.run(call.steps, timeout_s)
        seconds = self._clock.steady() - call.started
        self._notify(CallEnded(self._settings.number, call, answer, seconds))

    def _end_call(self, ended: CallEnded) -> Outcome:
        in_flight = self._calls.pop(ended.call.number, None)
        self._timed_out.pop(ended.call.number, None)
        if isinstance(ended.answer, Failure):
            if in_flight is None:
                return None
            return _steps_lost(self._target, in_flight, ended.answer)
        self._latency = observe_call(
            self._latency, ended.seconds, ended.call.extra_tokens
        )
        answers = self._delay_refusals(ended.answer)
        return _steps_answered(
            self._target, answers, ended.seconds, self._latency
        )

    def _delay_refusals(
        self, answers: Sequence[StepResult]
    ) -> tuple[StepResult, ...]:
        """
        Delay refusals while a timed-out call that may have run the step can
        still be answered.

        :returns: the answers to pass on now.
        """
        if not self._timed_out:
            return tuple(answers)
        timed_out = list(self._timed_out.values())
        delayed = tuple(
            each for each in answers if is_answer_pending(each, timed_out)
        )
        if delayed:
            self._delayed_batches += 1
            message = RefusalsDue(self._settings.number, delayed)
            self._timer.schedule(
                LATE_ANSWER_WAIT_S, partial(self._notify, message)
            )
        return tuple(each for each in answers if each not in delayed)

    def _time_out_call(self, number: int) -> Outcome:
        call = self._calls.pop(number, None)
        if call is None:
            return None
        self._timed_out[number] = call
        self._port = self._settings.open_port()
        failure = Failure('the call went silent', Ran.UNKNOWN)
        return _steps_lost(self._target, call, failure)


def _steps_answered(
    target: str,
    answers: tuple[StepResult, ...],
    seconds: float,
    latency: EngineLatency,
) -> Outcome:
    if not answers:
        return None
    return StepsAnswered(target, answers, seconds, latency)


def _steps_lost(target: str, call: EngineCall, failure: Failure) -> StepsLost:
    return StepsLost(target, call.steps, failure.ran, failure.reason)
