"""
One engine, as its streams see it: their steps share calls.

Steps gather while calls are in flight. A call that stays silent for longer
than the engine's pace allows is in doubt: its steps are reported as lost, and
go again over a fresh connection. The late answer of a call in doubt still
counts, where a stream still waits for it.
"""

from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial

from pykka import ActorRef, ThreadingActor

from mallowcrank.clock import Clock
from mallowcrank.logs import PartLog
from mallowcrank.ports import EnginePort, Failure, Step, StepResult
from mallowcrank.refusals import Ran
from mallowcrank.streams.alarm import Alarm
from mallowcrank.streams.batches import (
    EngineCall,
    is_answer_pending,
    split_call,
)
from mallowcrank.streams.silence import (
    SILENCE_LIMITS,
    Pace,
    SilenceLimits,
    first_pace,
    observe_call,
    silence_limit,
)

DOUBTFUL_CALLS = 6  # that can stay open beside those in flight
LATE_ANSWER_S = 0.05  # for the answer of a call in doubt to arrive
HARD_LIMIT_FACTOR = 4  # silence limits until a call in doubt is closed
HARD_LIMIT_S = 1


@dataclass(frozen=True, slots=True)
class RunSteps:
    """
    Run steps in the next call.
    """

    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class ForgetStreams:
    """
    Free the states of streams, each up to an attempt.
    """

    streams: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class Retire:
    """
    Stop once no call is in flight.
    """


@dataclass(frozen=True, slots=True)
class CallEnded:
    """
    A call brought its answer, or failed.
    """

    call: EngineCall
    answer: tuple[StepResult, ...] | Failure
    seconds: float


@dataclass(frozen=True, slots=True)
class CallOverdue:
    """
    A call has been silent for too long.
    """

    number: int


@dataclass(frozen=True, slots=True)
class HeldBack:
    """
    Refusals that were held back for a late answer.
    """

    refusals: tuple[StepResult, ...]


@dataclass(frozen=True, slots=True)
class StepsAnswered:
    """
    To the driver: answers to steps.

    :param seconds: of the call, or 0 where it was counted before.
    :param pace: what the engine's calls took so far.
    """

    target: str
    answers: tuple[StepResult, ...]
    seconds: float
    pace: Pace


@dataclass(frozen=True, slots=True)
class StepsLost:
    """
    To the driver: steps without an answer.
    """

    target: str
    steps: tuple[Step, ...]
    ran: Ran
    reason: str


@dataclass(frozen=True, slots=True)
class CallLimits:
    """
    How steps share calls to one engine.

    :param calls: calls in flight at a time, those in doubt not counted.
    :param steps: steps of one call at most.
    """

    calls: int = 2
    steps: int = 256
    silence: SilenceLimits = SILENCE_LIMITS


@dataclass(frozen=True)
class EngineSettings:
    """
    One engine, as the actor calls it.

    :param open_port: opens fresh connections to it.
    """

    target: str
    step_ms: float
    open_port: Callable[[], EnginePort]
    limits: CallLimits = CallLimits()


class EngineActor(ThreadingActor):
    """
    Gathers the steps for one engine and sends them.
    """

    use_daemon_thread = True

    def __init__(
        self,
        settings: EngineSettings,
        driver: ActorRef,
        alarm: Alarm,
        clock: Clock,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._driver = driver
        self._alarm = alarm
        self._clock = clock
        self._port = settings.open_port()
        self._pace: Pace = first_pace(settings.step_ms)
        self._senders = ThreadPoolExecutor(
            settings.limits.calls + DOUBTFUL_CALLS,
            thread_name_prefix=settings.target,
        )
        self._waiting: list[Step] = []
        self._calls: dict[int, EngineCall] = {}
        self._doubtful: dict[int, EngineCall] = {}
        self._number = 0
        self._retired = False
        self._log = PartLog('stream')

    def on_receive(self, message: object) -> None:
        """
        Take one message, then send what has gathered.
        """
        try:
            self._take(message)
        except Exception as error:
            # The steps in it are missed by their calls' silence limits.
            self._log.say('Message failed', error=repr(error))
        if self._waiting and self.actor_inbox.empty():
            self._flush()
        if self._retired and not (self._waiting or self._calls):
            self.stop()

    def on_stop(self) -> None:
        """
        Let go of the threads.
        """
        self._senders.shutdown(wait=False, cancel_futures=True)

    def _take(self, message: object) -> None:
        match message:
            case RunSteps(steps):
                self._waiting.extend(steps)
            case CallEnded():
                self._end_call(message)
            case CallOverdue(number):
                self._doubt_call(number)
            case ForgetStreams(streams):
                self._senders.submit(self._port.cancel, streams)
            case HeldBack(refusals):
                self._answer(refusals, 0)
            case Retire():
                self._retired = True

    def _flush(self) -> None:
        limits = self._settings.limits
        while self._waiting and len(self._calls) < limits.calls:
            steps, rest = split_call(self._waiting, limits.steps)
            self._waiting = rest
            self._number += 1
            call = EngineCall(self._number, steps, self._clock.steady())
            self._calls[call.number] = call
            further = sum(each.further_tokens for each in self._calls.values())
            limit = silence_limit(self._pace, further, limits.silence)
            overdue = CallOverdue(call.number)
            self._alarm.ring(limit, partial(_tell, self.actor_ref, overdue))
            hard = HARD_LIMIT_S + HARD_LIMIT_FACTOR * limit
            self._senders.submit(self._send, self._port, call, hard)

    def _send(self, port: EnginePort, call: EngineCall, limit_s: float) -> None:
        """
        Make the call; runs in a sender's thread.
        """
        answer = port.run(call.steps, limit_s)
        seconds = self._clock.steady() - call.started
        _tell(self.actor_ref, CallEnded(call, answer, seconds))

    def _end_call(self, ended: CallEnded) -> None:
        in_time = self._calls.pop(ended.call.number, None)
        self._doubtful.pop(ended.call.number, None)
        if isinstance(ended.answer, Failure):
            if in_time:
                self._lose(ended.call, ended.answer)
            return
        self._pace = observe_call(
            self._pace, ended.seconds, ended.call.further_tokens
        )
        self._answer(self._hold_back(ended.answer), ended.seconds)

    def _hold_back(
        self, answers: Sequence[StepResult]
    ) -> tuple[StepResult, ...]:
        """
        Keep back refusals while the call that ran the step may answer.
        """
        if not self._doubtful:
            return tuple(answers)
        doubtful = list(self._doubtful.values())
        held = tuple(
            each for each in answers if is_answer_pending(each, doubtful)
        )
        if held:
            later = HeldBack(held)
            self._alarm.ring(
                LATE_ANSWER_S, partial(_tell, self.actor_ref, later)
            )
        return tuple(each for each in answers if each not in held)

    def _doubt_call(self, number: int) -> None:
        call = self._calls.pop(number, None)
        if call is None:
            return
        self._doubtful[number] = call
        self._port = self._settings.open_port()
        silent = Failure('the call went silent', Ran.UNKNOWN)
        self._lose(call, silent)

    def _answer(self, answers: tuple[StepResult, ...], seconds: float) -> None:
        if answers:
            target = self._settings.target
            _tell(
                self._driver,
                StepsAnswered(target, answers, seconds, self._pace),
            )

    def _lose(self, call: EngineCall, failure: Failure) -> None:
        lost = StepsLost(
            self._settings.target, call.steps, failure.ran, failure.reason
        )
        _tell(self._driver, lost)


def _tell(actor: ActorRef, message: object) -> None:
    if actor.is_alive():
        actor.tell(message)
