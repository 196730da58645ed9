"""
Transitions of a stream: next step, next token, replaced stage, end.
"""

from dataclasses import replace
from typing import Any

from mallowcrank.ports import StepResult
from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.requests.retry import combine_ran
from mallowcrank.streams.actions import (
    Action,
    Emit,
    Fail,
    FindRoute,
    Finish,
    FreeStates,
    RecordEvent,
    SendStep,
)
from mallowcrank.streams.recovery import rerun_for_missing_inputs
from mallowcrank.streams.state import (
    Phase,
    StageState,
    StreamState,
    step_in_flight,
)

END_TOKEN = 256  # token id that ends an answer
MAX_REBUILDS = 2  # in a row on one target, before it is replaced
MAX_RECOVERIES = 64  # of one stream, before it fails
# Prefixes of refusals after which the KV state is rebuilt on the same target. A
# repeated step has run, but its outputs are lost.
STATE_LOST_REASONS = ('repeated', 'cancelled', 'there is no', 'the state holds')

Outcome = tuple[StreamState, tuple[Action, ...]]


def ran_so_far(state: StreamState) -> Ran:
    """
    Return whether the request ran, including the step in flight.
    """
    if state.phase is Phase.RUNNING:
        return combine_ran(state.ran, Ran.UNKNOWN)
    return state.ran


def apply_outputs(state: StreamState, answer: StepResult) -> Outcome:
    """
    Continue with the outputs of the active stage.
    """
    stages = state.stages
    active = stages[state.position]
    next_position = state.position + 1
    is_last = next_position == len(stages)
    if len(answer.outputs) != _count_outputs(state, is_last=is_last):
        malformed = RecordEvent('malformed answer', active.stage.target)
        return replace_stage(state, None, (malformed,))
    advanced = StageState(active.stage, active.attempt, state.total_tokens)
    # The changes are collected first, so that each step copies the state once.
    changes = {
        'stages': (
            *stages[: state.position],
            advanced,
            *stages[next_position:],
        ),
        'ran': Ran.YES,
        'lost_calls': 0,
        'rebuilds': 0,
    }
    if is_last:
        return _apply_token(state, answer.outputs[0], changes)
    changes['inputs'] = _add_inputs(state, answer)
    changes['position'] = next_position
    return _send(state, (), **changes)


def _count_outputs(state: StreamState, *, is_last: bool) -> int:
    return 1 if is_last else state.total_tokens - state.active.token_count


def _add_inputs(
    state: StreamState, answer: StepResult
) -> dict[int, tuple[int, ...]]:
    """
    Return the inputs, extended by the outputs of the active stage.
    """
    boundary = state.active.stage.last_layer + 1
    before = state.inputs.get(boundary, ())
    if not state.retains_inputs:
        missing = (
            state.total_tokens - state.stages[state.position + 1].token_count
        )
        retained = (before + answer.outputs)[-missing:]
        return {**state.inputs, boundary: retained}
    if len(before) != answer.token:
        before = before[: answer.token]
    return {**state.inputs, boundary: before + answer.outputs}


def _apply_token(
    state: StreamState, token: int, changes: dict[str, Any]
) -> Outcome:
    if token == END_TOKEN:
        return _finish(state.evolve(**changes), 'stop', ())
    changes['answer'] = (*state.answer, token)
    others = state.inputs if state.retains_inputs else {}
    changes['inputs'] = {**others, 0: (*state.inputs[0], token)}
    changes['position'] = 0
    emit = Emit(token)
    if len(state.answer) + 1 >= state.task.max_tokens:
        return _finish(state.evolve(**changes), 'length', (emit,))
    if state.leaving_targets:
        return _leave_targets(state.evolve(**changes), emit)
    return _send(state, (emit,), **changes)


