"""
The next step of an order, as a pure decision.

An engine that checks fencing numbers is safe by that. With one that ignores
them, or has not said, no order is sent before the old lease and its orders
are over; orders are absolute, live for a short time, and go one at a time.
"""

from dataclasses import dataclass, replace

from mallowcrank.leases.orders import (
    EngineState,
    Order,
    Stage,
    is_fulfilled,
)
from mallowcrank.leases.records import DEFAULT_TIMINGS, LeaseTimings

FENCING_CHECKED = (
    'checks'  # what an engine says that refuses old fencing numbers
)
HOLD_PROPAGATION_S = 2  # until all routers know that a target takes no new work
MIN_IDLE_S = 1  # that an engine's lagging load must have been none
DRAIN_TIMEOUT_S = 120  # for work in flight to end
ORDER_TIMEOUT_S = 600  # for an order in all
MAX_TRIES = 3
NO_FENCE = -1


@dataclass(frozen=True, slots=True)
class Job:
    """
    An order at hand.

    All times but one are steady seconds.

    :param created_wall: when it was taken, by the wall clock.
    :param fence: the lease under which it goes forward. Under another one
        it is not gone on with, as others may have given orders meanwhile.
    :param since: when its stage began.
    :param idle_since: since when the engine had no load, or `None`.
    :param ends: until when the last sent order may be at work.
    """

    id: str
    order: Order
    created: float
    created_wall: float = 0
    fence: int = NO_FENCE
    stage: Stage = Stage.QUEUED
    since: float = 0
    idle_since: float | None = None
    ends: float = 0
    tries: int = 0
    note: str = ''


@dataclass(frozen=True, slots=True)
class StepInput:
    """
    What is known when a step is decided.

    :param holds_lease: whether this agent surely holds all leases needed.
    :param waited_out: whether no order of earlier holders can be at work.
    :param state: the engine as it was just read back, or `None`.
    :param is_first: whether no earlier order for the target is at hand.
    :param can_load: whether no other load of weights is at work.
    """

    steady: float
    holds_lease: bool
    prior_orders_over: bool
    is_first: bool
    can_load: bool
    state: EngineState | None
    timings: LeaseTimings = DEFAULT_TIMINGS


@dataclass(frozen=True, slots=True)
class Wait:
    """
    Nothing can be done yet.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Drain:
    """
    Have routers give the target nothing new.
    """


@dataclass(frozen=True, slots=True)
class Send:
    """
    Send the order to the engine.
    """


@dataclass(frozen=True, slots=True)
class ChangeStage:
    """
    Go on to another stage.
    """

    stage: Stage
    note: str = ''


Step = Wait | Drain | Send | ChangeStage


def next_step(job: Job, facts: StepInput) -> Step:
    """
    Return the next step of an order.
    """
    limit = max(
        job.created + ORDER_TIMEOUT_S, job.ends + facts.timings.margin_s
    )
    if facts.steady > limit:
        return ChangeStage(Stage.FAILED, f'it took too long: {job.note}')
    if not facts.is_first:
        return Wait('an earlier order for the target is at hand')
    if not facts.holds_lease:
        if job.fence == NO_FENCE:
            return Wait('the lease is not held')
        return ChangeStage(
            Stage.FAILED, 'the lease was lost; order again if wanted'
        )
    if facts.state is None:
        return Wait('the engine can not be read back')
    if facts.state.leaving:
        return ChangeStage(Stage.FAILED, 'the engine is leaving')
    return _step_with(job, facts, facts.state)


def _step_with(job: Job, facts: StepInput, state: EngineState) -> Step:
    if job.stage is Stage.APPLIED:
        return _settle(job, facts, state)
    if not is_safe_to_send(state.fencing, facts.prior_orders_over):
        return Wait('the old lease and its orders have to end')
    if job.stage is Stage.SENT:
        return _read_back(job, facts, state)
    if is_fulfilled(job.order, state):
        return ChangeStage(Stage.APPLIED)
    return Drain() if job.stage is Stage.QUEUED else _drained(job, facts)


def is_safe_to_send(fencing: str, waited_out: bool) -> bool:
    """
    Tell whether orders of earlier leases can do no harm any more.

    :param fencing: what the engine says of old fencing numbers.
    """
    return fencing == FENCING_CHECKED or waited_out


def update_idle_since(job: Job, state: EngineState, steady: float) -> Job:
    """
    Return an order with what its engine's load says.
    """
    if state.load:
        return replace(job, idle_since=None)
    if job.idle_since is None:
        return replace(job, idle_since=steady)
    return job


def _drained(job: Job, facts: StepInput) -> Step:
    drained_s = facts.steady - job.since
    is_idle = job.idle_since is not None and (
        facts.steady - max(job.idle_since, job.since + HOLD_PROPAGATION_S)
        >= MIN_IDLE_S
    )
    if not is_idle:
        if drained_s > DRAIN_TIMEOUT_S:
            return ChangeStage(Stage.FAILED, 'work in flight did not end')
        return Wait('work in flight has to end')
    if not facts.can_load:
        return Wait('another load has the weight store')
    return Send()


def _read_back(job: Job, facts: StepInput, state: EngineState) -> Step:
    if is_fulfilled(job.order, state):
        return ChangeStage(Stage.APPLIED)
    if facts.steady < job.ends + facts.timings.margin_s:
        return Wait('the engine is at work on it')
    if job.tries >= MAX_TRIES:
        return ChangeStage(Stage.FAILED, job.note or 'the engine did not obey')
    return ChangeStage(Stage.DRAINING, job.note)


def _settle(job: Job, facts: StepInput, state: EngineState) -> Step:
    if not is_fulfilled(job.order, state):
        return ChangeStage(
            Stage.QUEUED, 'an order of an older lease came between'
        )
    if facts.prior_orders_over:
        return ChangeStage(Stage.DONE)
    return Wait('an order of an older lease may still be at work')
