"""
The actor that keeps the state of leases and orders.
"""

from dataclasses import dataclass, replace

from pykka import ThreadingActor

from mallowcrank.clock import Clock
from mallowcrank.leases.engines import OrderMessage, make_order_message
from mallowcrank.leases.expiry import expire_queued
from mallowcrank.leases.fold import LeaseTable
from mallowcrank.leases.grants import Grant
from mallowcrank.leases.manager import LeaseManager
from mallowcrank.leases.orders import (
    Action,
    EngineState,
    Order,
    Stage,
    WeightRate,
    order_lifetime_s,
)
from mallowcrank.leases.records import (
    DEFAULT_TIMINGS,
    WEIGHTS_GROUP,
    LeaseRecord,
    LeaseTimings,
    group_of,
)
from mallowcrank.leases.steps import (
    NO_FENCE,
    ChangeStage,
    Drain,
    Job,
    Step,
    StepInput,
    Wait,
    next_step,
    update_idle_since,
)
from mallowcrank.logs import PartLog
from mallowcrank.membership.events import Instant
from mallowcrank.ports import LogPage
from mallowcrank.timeline import Timeline

MAX_ACTIVE_ORDERS = 32  # worked on at a time; later ones wait
MAX_FINISHED_ORDERS = 500  # kept to be shown to operators
log = PartLog('orders')


@dataclass(frozen=True, slots=True)
class ReadyOrder:
    """
    An order that may be sent now.

    :param message: the body to send to the engine.
    """

    job: Job
    message: OrderMessage


@dataclass(frozen=True, slots=True)
class OrdersStatus:
    """
    The leases and orders, as shown to operators.

    :param table: all leases as read from the log.
    :param is_log_unavailable: whether the last read of the log failed.
    :param jobs: all orders, the oldest first.
    """

    table: LeaseTable
    is_log_unavailable: bool
    jobs: tuple[Job, ...]


