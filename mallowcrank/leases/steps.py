"""
Decides the next step of an order, without side effects.

An engine that checks fencing numbers rejects orders of older leases itself.
For an engine that ignores them, or doesn't state whether it checks, an order
is sent only after the previous lease and its orders have expired. Orders are
absolute and short-lived, and each target gets one at a time.
"""

from dataclasses import dataclass, replace

from mallowcrank.leases.orders import (
    EngineState,
    Order,
    Stage,
    is_fulfilled,
)
from mallowcrank.leases.records import DEFAULT_TIMINGS, LeaseTimings

FENCING_CHECKED = 'checks'  # reported by engines that reject old fences
HOLD_PROPAGATION_S = 2  # until all routers stop sending the target new work
MIN_IDLE_S = 1  # an engine's reported load lags behind
DRAIN_TIMEOUT_S = 120
ORDER_TIMEOUT_S = 600  # from submission, over all stages
MAX_TRIES = 3
NO_FENCE = -1  # the order has not been under a lease yet


@dataclass(frozen=True, slots=True)
class Job:
    """
    An order and its progress.

    All times except `created_wall` are seconds on the monotonic clock.

    :param created: when it was submitted.
    :param created_wall: the same, in seconds since the epoch.
    :param fence: the fencing number of the lease that it runs under. It is
        not continued under another lease, because other agents may have sent
        orders in between.
    :param since: when its current stage began.
    :param idle_since: since when the engine has reported no load, or `None`.
    :param ends: until when the last message sent for it may take effect.
    :param tries: how often it was sent.
    :param note: why it waits, failed or expired, as shown to operators.
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
    The facts from which a step is decided.

    :param steady: the present, in seconds on the monotonic clock.
    :param holds_lease: whether all leases needed are held and still valid.
    :param prior_orders_over: whether no order of an earlier lease holder can
        still take effect.
    :param is_first: whether no earlier order for the target is unfinished.
    :param can_load: whether no other order is loading weights.
    :param state: the engine's state as just read, or `None` if unreadable.
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
    Do nothing for now.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Drain:
    """
    Drain the target: routers send it no new work.
    """


@dataclass(frozen=True, slots=True)
class Send:
    """
    Send the order to the engine.
    """


@dataclass(frozen=True, slots=True)
class ChangeStage:
    """
    Move the order to another stage.
    """

    stage: Stage
    note: str = ''


Step = Wait | Drain | Send | ChangeStage


def next_step(job: Job, inputs: StepInput) -> Step:
    """
    Return the next step of an order.
    """
    deadline = max(
        job.created + ORDER_TIMEOUT_S, job.ends + inputs.timings.margin_s
    )
    if inputs.steady > deadline:
        return ChangeStage(Stage.FAILED, f'it took too long: {job.note}')
    if not inputs.is_first:
        return Wait('an earlier order for the target is at hand')
    if not inputs.holds_lease:
        if job.fence == NO_FENCE:
            return Wait('the lease is not held')
        return ChangeStage(
            Stage.FAILED, 'the lease was lost; order again if wanted'
        )
    if inputs.state is None:
        return Wait('the engine can not be read back')
    if inputs.state.leaving:
        return ChangeStage(Stage.FAILED, 'the engine is leaving')
    return _step_with_engine(job, inputs, inputs.state)


def _step_with_engine(job: Job, inputs: StepInput, state: EngineState) -> Step:
    if job.stage is Stage.APPLIED:
        return _step_applied(job, inputs, state)
    if not is_safe_to_send(state.fencing, inputs.prior_orders_over):
        return Wait('the old lease and its orders have to end')
    if job.stage is Stage.SENT:
        return _step_sent(job, inputs, state)
    if is_fulfilled(job.order, state):
        return ChangeStage(Stage.APPLIED)
    return Drain() if job.stage is Stage.QUEUED else _step_draining(job, inputs)


def is_safe_to_send(fencing: str, prior_orders_over: bool) -> bool:
    """
    Tell whether orders of earlier leases can no longer interfere.

    :param fencing: how the engine treats old fencing numbers, as it reports.
    """
    return fencing == FENCING_CHECKED or prior_orders_over


def update_idle_since(job: Job, state: EngineState, steady: float) -> Job:
    """
    Return the job with `idle_since` updated from its engine's load.

    :param steady: the present, in seconds on the monotonic clock.
    """
    if state.load:
        return replace(job, idle_since=None)
    if job.idle_since is None:
        return replace(job, idle_since=steady)
    return job


def _step_draining(job: Job, inputs: StepInput) -> Step:
    draining_s = inputs.steady - job.since
    is_idle = job.idle_since is not None and (
        inputs.steady - max(job.idle_since, job.since + HOLD_PROPAGATION_S)
        >= MIN_IDLE_S
    )
    if not is_idle:
        if draining_s > DRAIN_TIMEOUT_S:
            return ChangeStage(Stage.FAILED, 'work in flight did not end')
        return Wait('work in flight has to end')
    if not inputs.can_load:
        return Wait('another load has the weight store')
    return Send()


def _step_sent(job: Job, inputs: StepInput, state: EngineState) -> Step:
    if is_fulfilled(job.order, state):
        return ChangeStage(Stage.APPLIED)
    if inputs.steady < job.ends + inputs.timings.margin_s:
        return Wait('the engine is at work on it')
    if job.tries >= MAX_TRIES:
        return ChangeStage(Stage.FAILED, job.note or 'the engine did not obey')
    return ChangeStage(Stage.DRAINING, job.note)


def _step_applied(job: Job, inputs: StepInput, state: EngineState) -> Step:
    if not is_fulfilled(job.order, state):
        return ChangeStage(
            Stage.QUEUED, 'an order of an older lease came between'
        )
    if inputs.prior_orders_over:
        return ChangeStage(Stage.DONE)
    return Wait('an order of an older lease may still be at work')
