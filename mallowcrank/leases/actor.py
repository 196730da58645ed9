"""
The actor that holds leases and orders at hand.
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

MAX_ACTIVE_ORDERS = 32  # orders at work at a time; the others wait their turn
MAX_FINISHED_ORDERS = 500  # orders that are over and still shown
log = PartLog('orders')


@dataclass(frozen=True, slots=True)
class ReadyOrder:
    """
    An order that may be sent now.

    :param wire: the order as the engine gets it.
    """

    job: Job
    message: OrderMessage


@dataclass(frozen=True, slots=True)
class OrdersStatus:
    """
    What an operator sees.

    :param table: all leases, as the log has them.
    :param is_out: whether the log can't be read.
    :param jobs: all orders, the oldest first.
    """

    table: LeaseTable
    is_log_unavailable: bool
    jobs: tuple[Job, ...]


class OrdersActor(ThreadingActor):
    """
    Decides on leases and orders; what it decides is done outside.

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
        self._keeper = LeaseManager(holder, timings)
        self._clock = clock
        self._timeline = timeline
        self._jobs: dict[str, Job] = {}
        self._looked = Instant(clock.steady(), clock.now())

    # Queries

    def status(self) -> OrdersStatus:
        """
        Return what an operator sees.
        """
        return OrdersStatus(
            self._keeper.table,
            self._keeper.is_log_unavailable,
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
        Take in a page of the log.
        """
        self._keeper.apply_page(page, self._wake())

    def apply_outage(self) -> None:
        """
        Take in that the log could not be read.
        """
        self._wake()
        self._keeper.apply_outage()

    def submit(self, name: str, order: Order) -> Job:
        """
        Take an order from an operator.
        """
        over = [job.id for job in self._jobs.values() if job.stage.is_over]
        for old in over[:-MAX_FINISHED_ORDERS]:
            self._jobs.pop(old)
        now = Instant(self._clock.steady(), self._clock.now())
        job = Job(name, order, created=now.steady, created_wall=now.wall)
        self._jobs[name] = job
        self._note(job, 'is queued')
        # Right after a pause, it may have come before the pause.
        self._wake()
        return self._jobs[name]

    def next_record(self) -> LeaseRecord | None:
        """
        Return the lease record to append now, if any.
        """
        now = self._wake()
        wanted = {
            group for job in self.active_jobs() for group in _groups(job.order)
        }
        return self._keeper.next_record(wanted, now)

    def advance(self, name: str, state: EngineState | None) -> Step:
        """
        Decide on the next step of an order, and note what it changes.

        :param state: the engine as it was just read back.
        """
        now = self._wake()
        job = self._jobs[name]
        job = _with_fence(job, self._grant(job, now))
        if job.stage.is_over:
            return Wait(job.note)
        if state is not None:
            job = update_idle_since(job, state, now.steady)
        step = next_step(job, self._facts(job, state, now))
        if isinstance(step, Wait):
            job = replace(job, note=step.reason)
        elif isinstance(step, Drain):
            job = _at(job, Stage.DRAINING, now)
            self._note(job, 'has its target drained')
        elif isinstance(step, ChangeStage):
            job = _at(replace(job, note=step.note), step.stage, now)
            self._note(job, f'is {step.stage}')
        self._jobs[name] = job
        return step

    def begin_send(
        self, name: str, rate: WeightRate | None
    ) -> ReadyOrder | None:
        """
        Return an order ready to be sent, if the lease still lasts.

        To be called right before it is sent: after a pause, the clocks tell
        that the lease is over.
        """
        now = self._wake()
        job = self._jobs[name]
        grant = self._grant(job, now)
        life = order_lifetime_s(job.order, rate, self._timings)
        if life is None:
            failed = replace(job, note='the weight store is too slow')
            self._jobs[name] = _at(failed, Stage.FAILED, now)
            return None
        if grant is None:
            return None
        tries = job.tries + 1
        job = replace(job, tries=tries, ends=now.steady + life)
        self._jobs[name] = _at(job, Stage.SENT, now)
        self._note(job, 'is sent')
        wire = make_order_message(
            f'{job.id}.{tries}', job.order, grant.fence, now.wall + life
        )
        return ReadyOrder(job, wire)

    def record_refusal(self, name: str, why: str) -> None:
        """
        An engine refused an order; it is not at work there.
        """
        now = self._wake()
        job = self._jobs[name]
        job = replace(job, note=why, ends=now.steady - 1)
        self._jobs[name] = _at(job, Stage.FAILED, now)
        self._note(job, f'is refused: {why}')

    def _facts(
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
            holds_lease=self._grant(job, now) is not None,
            prior_orders_over=self._keeper.are_prior_orders_over(
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

    def _grant(self, job: Job, now: Instant) -> Grant | None:
        grants = [
            self._keeper.valid_grant(group, now) for group in _groups(job.order)
        ]
        first = grants[0]
        if first is None or None in grants:
            return None
        return first if job.fence in {NO_FENCE, first.fence} else None

    def _wake(self) -> Instant:
        now = Instant(self._clock.steady(), self._clock.now())
        for job in tuple(self._jobs.values()):
            expired = expire_queued(job, self._looked, now, self._timings)
            if expired is not None:
                self._jobs[job.id] = expired
                self._note(expired, f'is {expired.note}')
        self._looked = now
        return now

    def _note(self, job: Job, what: str) -> None:
        log.say(f'An order {what}.', order=job.id, target=job.order.target)
        self._timeline.record(
            'orders', f'order {job.id} {what}', target=job.order.target
        )


def _groups(order: Order) -> tuple[str, ...]:
    group = group_of(order.target)
    if order.action is Action.LOAD:
        return group, WEIGHTS_GROUP
    return (group,)


def _with_fence(job: Job, grant: Grant | None) -> Job:
    return job if grant is None else replace(job, fence=grant.fence)


def _at(job: Job, stage: Stage, now: Instant) -> Job:
    return replace(job, stage=stage, since=now.steady)
