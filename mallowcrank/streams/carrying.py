"""
Carries out what a stream's state machine asks for.
"""

from dataclasses import replace
from functools import singledispatch

from mallowcrank.refusals import Ran, Refused
from mallowcrank.requests.retry import Again, Situation, decide_retry
from mallowcrank.router.ports import Route
from mallowcrank.streams.actions import (
    Action,
    Emit,
    Fail,
    FindRoute,
    Finish,
    Forget,
    Note,
    SendStep,
    Suspect,
    Transfer,
    Wait,
)
from mallowcrank.streams.costs import is_import_sooner
from mallowcrank.streams.events import Crowded, Event, NoRoute, RouteFound
from mallowcrank.streams.keeping import count_kept
from mallowcrank.streams.orders import RouteWaitOver
from mallowcrank.streams.outlet import Ended
from mallowcrank.streams.table import Running, StreamTable

ROUTE_WAIT_S = 0.1  # between looks for a path where there is none
REPLACEMENT_PATIENCE_S = 10  # for a target to take a lost stage's place


@singledispatch
def carry_out(
    action: Action, running: Running, table: StreamTable
) -> Event | None:
    """
    Carry out an action.

    :returns: the event that follows from it at once, if any.
    """
    raise TypeError(f'no such action: {action!r}')


@carry_out.register
def _(action: SendStep, running: Running, table: StreamTable) -> None:
    table.pool.add_step(action.target, action.step)


@carry_out.register
def _(action: Emit, running: Running, table: StreamTable) -> Event | None:
    running.opened.outlet.put(action.token)
    if not running.state.keeps:
        return None
    stream = running.opened.task.stream
    table.inputs.put(stream, count_kept(running.state))
    if not table.inputs.is_over:
        return None
    # It drops them with its next token.
    table.inputs.drop(stream)
    table.ports.metrics.incr('inputs_dropped')
    table.note(running.opened.request, 'inputs are no longer kept')
    return Crowded()


@carry_out.register
def _(action: FindRoute, running: Running, table: StreamTable) -> Event:
    opened, routes = running.opened, table.ports.routes
    tokens = running.state.total
    demand = replace(opened.demand, prompt_tokens=tokens, avoid=action.avoid)
    found = routes.choose_path(demand)
    if isinstance(found, Refused):
        return NoRoute(found, _is_patient(running, table.now))
    running.waiting_since = None
    opened.outlet.route = str(found)
    return RouteFound(found, _is_import_sooner(found, running, table))


@carry_out.register
def _(action: Wait, running: Running, table: StreamTable) -> None:
    table.ring(ROUTE_WAIT_S, RouteWaitOver(running.opened.task.stream))


@carry_out.register
def _(action: Forget, running: Running, table: StreamTable) -> None:
    stream = running.opened.task.stream
    table.pool.add_forget(action.target, stream, action.attempt)


@carry_out.register
def _(action: Suspect, running: Running, table: StreamTable) -> None:
    table.ports.routes.record_failure(
        action.target, action.incarnation, action.reason
    )


@carry_out.register
def _(action: Note, running: Running, table: StreamTable) -> None:
    table.note(running.opened.request, action.what, action.target)


@carry_out.register
def _(action: Transfer, running: Running, table: StreamTable) -> None:
    table.start_transfer(running.opened.task.stream, action)


@carry_out.register
def _(action: Finish, running: Running, table: StreamTable) -> None:
    table.end(running, Ended(finish=action.reason))


@carry_out.register
def _(action: Fail, running: Running, table: StreamTable) -> None:
    table.end(running, Ended(refused=action.refused))


def _is_import_sooner(
    route: Route, running: Running, table: StreamTable
) -> bool:
    """
    Compare the ways to rebuild the stage that the stream has no state on.
    """
    known = {each.stage for each in running.state.stages}
    fresh = [stage for stage in route.stages if stage not in known]
    if len(fresh) != 1:
        return False
    pace = table.pace_of(fresh[0].target)
    return is_import_sooner(table.speed, pace, running.state.total)


def _is_patient(running: Running, now: float) -> bool:
    """
    Tell whether there is time to wait for a target in a lost one's place.
    """
    if running.waiting_since is None:
        running.waiting_since = now
    patience_ends = running.waiting_since + REPLACEMENT_PATIENCE_S
    ends = min(running.opened.deadline, patience_ends)
    situation = Situation(
        # A fresh KV state never runs a token twice in its lineage.
        ran=Ran.NO,
        repeatable=True,
        attempts=0,
        budget=True,
        seconds_left=ends - now,
        needed_s=ROUTE_WAIT_S,
    )
    return isinstance(decide_retry(situation), Again)
