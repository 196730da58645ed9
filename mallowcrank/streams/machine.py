"""
The state machine of one stream: events in, actions out.

Each token passes through the stages in order, with one step in flight at a
time. An answer is accepted only if its target, attempt, token and layers match
the step in flight. A failed stage is replaced, and its KV state is rebuilt
under a new attempt number from the retained inputs of the stage.
"""

from functools import singledispatch

from mallowcrank.refusals import Ran
from mallowcrank.requests.retry import combine_ran
from mallowcrank.streams.actions import (
    FindRoute,
    RecordEvent,
    ReportFailure,
    SendStep,
    Wait,
)
from mallowcrank.streams.events import (
    Answered,
    Cancelled,
    Event,
    InputLimitReached,
    Lost,
    NoRoute,
    RouteFound,
    Started,
    TargetLeaving,
    Transferred,
    WaitOver,
)
from mallowcrank.streams.recovery import (
    adopt_route,
    find_transfer,
    finish_transfer,
    rerun_for_missing_inputs,
)
from mallowcrank.streams.state import Phase, StreamState, step_in_flight
from mallowcrank.streams.transitions import (
    Outcome,
    apply_outputs,
    apply_refusal,
    fail,
    replace_stage,
    resume,
)

MAX_LOST_CALLS = 2  # in a row, until the target is replaced


def apply_event(state: StreamState, event: Event) -> Outcome:
    """
    Return the next state of a stream, and the actions to execute.
    """
    if state.phase is Phase.ENDED:
        return state, ()
    # There is an answer for each token of each stage, and the dispatch would
    # cost as much as handling it.
    if isinstance(event, Answered):
        return _apply_answer(event, state)
    return _apply(event, state)


@singledispatch
def _apply(event: Event, state: StreamState) -> Outcome:
    raise TypeError(f'unknown event: {event!r}')


@_apply.register
def _(event: Started, state: StreamState) -> Outcome:
    started = state.evolve(phase=Phase.ROUTING, inputs={0: state.task.prompt})
    return started, (FindRoute(state.avoid),)


@_apply.register
def _(event: RouteFound, state: StreamState) -> Outcome:
    if state.phase is not Phase.ROUTING:
        return state, ()
    routed = adopt_route(state, event.route)
    kind = 'recovers over' if state.recoveries else 'takes'
    note = RecordEvent(f'{kind} route {event.route}')
    transfer = find_transfer(routed) if event.allow_import else None
    if transfer is not None:
        return routed.evolve(phase=Phase.TRANSFERRING), (note, transfer)
    return resume(rerun_for_missing_inputs(routed), (note,))


@_apply.register
def _(event: NoRoute, state: StreamState) -> Outcome:
    if state.phase is not Phase.ROUTING:
        return state, ()
    if state.fallback:
        staying = state.evolve(stages=state.fallback, fallback=(), source=None)
        return resume(staying, ())
    if event.may_wait and state.used_targets:
        return state.evolve(phase=Phase.WAITING), (Wait(),)
    return fail(state, event.refused)


@_apply.register
def _(event: WaitOver, state: StreamState) -> Outcome:
    if state.phase is not Phase.WAITING:
        return state, ()
    # The only suitable target may be one that failed before and is back.
    routing = state.evolve(phase=Phase.ROUTING, avoid=frozenset())
    return routing, (FindRoute(frozenset()),)


@_apply.register
def _apply_answer(event: Answered, state: StreamState) -> Outcome:
    if not _is_expected(state, event):
        return state, ()
    if event.result.refused:
        return apply_refusal(state, event.result.refused)
    return apply_outputs(state, event.result)


@_apply.register
def _(event: Lost, state: StreamState) -> Outcome:
    if not _is_in_flight(state, event):
        return state, ()
    lost = state.lost_calls + 1
    updated = state.evolve(
        lost_calls=lost, ran=combine_ran(state.ran, event.ran)
    )
    target = event.target
    if event.ran is Ran.UNKNOWN and lost < MAX_LOST_CALLS:
        # If the step has run, the engine refuses it as repeated.
        return updated, (
            RecordEvent('step sent again', target),
            SendStep(target, event.step),
        )
    suspect = ReportFailure(target, state.active.stage.incarnation, 'no answer')
    return replace_stage(updated, None, (suspect,))


@_apply.register
def _(event: Transferred, state: StreamState) -> Outcome:
    if state.phase is not Phase.TRANSFERRING or event.attempt != state.attempt:
        return state, ()
    note = RecordEvent('state imported' if event.done else 'import failed')
    return resume(finish_transfer(state, done=event.done), (note,))


@_apply.register
def _(event: TargetLeaving, state: StreamState) -> Outcome:
    return state.evolve(
        leaving_targets=state.leaving_targets | {event.target}
    ), ()


@_apply.register
def _(event: InputLimitReached, state: StreamState) -> Outcome:
    # Inputs that pending steps need are dropped with the next token.
    return state.evolve(retains_inputs=False), ()


@_apply.register
def _(event: Cancelled, state: StreamState) -> Outcome:
    return fail(state, event.refused)


def _is_expected(state: StreamState, event: Answered) -> bool:
    if state.phase is not Phase.RUNNING:
        return False
    active, answer = state.active, event.result
    stage = active.stage
    return (
        event.target,
        answer.stream,
        answer.attempt,
        answer.token,
        answer.first_layer,
        answer.last_layer,
    ) == (
        stage.target,
        state.task.stream,
        active.attempt,
        active.token_count,
        stage.first_layer,
        stage.last_layer,
    )


def _is_in_flight(state: StreamState, event: Lost) -> bool:
    if state.phase is not Phase.RUNNING:
        return False
    if state.active.stage.target != event.target:
        return False
    return event.step == step_in_flight(state)