def _leave_targets(state: StreamState, emit: Emit) -> Outcome:
    moving = [
        each
        for each in state.stages
        if each.stage.target in state.leaving_targets
    ]
    staying = state.evolve(leaving_targets=frozenset())
    if not moving:
        sent, actions = _send(staying)
        return sent, (emit, *actions)
    routing = staying.evolve(
        phase=Phase.ROUTING,
        source=moving[0] if len(moving) == 1 else None,
        fallback=state.stages,
        stages=tuple(each for each in state.stages if each not in moving),
    )
    return routing, (emit, FindRoute(state.avoid | state.leaving_targets))


def apply_refusal(state: StreamState, reason: str) -> Outcome:
    """
    Continue after the active stage's target has refused the step.
    """
    target = state.active.stage.target
    note = RecordEvent(f'step refused: {reason}', target)
    if reason.startswith(STATE_LOST_REASONS) and state.rebuilds < MAX_REBUILDS:
        return _rebuild_stage(state, note)
    return replace_stage(state, state.active, (note,))


def _rebuild_stage(state: StreamState, note: RecordEvent) -> Outcome:
    """
    Rebuild the KV state of the active stage on the same target by running all
    tokens again.
    """
    attempt = state.attempt + 1
    stages = list(state.stages)
    stages[state.position] = StageState(state.active.stage, attempt)
    rebuilt = state.evolve(
        attempt=attempt,
        stages=tuple(stages),
        lost_calls=0,
        rebuilds=state.rebuilds + 1,
        recoveries=state.recoveries + 1,
    )
    return _send(rerun_for_missing_inputs(rebuilt), (note,), position=0)


def replace_stage(
    state: StreamState,
    source: StageState | None,
    actions: tuple[Action, ...],
) -> Outcome:
    """
    Look for a path that avoids the active stage's target.

    :param source: the stage whose KV state may staying be exported, if any.
    :param actions: actions to execute before.
    """
    target = state.active.stage.target
    if state.recoveries >= MAX_RECOVERIES:
        refused = Refused(
            Reason.TARGET_FAILED,
            Ran.YES,
            f'the stream failed {MAX_RECOVERIES} times',
            retry_after_s=1,
        )
        return fail(state, refused)
    avoid = state.avoid | {target}
    routing = state.evolve(
        phase=Phase.ROUTING,
        avoid=avoid,
        source=source if source and source.token_count else None,
        stages=tuple(
            each for each in state.stages if each.stage.target != target
        ),
        recoveries=state.recoveries + 1,
    )
    note = RecordEvent('stage failed', target)
    return routing, (*actions, note, FindRoute(avoid))


def resume(state: StreamState, actions: tuple[Action, ...]) -> Outcome:
    """
    Continue on a path, and free the KV state of the replaced stage.
    """
    source = state.source
    running = state.evolve(phase=Phase.RUNNING, source=None, position=0)
    if source is not None:
        free = FreeStates(source.stage.target, source.attempt)
        actions = (*actions, free)
    return _send(running, actions)


def _send(
    state: StreamState, before: tuple[Action, ...] = (), **changes: Any
) -> Outcome:
    """
    Send the step of the next stage that has not run all tokens.

    :param before: actions to execute before.
    :param changes: fields of the state to change.
    """
    after = state.evolve(**changes) if changes else state
    position, total = after.position, after.total_tokens
    while after.stages[position].token_count >= total:
        position += 1
    if position != after.position:
        after = after.evolve(position=position)
    send = SendStep(after.stages[position].stage.target, step_in_flight(after))
    return after, (*before, send)


def _finish(
    state: StreamState, reason: str, actions: tuple[Action, ...]
) -> Outcome:
    ended = state.evolve(phase=Phase.ENDED)
    return ended, (*actions, *_free_all_states(state), Finish(reason))


def fail(state: StreamState, refused: Refused) -> Outcome:
    """
    End the stream with a refusal that says whether the request ran.
    """
    ended = state.evolve(phase=Phase.ENDED)
    reported = replace(refused, ran=ran_so_far(state))
    return ended, (*_free_all_states(state), Fail(reported))


def _free_all_states(state: StreamState) -> tuple[FreeStates, ...]:
    return tuple(
        FreeStates(target, state.attempt)
        for target in sorted(state.used_targets)
    )
