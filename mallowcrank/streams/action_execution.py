"""
Executes the actions of a stream's state machine.
"""

from dataclasses import replace
from functools import singledispatch

from mallowcrank.refusals import Ran, Refused
from mallowcrank.requests.retry import Retry, RetryContext, decide_retry
from mallowcrank.router.ports import Route
from mallowcrank.streams.actions import (
    Action,
    Emit,
    Fail,
    FindRoute,
    Finish,
    FreeStates,
    RecordEvent,
    ReportFailure,
    SendStep,
    Transfer,
    Wait,
)
from mallowcrank.streams.costs import is_import_faster
from mallowcrank.streams.driver_messages import RouteWaitOver
from mallowcrank.streams.events import (
    Event,
    InputLimitReached,
    NoRoute,
    RouteFound,
)
from mallowcrank.streams.retention import count_retained
from mallowcrank.streams.table import ActiveStream, StreamTable
from mallowcrank.streams.token_queue import StreamEnd

ROUTE_RETRY_S = 0.1  # between attempts to find a path
REPLACEMENT_TIMEOUT_S = 10  # for a replacement of a failed stage


@singledispatch
def execute_action(
    action: Action, active: ActiveStream, table: StreamTable
) -> Event | None:
    """
    Execute an action.

    :returns: the event that results at once, if any.
    :raises TypeError: if the action is of an unknown type.
    """
    raise TypeError(f'unknown action: {action!r}')


@execute_action.register
def _(action: SendStep, active: ActiveStream, table: StreamTable) -> None:
    table.pool.add_step(action.target, action.step)


@execute_action.register
def _(action: Emit, active: ActiveStream, table: StreamTable) -> Event | None:
    active.opened.token_queue.put(action.token)
    if not active.state.retains_inputs:
        return None
    stream = active.opened.task.stream
    table.input_counter.set_count(stream, count_retained(active.state))
    if not table.input_counter.is_exceeded:
        return None
    # The state machine drops the inputs with its next token.
    table.input_counter.remove(stream)
    table.ports.metrics.incr('inputs_dropped')
    table.record_event(active.opened.request, 'inputs are no longer retained')
    return InputLimitReached()


@execute_action.register
def _(action: FindRoute, active: ActiveStream, table: StreamTable) -> Event:
    opened, routes = active.opened, table.ports.routes
    tokens = active.state.total_tokens
    demand = replace(opened.demand, prompt_tokens=tokens, avoid=action.avoid)
    chosen = routes.choose_path(demand)
    if isinstance(chosen, Refused):
        return NoRoute(chosen, _may_wait(active, table.now))
    active.waiting_since = None
    opened.token_queue.route = str(chosen)
    return RouteFound(chosen, _is_import_faster(chosen, active, table))


@execute_action.register
def _(action: Wait, active: ActiveStream, table: StreamTable) -> None:
    table.schedule(ROUTE_RETRY_S, RouteWaitOver(active.opened.task.stream))


@execute_action.register
def _(action: FreeStates, active: ActiveStream, table: StreamTable) -> None:
    stream = active.opened.task.stream
    table.pool.add_free(action.target, stream, action.attempt)


@execute_action.register
def _(action: ReportFailure, active: ActiveStream, table: StreamTable) -> None:
    table.ports.routes.record_failure(
        action.target, action.incarnation, action.reason
    )


@execute_action.register
def _(action: RecordEvent, active: ActiveStream, table: StreamTable) -> None:
    table.record_event(active.opened.request, action.what, action.target)


@execute_action.register
def _(action: Transfer, active: ActiveStream, table: StreamTable) -> None:
    table.start_transfer(active.opened.task.stream, action)


@execute_action.register
def _(action: Finish, active: ActiveStream, table: StreamTable) -> None:
    table.end(active, StreamEnd(finish_reason=action.reason))


@execute_action.register
def _(action: Fail, active: ActiveStream, table: StreamTable) -> None:
    table.end(active, StreamEnd(refused=action.refused))


def _is_import_faster(
    route: Route, active: ActiveStream, table: StreamTable
) -> bool:
    """
    Estimate whether importing the KV state of the one new stage is faster than
    running its tokens again; `False` if not exactly one stage is new.
    """
    old_stages = {each.stage for each in active.state.stages}
    new_stages = [stage for stage in route.stages if stage not in old_stages]
    if len(new_stages) != 1:
        return False
    latency = table.latency_of(new_stages[0].target)
    return is_import_faster(
        table.transfer_speed, latency, active.state.total_tokens
    )


def _may_wait(active: ActiveStream, now: float) -> bool:
    """
    Tell whether there is time to wait for a target that replaces a failed one.
    """
    if active.waiting_since is None:
        active.waiting_since = now
    replacement_due = active.waiting_since + REPLACEMENT_TIMEOUT_S
    wait_ends = min(active.opened.deadline, replacement_due)
    context = RetryContext(
        # Each attempt starts from an empty KV state, so that no state gets a
        # token twice.
        ran=Ran.NO,
        repeatable=True,
        attempts_made=0,
        has_budget=True,
        seconds_left=wait_ends - now,
        needed_s=ROUTE_RETRY_S,
    )
    return isinstance(decide_retry(context), Retry)