class OrdersActor(ThreadingActor):
    """
    Decides on leases and orders; its caller carries out the decisions.

    :param holder: this agent's host and incarnation.
    """

    def __init__(
        self,
        holder: str,
        clock: Clock,
        timeline: Timeline,
        timings: LeaseTimings = DEFAULT_TIMINGS,
    ) -> None:
        super().__init__()
        self._timings = timings
        self._manager = LeaseManager(holder, timings)
        self._clock = clock
        self._timeline = timeline
        self._jobs: dict[str, Job] = {}
        self._last_check = Instant(clock.steady(), clock.now())

    # Queries

    def status(self) -> OrdersStatus:
        """
        Return the leases and orders, as shown to operators.
        """
        return OrdersStatus(
            self._manager.table,
            self._manager.is_log_unavailable,
            tuple(self._jobs.values()),
        )

    def active_jobs(self) -> tuple[Job, ...]:
        """
        Return the orders to work on now.
        """
        unfinished = (
            job for job in self._jobs.values() if not job.stage.is_over
        )
        return tuple(unfinished)[:MAX_ACTIVE_ORDERS]

    # Commands

    def apply_page(self, page: LogPage) -> None:
        """
        Apply a page of the log.
        """
        self._manager.apply_page(page, self._check_clocks())

    def apply_outage(self) -> None:
        """
        Note that a read of the log failed.
        """
        self._check_clocks()
        self._manager.apply_outage()

    def submit(self, name: str, order: Order) -> Job:
        """
        Queue an operator's order.

        :param name: the order's id.
        """
        finished = [job.id for job in self._jobs.values() if job.stage.is_over]
        for old in finished[:-MAX_FINISHED_ORDERS]:
            self._jobs.pop(old)
        now = Instant(self._clock.steady(), self._clock.now())
        job = Job(name, order, created=now.steady, created_wall=now.wall)
        self._jobs[name] = job
        self._log_change(job, 'is queued')
        # If the agent was just paused, the order may be from before the pause.
        self._check_clocks()
        return self._jobs[name]

    def next_record(self) -> LeaseRecord | None:
        """
        Return the lease record to append now, if any.
        """
        now = self._check_clocks()
        wanted = {
            group
            for job in self.active_jobs()
            for group in _needed_groups(job.order)
        }
        return self._manager.next_record(wanted, now)

    def advance(self, name: str, state: EngineState | None) -> Step:
        """
        Decide on the next step of an order and update the order.

        :param name: the order's id.
        :param state: the engine's state as just read, or `None` if unreadable.
        """
        now = self._check_clocks()
        job = self._jobs[name]
        job = _with_fence(job, self._valid_grant(job, now))
        if job.stage.is_over:
            return Wait(job.note)
        if state is not None:
            job = update_idle_since(job, state, now.steady)
        step = next_step(job, self._step_input(job, state, now))
        if isinstance(step, Wait):
            job = replace(job, note=step.reason)
        elif isinstance(step, Drain):
            job = _at_stage(job, Stage.DRAINING, now)
            self._log_change(job, 'has its target drained')
        elif isinstance(step, ChangeStage):
            job = _at_stage(replace(job, note=step.note), step.stage, now)
            self._log_change(job, f'is {step.stage}')
        self._jobs[name] = job
        return step

    def begin_send(
        self, name: str, rate: WeightRate | None
    ) -> ReadyOrder | None:
        """
        Return an order ready to be sent, if its lease is still valid.

        To be called right before sending: if the agent was paused in between,
        the clocks show that the lease is over.

        :param name: the order's id.
        :param rate: the weight store's throughput, or `None` if unknown.
        """
        now = self._check_clocks()
        job = self._jobs[name]
        grant = self._valid_grant(job, now)
        lifetime_s = order_lifetime_s(job.order, rate, self._timings)
        if lifetime_s is None:
            failed = replace(job, note='the weight store is too slow')
            self._jobs[name] = _at_stage(failed, Stage.FAILED, now)
            return None
        if grant is None:
            return None
        tries = job.tries + 1
        job = replace(job, tries=tries, ends=now.steady + lifetime_s)
        self._jobs[name] = _at_stage(job, Stage.SENT, now)
        self._log_change(job, 'is sent')
        message = make_order_message(
            f'{job.id}.{tries}', job.order, grant.fence, now.wall + lifetime_s
        )
        return ReadyOrder(job, message)

    def record_refusal(self, name: str, reason: str) -> None:
        """
        Fail an order that its engine refused and hasn't carried out.

        :param name: the order's id.
        :param reason: why, as shown to operators.
        """
        now = self._check_clocks()
        job = self._jobs[name]
        job = replace(job, note=reason, ends=now.steady - 1)
        self._jobs[name] = _at_stage(job, Stage.FAILED, now)
        self._log_change(job, f'is refused: {reason}')

    def _step_input(
        self, job: Job, state: EngineState | None, now: Instant
    ) -> StepInput:
        order = job.order
        earlier = (
            other
            for other in self.active_jobs()
            if other.order.target == order.target
        )
        return StepInput(
            steady=now.steady,
            holds_lease=self._valid_grant(job, now) is not None,
            prior_orders_over=self._manager.are_prior_orders_over(
                group_of(order.target), now
            ),
            is_first=next(earlier, job).id == job.id,
            can_load=order.action is not Action.LOAD
            or not any(
                other.stage is Stage.SENT and other.order.action is Action.LOAD
                for other in self.active_jobs()
            ),
            state=state,
            timings=self._timings,
        )

    def _valid_grant(self, job: Job, now: Instant) -> Grant | None:
        grants = [
            self._manager.valid_grant(group, now)
            for group in _needed_groups(job.order)
        ]
        first = grants[0]
        if first is None or None in grants:
            return None
        return first if job.fence in {NO_FENCE, first.fence} else None

    def _check_clocks(self) -> Instant:
        now = Instant(self._clock.steady(), self._clock.now())
        for job in tuple(self._jobs.values()):
            expired = expire_queued(job, self._last_check, now, self._timings)
            if expired is not None:
                self._jobs[job.id] = expired
                self._log_change(expired, f'is {expired.note}')
        self._last_check = now
        return now

    def _log_change(self, job: Job, change: str) -> None:
        log.say(f'An order {change}.', order=job.id, target=job.order.target)
        self._timeline.record(
            'orders', f'order {job.id} {change}', target=job.order.target
        )


def _needed_groups(order: Order) -> tuple[str, ...]:
    group = group_of(order.target)
    if order.action is Action.LOAD:
        return group, WEIGHTS_GROUP
    return (group,)


def _with_fence(job: Job, grant: Grant | None) -> Job:
    return job if grant is None else replace(job, fence=grant.fence)


def _at_stage(job: Job, stage: Stage, now: Instant) -> Job:
    return replace(job, stage=stage, since=now.steady)
