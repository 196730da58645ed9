"""
Specifies one stream whose KV state is moved between engines.

KV states are exported and imported, an engine drains, and the caller may
disconnect. The model has two layers, a prompt of one token, and two tokens to
generate. Engine `a` holds layer 0, `b` and `c` hold layer 1 each. The
transitions apply events to the router's own state machine. Steps, imports and
requests to free a state may arrive at any time and in any order.
"""

from collections.abc import Iterator, Mapping
from functools import partial
from typing import NamedTuple

from minicheck import Protocol

from mallowcrank.models.specification import Specification
from mallowcrank.ports import Step, StepResult
from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.router.ports import Route, Stage
from mallowcrank.streams.actions import (
    Action,
    Emit,
    Fail,
    FindRoute,
    FreeStates,
    SendStep,
    Transfer,
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
)
from mallowcrank.streams.machine import apply_event
from mallowcrank.streams.state import (
    Phase,
    StreamState,
    Task,
    step_in_flight,
)

PROMPT = (0,)
MAX_TOKENS = 2
MAX_FAULTS = 1  # a refused step, a lost call or a failed import
WRONG_OUTPUT = -1  # of layers that did not run in order on the right input
HIDDEN_BASE = 100  # plus the token's index: the hidden state after layer 0
FIRST_STAGE = Stage('a', 1, 0, 0)
ROUTES = (
    Route((FIRST_STAGE, Stage('b', 1, 1, 1))),
    Route((FIRST_STAGE, Stage('c', 1, 1, 1))),
)
NO_ROUTE_REFUSAL = Refused(
    Reason.NO_ROUTE, Ran.NO, 'no route covers the layers'
)
CALLER_GONE = Refused(Reason.CANCELLED, Ran.UNKNOWN, 'the caller disconnected')

REFUSE_FREED = (
    'an engine refuses late messages for a KV state that it has freed'
)
FREE_ALL = 'the KV states of a stream are freed on all engines that it used'
END_ONCE = 'nothing is emitted after the end'
COUNT_IN_FLIGHT = 'a step in flight may have run'
ENGINE_CHECK = 'an engine runs a step only on the tokens before it'
RULES = (
    REFUSE_FREED,
    FREE_ALL,
    END_ONCE,
    COUNT_IN_FLIGHT,
    ENGINE_CHECK,
)

Key = tuple[str, int]  # target and attempt
KvStates = tuple[tuple[Key, tuple[int, ...]], ...]
Message = Step | Transfer | FreeStates


class State(NamedTuple):
    """
    The state of the model.

    :param stream: the router's state, without its inputs.
    :param inputs: the inputs of `stream`, sorted so that states compare.
    :param messages: messages on their way to engines, with their targets.
    :param answers: events on their way to the router.
    :param kv_states: token indexes that each KV state has run, in order.
    :param freed: by target, the highest attempt that was freed.
    :param emitted: tokens that the caller received.
    :param faults: how many faults have occurred.
    :param one_time_events: names of the events that may happen only once and
        have happened.
    :param violation: which guarantee was violated, or empty.
    """

    stream: StreamState
    inputs: tuple[tuple[int, tuple[int, ...]], ...] = ()
    messages: tuple[tuple[str, Message], ...] = ()
    answers: tuple[Event, ...] = ()
    kv_states: KvStates = ()
    freed: tuple[Key, ...] = ()
    emitted: tuple[int, ...] = ()
    faults: int = 0
    one_time_events: tuple[str, ...] = ()
    violation: str = ''


Transition = tuple[str, State]


