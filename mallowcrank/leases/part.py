"""
The part of the agent that holds leases and sends orders.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from mallowcrank.agent.loops import Loop
from mallowcrank.clock import Clock
from mallowcrank.leases.actor import OrdersActor
from mallowcrank.leases.engines import (
    fetch_engine_state,
    fetch_weight_rate,
    send_order,
)
from mallowcrank.leases.holds import HoldPublisher
from mallowcrank.leases.orders import EngineState
from mallowcrank.leases.records import (
    DEFAULT_TIMINGS,
    LeaseTimings,
    encode_record,
    group_of,
)
from mallowcrank.leases.steps import (
    ChangeStage,
    Drain,
    Job,
    Send,
    Step,
)
from mallowcrank.logs import PartLog
from mallowcrank.membership.facts import Hold
from mallowcrank.ports import Failure, LogPage, LogPort
from mallowcrank.timeline import Timeline
from mallowcrank.view import Target, TargetState

ACTIVE_INTERVAL_S = 0.25  # between two runs while orders are unfinished
IDLE_INTERVAL_S = 1  # the same without any
CONFLICT = 409
OK = 200
log = PartLog('orders')


@dataclass(frozen=True)
class OrdersEnvironment:
    """
    What orders need of the agent.

    :param holder: the agent's host and incarnation.
    :param weights: `IP:PORT` of the weight store, or an empty string.
    :param targets: returns the known targets by name.
    :param publish: sends a hold to all agents.
    """

    holder: str
    weights: str
    platform_log: LogPort
    targets: Callable[[], Mapping[str, Target]]
    publish: Callable[[Hold], None]
    clock: Clock
    timeline: Timeline
    timings: LeaseTimings = DEFAULT_TIMINGS


class OrdersPart:
    """
    A `LogSink` that carries out orders under leases.
    """

    def __init__(self, environment: OrdersEnvironment) -> None:
        self._environment = environment
        self._actor_ref = OrdersActor.start(
            environment.holder,
            environment.clock,
            environment.timeline,
            environment.timings,
        )
        self._actor = self._actor_ref.proxy()
        self._loop = Loop('orders', self._run_once)
        self._holds = HoldPublisher(
            environment.publish, environment.clock, environment.timings
        )

    @property
    def actor(self) -> Any:
        """
        Return a proxy of the `OrdersActor`.
        """
        return self._actor

    @property
    def clock(self) -> Clock:
        """
        Return the clock for leases and orders.
        """
        return self._environment.clock

    def targets(self) -> Mapping[str, Target]:
        """
        Return the known targets by name.
        """
        return self._environment.targets()

    def start(self) -> None:
        """
        Start working on orders.
        """
        self._loop.start()

    def stop(self) -> None:
        """
        Stop working on orders, and stop the actor.
        """
        self._loop.stop()
        self._actor_ref.stop()

    def apply_page(self, page: LogPage) -> None:
        """
        Apply a page of the log.
        """
        self._actor.apply_page(page).get()

    def apply_outage(self, _reason: str) -> None:
        """
        Note that a read of the log failed.
        """
        self._actor.apply_outage().get()

    def _run_once(self) -> float:
        record = self._actor.next_record().get()
        if record is not None:
            answer = self._environment.platform_log.append(
                encode_record(record)
            )
            if isinstance(answer, Failure):
                log.say('A lease record may be lost.', reason=answer.reason)
        jobs = self._actor.active_jobs().get()
        for job in jobs:
            self._advance_job(job)
        return ACTIVE_INTERVAL_S if jobs else IDLE_INTERVAL_S

    def _advance_job(self, job: Job) -> None:
        target = self.targets().get(job.order.target)
        state = _read_state(target)
        step: Step = self._actor.advance(job.id, state).get()
        if target is None:
            return
        if isinstance(step, Drain):
            self._holds.begin(job, self._current_fence(job))
        elif isinstance(step, Send):
            self._send_order(job, target)
        elif isinstance(step, ChangeStage) and (
            step.stage.is_over or step.stage == 'applied'
        ):
            self._holds.end(job)
        else:
            self._holds.renew(job)

    def _send_order(self, job: Job, target: Target) -> None:
        rate = fetch_weight_rate(self._environment.weights)
        ready = self._actor.begin_send(job.id, rate).get()
        if ready is None:
            self._holds.end(job)
            return
        answer = send_order(target.address, ready.message)
        if answer == CONFLICT:
            reason = 'the engine saw a newer fencing number'
            self._actor.record_refusal(job.id, reason).get()
            self._holds.end(job)
        elif answer != OK:
            log.say('An order may be lost.', order=job.id, why=str(answer))

    def _current_fence(self, job: Job) -> int:
        lease = self._actor.status().get().table.get(group_of(job.order.target))
        return lease.fence if lease else 0


def _read_state(target: Target | None) -> EngineState | None:
    if target is None or target.state is TargetState.GONE:
        return None
    state = fetch_engine_state(target.address)
    return None if isinstance(state, Failure) else state
