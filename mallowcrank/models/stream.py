"""
Specifies one stream over engines that may die, with unreliable answers.

Answers may arrive late, twice, or for another stream. The model has two
layers, a prompt of one token, and two tokens to generate. Engine `a` holds
layer 0, `b` layer 1, `c` both. The transitions apply events to the router's
own state machine and execute its actions on simulated engines, which run a
step only if their KV state holds exactly the tokens before it.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from functools import partial
from typing import NamedTuple

from minicheck import Protocol

from mallowcrank.models.specification import Specification
from mallowcrank.ports import Step, StepResult
from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.router.ports import Route, Stage
from mallowcrank.streams.actions import Action, Emit, Fail, FindRoute, SendStep
from mallowcrank.streams.events import (
    Answered,
    Event,
    Lost,
    NoRoute,
    RouteFound,
    Started,
)
from mallowcrank.streams.machine import apply_event
from mallowcrank.streams.state import Phase, StreamState, Task

PROMPT = (0,)
MAX_TOKENS = 2
MAX_FAULTS = 2  # lost calls, dead engines and duplicate answers together
WRONG_OUTPUT = -1  # of layers that did not run in order on the right input
HIDDEN_BASE = 100  # plus the token's index: the hidden state after layer 0
ROUTES = (
    Route((Stage('a', 1, 0, 0), Stage('b', 1, 1, 1))),
    Route((Stage('a', 1, 0, 0), Stage('c', 1, 1, 1))),
    Route((Stage('c', 1, 0, 1),)),
)
NO_ROUTE_REFUSAL = Refused(
    Reason.NO_ROUTE, Ran.NO, 'no route covers the layers'
)

MATCH_ATTEMPT = 'an answer of another attempt is dropped'
MATCH_TOKEN = 'an answer of another token is dropped'
MATCH_STREAM = 'an answer of another stream is dropped'
ENGINE_CHECK = 'an engine runs a step only on the tokens before it'
RECOMPUTE_LOST = 'lost outputs are recomputed on a new KV state'
RULES = (
    MATCH_ATTEMPT,
    MATCH_TOKEN,
    MATCH_STREAM,
    ENGINE_CHECK,
    RECOMPUTE_LOST,
)

Inputs = tuple[tuple[int, tuple[int, ...]], ...]
Key = tuple[str, int]  # target and attempt


@dataclass(frozen=True, slots=True)
class KvState:
    """
    The tokens that an engine has run on one KV state, for each of its layers.

    :param tokens_run: token indexes in the order in which they ran.
    """

    key: Key
    tokens_run: tuple[int, ...] = ()


class State(NamedTuple):
    """
    The state of the model.

    :param stream: the router's state, without its inputs.
    :param inputs: the inputs of `stream`, sorted so that states compare.
    :param calls: steps on their way to engines, with their targets.
    :param answers: results on their way to the router, with their targets.
    :param kv_states: the engines' KV states; those of dead engines stay, to
        check how earlier tokens were computed.
    :param alive: engines that run.
    :param emitted: tokens that the caller received.
    :param faults: how many faults have occurred.
    :param violation: why an emitted token was computed wrongly, or empty.
    """

    stream: StreamState
    inputs: Inputs = ()
    calls: tuple[tuple[str, Step], ...] = ()
    answers: tuple[tuple[str, StepResult], ...] = ()
    kv_states: tuple[KvState, ...] = ()
    alive: tuple[str, ...] = ('a', 'b', 'c')
    emitted: tuple[int, ...] = ()
    faults: int = 0
    violation: str = ''


Transition = tuple[str, State]


def build(disabled: frozenset[str]) -> Protocol:
    """
    Build the protocol.

    :param disabled: rules that are not applied.
    """
    return Protocol(
        name='stream',
        candidate=False,
        fields=State._fields,
        initial=State(StreamState(Task('s', PROMPT, MAX_TOKENS), inputs=())),
        transitions=partial(_transitions, disabled),
        invariants={
            'each layer ran once for each token, in order': (
                lambda fields: not fields['violation']
            ),
            'tokens are the expected ones, none emitted twice': (
                lambda fields: (
                    fields['emitted'] == _expected(len(fields['emitted']))
                )
            ),
            'without a fault all tokens are emitted': _is_complete,
        },
    )


def _expected(count: int) -> tuple[int, ...]:
    return tuple(range(1, count + 1))


def _is_complete(fields: Mapping[str, object]) -> bool:
    stream = fields['stream']
    assert isinstance(stream, StreamState)
    if stream.phase is not Phase.ENDED:
        return True
    emitted = fields['emitted']
    assert isinstance(emitted, tuple)
    return len(emitted) == MAX_TOKENS or fields['faults'] != 0


def _transitions(disabled: frozenset[str], fields: tuple) -> list[Transition]:
    state = State(*fields)
    if state.stream.phase is Phase.NEW:
        return list(_apply(state, Started(), 'the stream starts', disabled))
    return [
        *_engine_transitions(disabled, state),
        *_answer_transitions(disabled, state),
        *_fault_transitions(disabled, state),
    ]


def _engine_transitions(
    disabled: frozenset[str], state: State
) -> Iterator[Transition]:
    for index, (target, step) in enumerate(state.calls):
        calls = state.calls[:index] + state.calls[index + 1 :]
        remaining = state._replace(calls=calls)
        if target not in state.alive:
            yield f'the call to dead {target} is lost', remaining
            continue
        yield (
            f'{target} runs a step',
            _run_step(disabled, remaining, target, step),
        )


def _run_step(
    disabled: frozenset[str], state: State, target: str, step: Step
) -> State:
    kv_state = _find_kv_state(state, (target, step.attempt))
    reason = _refusal_reason(kv_state, step)
    if reason and ENGINE_CHECK not in disabled:
        refused = _result(step, (), reason)
        return _add_answer(state, target, refused)
    new_tokens = tuple(range(step.token, step.token + step.count))
    in_order = kv_state.tokens_run == tuple(range(step.token))
    outputs = tuple(
        _compute(step, index, value, in_order=in_order)
        for index, value in zip(new_tokens, step.inputs, strict=True)
    )
    if step.last_layer == 1:
        outputs = outputs[-1:]
    extended = _with_kv_state(
        state, KvState(kv_state.key, kv_state.tokens_run + new_tokens)
    )
    return _add_answer(extended, target, _result(step, outputs, ''))


def _with_kv_state(state: State, kv_state: KvState) -> State:
    kv_states = {known.key: known for known in state.kv_states}
    kv_states[kv_state.key] = kv_state
    ordered = sorted(kv_states.values(), key=lambda known: known.key)
    return state._replace(kv_states=tuple(ordered))


def _find_kv_state(state: State, key: Key) -> KvState:
    return next(
        (known for known in state.kv_states if known.key == key), KvState(key)
    )


def _refusal_reason(kv_state: KvState, step: Step) -> str:
    if kv_state.tokens_run == tuple(range(step.token)):
        return ''
    if len(kv_state.tokens_run) > step.token:
        return 'repeated'
    return 'there is no such state'


def _compute(step: Step, index: int, value: int, *, in_order: bool) -> int:
    expected = index if step.first_layer == 0 else HIDDEN_BASE + index
    if value != expected or not in_order:
        return WRONG_OUTPUT
    return HIDDEN_BASE + index if step.last_layer == 0 else index + 1


def _result(step: Step, outputs: tuple[int, ...], refused: str) -> StepResult:
    return StepResult(
        stream=step.stream,
        attempt=step.attempt,
        token=step.token,
        first_layer=step.first_layer,
        last_layer=step.last_layer,
        outputs=outputs,
        refused=refused,
    )


def _add_answer(state: State, target: str, result: StepResult) -> State:
    return state._replace(answers=(*state.answers, (target, result)))


def _answer_transitions(
    disabled: frozenset[str], state: State
) -> Iterator[Transition]:
    for index, (target, result) in enumerate(state.answers):
        answers = state.answers[:index] + state.answers[index + 1 :]
        label = f'the answer of {target} for token {result.token} arrives'
        event = Answered(target, _forge_expected(disabled, state, result))
        yield from _apply(
            state._replace(answers=answers), event, label, disabled
        )
        if state.faults < MAX_FAULTS:
            duplicated = state._replace(faults=state.faults + 1)
            yield from _apply(duplicated, event, f'{label} twice', disabled)
            foreign = replace(result, stream='other', outputs=(WRONG_OUTPUT,))
            yield from _apply(
                duplicated,
                Answered(target, _forge_expected(disabled, state, foreign)),
                f'an answer of {target} for another stream arrives',
                disabled,
            )


def _forge_expected(
    disabled: frozenset[str], state: State, result: StepResult
) -> StepResult:
    """
    Make an answer match the active call where a check is disabled.
    """
    if state.stream.phase is not Phase.RUNNING:
        return result
    active = state.stream.active
    if MATCH_STREAM in disabled:
        result = replace(result, stream=state.stream.task.stream)
    if MATCH_ATTEMPT in disabled:
        result = replace(result, attempt=active.attempt)
    if MATCH_TOKEN in disabled:
        result = replace(result, token=active.token_count)
    return result


def _fault_transitions(
    disabled: frozenset[str], state: State
) -> Iterator[Transition]:
    if state.faults >= MAX_FAULTS:
        return
    faulted = state._replace(faults=state.faults + 1)
    for target in state.alive:
        alive = tuple(name for name in state.alive if name != target)
        yield f'{target} dies', faulted._replace(alive=alive)
    yield from _abandon_calls(disabled, faulted)


def _abandon_calls(
    disabled: frozenset[str], state: State
) -> Iterator[Transition]:
    """
    Let the router abandon a call whose step or answer may still arrive.
    """
    if state.stream.phase is not Phase.RUNNING:
        return
    thawed = _thaw(state)
    active = thawed.active
    for target, step in _unanswered_steps(state):
        if (target, step.attempt, step.token) == (
            active.stage.target,
            active.attempt,
            active.token_count,
        ):
            event = Lost(target, step, Ran.UNKNOWN)
            label = f'the call to {target} is abandoned'
            yield from _apply(state, event, label, disabled)


def _unanswered_steps(state: State) -> Iterator[tuple[str, Step]]:
    yield from state.calls
    for target, result in state.answers:
        yield target, _step_answered_by(state, result)


def _step_answered_by(state: State, result: StepResult) -> Step:
    known = dict(state.inputs).get(result.first_layer, ())
    inputs = known[result.token : state.stream.total_tokens]
    return Step(
        stream=result.stream,
        attempt=result.attempt,
        token=result.token,
        count=len(inputs),
        first_layer=result.first_layer,
        last_layer=result.last_layer,
        inputs=inputs,
    )


def _apply(
    state: State, event: Event, label: str, disabled: frozenset[str]
) -> Iterator[Transition]:
    """
    Apply an event to the router's state machine and execute its actions.
    """
    before = _thaw(state)
    after, actions = apply_event(before, event)
    if RECOMPUTE_LOST in disabled:
        after, actions = _skip_recompute(before, after, actions)
    yield from _execute(_freeze(state, after), actions, label, disabled)


def _skip_recompute(
    before: StreamState, after: StreamState, actions: tuple[Action, ...]
) -> tuple[StreamState, tuple[Action, ...]]:
    """
    Continue with the last known outputs instead of the lost ones.
    """
    if after.rebuilds == before.rebuilds:
        return after, actions
    active = before.active
    stage = active.stage
    boundary = before.inputs.get(stage.last_layer + 1, ())
    last_known = before.answer if stage.last_layer else boundary
    stale = StepResult(
        before.task.stream,
        active.attempt,
        active.token_count,
        stage.first_layer,
        stage.last_layer,
        last_known[-1:] or (WRONG_OUTPUT,),
    )
    return apply_event(before, Answered(stage.target, stale))


def _execute(
    state: State,
    actions: tuple[Action, ...],
    label: str,
    disabled: frozenset[str],
) -> Iterator[Transition]:
    for action in actions:
        if isinstance(action, Emit):
            state = _emit_token(state, action.token)
        if isinstance(action, SendStep):
            state = state._replace(
                calls=(*state.calls, (action.target, action.step))
            )
        if isinstance(action, Fail) and not state.faults:
            state = state._replace(violation='failed without a fault')
    if any(isinstance(each, FindRoute) for each in actions):
        yield from _choose_route(state, label, disabled)
    else:
        yield label, state


def _choose_route(
    state: State, label: str, disabled: frozenset[str]
) -> Iterator[Transition]:
    found = False
    for route in ROUTES:
        targets = {stage.target for stage in route.stages}
        if targets & state.stream.avoid:
            continue
        found = True
        route_label = f'{label}, route {route}'
        yield from _apply(state, RouteFound(route), route_label, disabled)
    if not found:
        event = NoRoute(NO_ROUTE_REFUSAL, may_wait=False)
        yield from _apply(state, event, f'{label}, no route', disabled)


def _emit_token(state: State, token: int) -> State:
    """
    Emit a token to the caller and check which tokens its KV states ran.
    """
    violation = state.violation
    for each in state.stream.stages:
        tokens_run = _find_kv_state(
            state, (each.stage.target, each.attempt)
        ).tokens_run
        expected = tuple(range(token))
        if tokens_run != expected:
            violation = f'{each.stage.target} ran {tokens_run}, not {expected}'
    return state._replace(emitted=(*state.emitted, token), violation=violation)


def _thaw(state: State) -> StreamState:
    return replace(state.stream, inputs=dict(state.inputs))


def _freeze(state: State, stream: StreamState) -> State:
    return state._replace(
        stream=replace(stream, inputs=()),
        inputs=tuple(sorted(stream.inputs.items())),
    )


STREAM = Specification('stream', build, RULES)