def build(disabled: frozenset[str]) -> Protocol:
    """
    Build the protocol.

    :param disabled: rules that are not applied.
    """
    return Protocol(
        name='moved stream',
        candidate=False,
        fields=State._fields,
        initial=State(StreamState(Task('s', PROMPT, MAX_TOKENS), inputs=())),
        transitions=partial(_transitions, disabled),
        invariants={
            'each layer ran once for each token, in order; no false `ran`': (
                lambda fields: not fields['violation']
            ),
            'tokens are the expected ones, none emitted twice': (
                lambda fields: (
                    fields['emitted'] == _expected(len(fields['emitted']))
                )
            ),
            'a stream that has ended leaves no KV state': _is_freed_at_end,
            'without a fault all tokens are emitted': _is_complete,
        },
    )


def _expected(count: int) -> tuple[int, ...]:
    return tuple(range(1, count + 1))


def _is_freed_at_end(fields: Mapping[str, object]) -> bool:
    stream, kv_states = fields['stream'], fields['kv_states']
    assert isinstance(stream, StreamState)
    assert isinstance(kv_states, tuple)
    if stream.phase is not Phase.ENDED or fields['messages']:
        return True
    return not kv_states


def _is_complete(fields: Mapping[str, object]) -> bool:
    stream, emitted, events = (
        fields['stream'],
        fields['emitted'],
        fields['one_time_events'],
    )
    assert isinstance(stream, StreamState)
    assert isinstance(emitted, tuple)
    assert isinstance(events, tuple)
    if stream.phase is not Phase.ENDED or 'cancelled' in events:
        return True
    return len(emitted) == MAX_TOKENS or fields['faults'] != 0


def _transitions(disabled: frozenset[str], fields: tuple) -> list[Transition]:
    state = State(*fields)
    if state.stream.phase is Phase.NEW:
        return list(_apply(disabled, state, Started(), 'the stream starts'))
    return [
        *_message_transitions(disabled, state),
        *_answer_transitions(disabled, state),
        *_one_time_transitions(disabled, state),
        *_abandon_call(disabled, state),
    ]


# Engines


def _message_transitions(
    disabled: frozenset[str], state: State
) -> Iterator[Transition]:
    for index, (target, message) in enumerate(state.messages):
        messages = state.messages[:index] + state.messages[index + 1 :]
        remaining = state._replace(messages=messages)
        match message:
            case Step():
                yield from _run_step(disabled, remaining, target, message)
            case Transfer():
                yield from _import_state(disabled, remaining, message)
            case FreeStates(target, attempt):
                yield (
                    f'{target} frees attempt {attempt}',
                    _free_states(remaining, message),
                )


def _run_step(
    disabled: frozenset[str], state: State, target: str, step: Step
) -> Iterator[Transition]:
    key = target, step.attempt
    tokens_run = dict(state.kv_states).get(key, ())
    refused = _refusal_reason(disabled, state, key, tokens_run, step)
    label = f'{target} runs token {step.token}'
    if refused:
        yield (
            f'{label}: {refused}',
            _add_answer(state, target, step, (), refused),
        )
        return
    ran = range(step.token, step.token + step.count)
    stored = _with_kv_state(state, key, (*tokens_run, *ran))
    yield (
        label,
        _add_answer(stored, target, step, _compute_all(step, tokens_run), ''),
    )
    if state.faults < MAX_FAULTS:
        faulted = state._replace(faults=state.faults + 1)
        yield (
            f'{target} refuses token {step.token}',
            _add_answer(faulted, target, step, (), 'leaving'),
        )


def _refusal_reason(
    disabled: frozenset[str],
    state: State,
    key: Key,
    tokens_run: tuple[int, ...],
    step: Step,
) -> str:
    if _is_freed(state, key) and REFUSE_FREED not in disabled:
        return 'cancelled'
    if tokens_run == tuple(range(step.token)) or ENGINE_CHECK in disabled:
        return ''
    return (
        'repeated' if len(tokens_run) > step.token else 'there is no such state'
    )


def _compute_all(step: Step, tokens_run: tuple[int, ...]) -> tuple[int, ...]:
    in_order = tokens_run == tuple(range(step.token))
    outputs = tuple(
        _compute(step, index, value, in_order=in_order)
        for index, value in enumerate(step.inputs, step.token)
    )
    return outputs[-1:] if step.last_layer == 1 else outputs


