"""
Carries out what a stream's state machine asks for.
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

ROUTE_RETRY_S = 0.1  # between looks for a path where there is none
REPLACEMENT_TIMEOUT_S = 10  # for a target to take a lost stage's place


@singledispatch
def execute_action(
    action: Action, running: ActiveStream, table: StreamTable
) -> Event | None:
    """
    Carry out an action.

    :returns: the event that follows from it at once, if any.
    """
    raise TypeError(f'no such action: {action!r}')


@execute_action.register
def _(action: SendStep, running: ActiveStream, table: StreamTable) -> None:
    table.pool.add_step(action.target, action.step)


@execute_action.register
def _(action: Emit, running: ActiveStream, table: StreamTable) -> Event | None:
    running.opened.token_queue.put(action.token)
    if not running.state.retains_inputs:
        return None
    stream = running.opened.task.stream
    table.input_counter.set_count(stream, count_retained(running.state))
    if not table.input_counter.is_exceeded:
        return None
    # It drops them with its next token.
    table.input_counter.remove(stream)
    table.ports.metrics.incr('inputs_dropped')
    table.record_event(running.opened.request, 'inputs are no longer kept')
    return InputLimitReached()


@execute_action.register
def _(action: FindRoute, running: ActiveStream, table: StreamTable) -> Event:
    opened, routes = running.opened, table.ports.routes
    tokens = running.state.total_tokens
    demand = replace(opened.demand, prompt_tokens=tokens, avoid=action.avoid)
    found = routes.choose_path(demand)
    if isinstance(found, Refused):
        return NoRoute(found, _may_wait(running, table.now))
    running.waiting_since = None
    opened.token_queue.route = str(found)
    return RouteFound(found, _is_import_faster(found, running, table))


@execute_action.register
def _(action: Wait, running: ActiveStream, table: StreamTable) -> None:
    table.schedule(ROUTE_RETRY_S, RouteWaitOver(running.opened.task.stream))


@execute_action.register
def _(action: FreeStates, running: ActiveStream, table: StreamTable) -> None:
    stream = running.opened.task.stream
    table.pool.add_free(action.target, stream, action.attempt)


@execute_action.register
def _(action: ReportFailure, running: ActiveStream, table: StreamTable) -> None:
    table.ports.routes.failed(action.target, action.incarnation, action.reason)


@execute_action.register
def _(action: RecordEvent, running: ActiveStream, table: StreamTable) -> None:
    table.record_event(running.opened.request, action.what, action.target)


@execute_action.register
def _(action: Transfer, running: ActiveStream, table: StreamTable) -> None:
    table.start_transfer(running.opened.task.stream, action)


@execute_action.register
def _(action: Finish, running: ActiveStream, table: StreamTable) -> None:
    table.end(running, StreamEnd(finish_reason=action.reason))


@execute_action.register
def _(action: Fail, running: ActiveStream, table: StreamTable) -> None:
    table.end(running, StreamEnd(refused=action.refused))


def _is_import_faster(
    route: Route, running: ActiveStream, table: StreamTable
) -> bool:
    """
    Compare the ways to rebuild the stage that the stream has no state on.
    """
    known = {each.stage for each in running.state.stages}
    fresh = [stage for stage in route.stages if stage not in known]
    if len(fresh) != 1:
        return False
    pace = table.latency_of(fresh[0].target)
    return is_import_faster(
        table.transfer_speed, pace, running.state.total_tokens
    )


def _may_wait(running: ActiveStream, now: float) -> bool:
    """
    Tell whether there is time to wait for a target in a lost one's place.
    """
    if running.waiting_since is None:
        running.waiting_since = now
    patience_ends = running.waiting_since + REPLACEMENT_TIMEOUT_S
    ends = min(running.opened.deadline, patience_ends)
    situation = RetryContext(
        # A fresh KV state never runs a token twice in its lineage.
        ran=Ran.NO,
        repeatable=True,
        attempts_made=0,
        has_budget=True,
        seconds_left=ends - now,
        needed_s=ROUTE_RETRY_S,
    )
    return isinstance(decide_retry(situation), Retry)