def _compute(step: Step, index: int, value: int, *, in_order: bool) -> int:
    expected = index if step.first_layer == 0 else HIDDEN_BASE + index
    if value != expected or not in_order:
        return WRONG_OUTPUT
    return HIDDEN_BASE + index if step.last_layer == 0 else index + 1


def _import_state(
    disabled: frozenset[str], state: State, transfer: Transfer
) -> Iterator[Transition]:
    """
    Import a state, fail, or import it and lose the answer.
    """
    exported = dict(state.kv_states).get(
        (transfer.source, transfer.attempt), ()
    )
    key = transfer.stage.target, transfer.new_attempt
    is_late = _is_freed(state, key) and REFUSE_FREED not in disabled
    failed = Transferred(transfer.new_attempt, done=False)
    not_imported = state._replace(answers=(*state.answers, failed))
    if is_late or not exported:
        yield 'there is nothing to import', not_imported
        return
    moved = _with_kv_state(state, key, exported)
    done = Transferred(transfer.new_attempt, done=True)
    yield (
        'the state is imported',
        moved._replace(answers=(*state.answers, done)),
    )
    if state.faults < MAX_FAULTS:
        fault_count = state.faults + 1
        yield 'the import fails', not_imported._replace(faults=fault_count)
        yield (
            "the import's answer is lost",
            moved._replace(answers=not_imported.answers, faults=fault_count),
        )


def _is_freed(state: State, key: Key) -> bool:
    return dict(state.freed).get(key[0], 0) >= key[1]


def _free_states(state: State, message: FreeStates) -> State:
    freed = dict(state.freed)
    target = message.target
    freed[target] = max(message.attempt, freed.get(target, 0))
    after = state._replace(freed=tuple(sorted(freed.items())))
    return after._replace(
        kv_states=tuple(
            (key, tokens_run)
            for key, tokens_run in state.kv_states
            if key[0] != target or key[1] > message.attempt
        )
    )


def _with_kv_state(
    state: State, key: Key, tokens_run: tuple[int, ...]
) -> State:
    kv_states = {**dict(state.kv_states), key: tokens_run}
    return state._replace(kv_states=tuple(sorted(kv_states.items())))


def _add_answer(
    state: State,
    target: str,
    step: Step,
    outputs: tuple[int, ...],
    refused: str,
) -> State:
    result = StepResult(
        step.stream,
        step.attempt,
        step.token,
        step.first_layer,
        step.last_layer,
        outputs,
        refused=refused,
    )
    event = Answered(target, result)
    return state._replace(answers=(*state.answers, event))


# The router


def _answer_transitions(
    disabled: frozenset[str], state: State
) -> Iterator[Transition]:
    for index, event in enumerate(state.answers):
        answers = state.answers[:index] + state.answers[index + 1 :]
        label = f'{type(event).__name__} arrives'
        arrived = state._replace(answers=answers)
        yield from _apply(disabled, arrived, event, label)


def _one_time_transitions(
    disabled: frozenset[str], state: State
) -> Iterator[Transition]:
    """
    Apply events that may happen once, at any time before the end.
    """
    if state.stream.phase is Phase.ENDED:
        return
    for name, event in (
        ('b is leaving', TargetLeaving('b')),
        ('input limit reached', InputLimitReached()),
        ('cancelled', Cancelled(CALLER_GONE)),
    ):
        if name not in state.one_time_events:
            one_time_events = tuple(sorted((*state.one_time_events, name)))
            after = state._replace(one_time_events=one_time_events)
            yield from _apply(disabled, after, event, name)


def _abandon_call(
    disabled: frozenset[str], state: State
) -> Iterator[Transition]:
    """
    Let the router abandon a call whose step or answer may still arrive.
    """
    if state.faults >= MAX_FAULTS or state.stream.phase is not Phase.RUNNING:
        return
    faulted = state._replace(faults=state.faults + 1)
    thawed = _thaw(state)
    target = thawed.active.stage.target
    event = Lost(target, step_in_flight(thawed), Ran.UNKNOWN)
    yield from _apply(
        disabled, faulted, event, f'the call to {target} is abandoned'
    )


def _apply(
    disabled: frozenset[str], state: State, event: Event, label: str
) -> Iterator[Transition]:
    """
    Apply an event to the router's state machine and execute its actions.
    """
    before = _thaw(state)
    if before.phase is Phase.ENDED and END_ONCE in disabled:
        before = before.evolve(phase=Phase.RUNNING)
    after, actions = apply_event(before, event)
    current = _freeze(state, after)
    for action in actions:
        current = _execute(disabled, current, before, action)
    if not any(isinstance(each, FindRoute) for each in actions):
        yield label, current
        return
    for following, route_label in _choose_route(after):
        yield from _apply(
            disabled, current, following, f'{label}, {route_label}'
        )


def _choose_route(stream: StreamState) -> Iterator[tuple[Event, str]]:
    found = False
    avoid = stream.avoid | stream.leaving_targets
    for route in ROUTES:
        if any(stage.target in avoid for stage in route.stages):
            continue
        found = True
        for allowed in (False, True):
            method = 'import' if allowed else 'recompute'
            yield RouteFound(route, allowed), f'route {route}, {method}'
    if not found:
        yield NoRoute(NO_ROUTE_REFUSAL, may_wait=False), 'no route'


def _execute(
    disabled: frozenset[str],
    state: State,
    before: StreamState,
    action: Action,
) -> State:
    match action:
        case Emit(token):
            return _emit_token(state, token)
        case SendStep(target, step):
            return state._replace(messages=(*state.messages, (target, step)))
        case Transfer(source):
            return state._replace(messages=(*state.messages, (source, action)))
        case FreeStates(target):
            return _send_free_states(disabled, state, action)
        case Fail(refused):
            return _check_refusal(disabled, state, before, refused)
        case _:
            return state


def _send_free_states(
    disabled: frozenset[str], state: State, message: FreeStates
) -> State:
    path = {each.stage.target for each in state.stream.stages}
    if FREE_ALL in disabled and message.target not in path:
        return state
    return state._replace(messages=(*state.messages, (message.target, message)))


def _check_refusal(
    disabled: frozenset[str],
    state: State,
    before: StreamState,
    refused: Refused,
) -> State:
    ran = before.ran if COUNT_IN_FLIGHT in disabled else refused.ran
    may_still_run = any(isinstance(each, Step) for _, each in state.messages)
    if ran is Ran.NO and (state.kv_states or may_still_run):
        return state._replace(
            violation='a refusal denies steps that ran or may run'
        )
    return state


def _emit_token(state: State, token: int) -> State:
    """
    Emit a token to the caller and check which tokens its KV states ran.
    """
    violation = state.violation
    expected = tuple(range(token))
    kv_states = dict(state.kv_states)
    for each in state.stream.stages:
        tokens_run = kv_states.get((each.stage.target, each.attempt), ())
        if tokens_run != expected:
            violation = f'{each.stage.target} ran {tokens_run}, not {expected}'
    if 'cancelled' in state.one_time_events:
        violation = 'a token was emitted after the caller disconnected'
    return state._replace(emitted=(*state.emitted, token), violation=violation)


def _thaw(state: State) -> StreamState:
    return state.stream.evolve(inputs=dict(state.inputs))


def _freeze(state: State, stream: StreamState) -> State:
    return state._replace(
        stream=stream.evolve(inputs=()),
        inputs=tuple(sorted(stream.inputs.items())),
    )


STREAM_MOVES = Specification('moved stream', build, RULES)
