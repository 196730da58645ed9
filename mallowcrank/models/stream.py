"""
One stream over mortal engines, with late, doubled and crossed answers.

Two layers, a prompt of one token, two tokens to give. Engine `a` holds layer 0,
`b` layer 1, `c` both. The transitions feed the router's own state machine and
carry out its actions on small engines, which run a step only if their state
holds exactly the tokens before it.
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
MAX_FAULTS = 2  # lost calls, deaths and doubled answers together
WRONG = -1  # a hidden state that does not follow from the layers in order
HIDDEN = 100  # hidden states after layer 0 are HIDDEN + the token's index
ROUTES = (
    Route((Stage('a', 1, 0, 0), Stage('b', 1, 1, 1))),
    Route((Stage('a', 1, 0, 0), Stage('c', 1, 1, 1))),
    Route((Stage('c', 1, 0, 1),)),
)
NO_PATH = Refused(Reason.NO_ROUTE, Ran.NO, 'no path covers the layers')

MATCH_ATTEMPT = 'an answer of another attempt is dropped'
MATCH_TOKEN = 'an answer of another token is dropped'
MATCH_STREAM = 'an answer of another stream is dropped'
ENGINE_CHECK = 'an engine runs a step only on the tokens before it'
RUN_AGAIN = 'outputs that got lost are computed again on a fresh state'
RULES = (
    MATCH_ATTEMPT,
    MATCH_TOKEN,
    MATCH_STREAM,
    ENGINE_CHECK,
    RUN_AGAIN,
)

Inputs = tuple[tuple[int, tuple[int, ...]], ...]
Key = tuple[str, int]  # target and attempt


@dataclass(frozen=True, slots=True)
class Kv:
    """
    What one KV state of an engine has run, for each of its layers.

    :param runs: token indexes in the order in which they ran.
    """

    key: Key
    runs: tuple[int, ...] = ()


class State(NamedTuple):
    """
    All that the model follows.

    :param stream: the router's state, with its inputs as a sorted tuple.
    :param inputs: the inputs of `stream`.
    :param calls: steps on their way to engines.
    :param answers: results on their way to the router.
    :param kvs: the engines' states; those of dead ones are kept as history.
    :param alive: engines that run.
    :param given: tokens that the caller got.
    :param faults: how many happened.
    :param broken: why the lineage of a given token is wrong, or empty.
    """

    stream: StreamState
    inputs: Inputs = ()
    calls: tuple[tuple[str, Step], ...] = ()
    answers: tuple[tuple[str, StepResult], ...] = ()
    kvs: tuple[Kv, ...] = ()
    alive: tuple[str, ...] = ('a', 'b', 'c')
    given: tuple[int, ...] = ()
    faults: int = 0
    broken: str = ''


Move = tuple[str, State]


def build(without: frozenset[str]) -> Protocol:
    """
    Make the protocol with some rules taken out.
    """
    return Protocol(
        name='stream',
        candidate=False,
        fields=State._fields,
        initial=State(StreamState(Task('s', PROMPT, MAX_TOKENS), inputs=())),
        transitions=partial(_moves, without),
        invariants={
            'each layer ran once for each token, in order': (
                lambda seen: not seen['broken']
            ),
            'tokens are the expected ones, none given twice': (
                lambda seen: seen['given'] == _expected(len(seen['given']))
            ),
            'a whole answer has all tokens': _is_whole,
        },
    )


def _expected(count: int) -> tuple[int, ...]:
    return tuple(range(1, count + 1))


def _is_whole(seen: Mapping[str, object]) -> bool:
    stream = seen['stream']
    assert isinstance(stream, StreamState)
    if stream.phase is not Phase.ENDED:
        return True
    given = seen['given']
    assert isinstance(given, tuple)
    return len(given) == MAX_TOKENS or seen['faults'] != 0


def _moves(without: frozenset[str], plain: tuple) -> list[Move]:
    state = State(*plain)
    if state.stream.phase is Phase.NEW:
        return list(_apply(state, Started(), 'the stream starts', without))
    return [
        *_engine_moves(without, state),
        *_answer_moves(without, state),
        *_fault_moves(without, state),
    ]


def _engine_moves(without: frozenset[str], state: State) -> Iterator[Move]:
    for index, (target, step) in enumerate(state.calls):
        calls = state.calls[:index] + state.calls[index + 1 :]
        taken = state._replace(calls=calls)
        if target not in state.alive:
            yield f'a call to dead {target} ends', taken
            continue
        yield f'{target} takes a step', _run(without, taken, target, step)


def _run(
    without: frozenset[str], state: State, target: str, step: Step
) -> State:
    kv = _find_kv(state, (target, step.attempt))
    reason = _refusal(kv, step)
    if reason and ENGINE_CHECK not in without:
        refused = _result(step, (), reason)
        return _add_answer(state, target, refused)
    ran = tuple(range(step.token, step.token + step.count))
    in_order = kv.runs == tuple(range(step.token))
    outputs = tuple(
        _compute(step, index, given, in_order=in_order)
        for index, given in zip(ran, step.inputs, strict=True)
    )
    if step.last_layer == 1:
        outputs = outputs[-1:]
    extended = _put_kv(state, Kv(kv.key, kv.runs + ran))
    return _add_answer(extended, target, _result(step, outputs, ''))


def _put_kv(state: State, kv: Kv) -> State:
    kvs = {known.key: known for known in state.kvs}
    kvs[kv.key] = kv
    ordered = sorted(kvs.values(), key=lambda known: known.key)
    return state._replace(kvs=tuple(ordered))


def _find_kv(state: State, key: Key) -> Kv:
    return next((known for known in state.kvs if known.key == key), Kv(key))


def _refusal(kv: Kv, step: Step) -> str:
    if kv.runs == tuple(range(step.token)):
        return ''
    if len(kv.runs) > step.token:
        return 'repeated'
    return 'there is no such state'


def _compute(step: Step, index: int, given: int, *, in_order: bool) -> int:
    wanted = index if step.first_layer == 0 else HIDDEN + index
    if given != wanted or not in_order:
        return WRONG
    return HIDDEN + index if step.last_layer == 0 else index + 1


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


def _answer_moves(without: frozenset[str], state: State) -> Iterator[Move]:
    for index, (target, result) in enumerate(state.answers):
        answers = state.answers[:index] + state.answers[index + 1 :]
        label = f'the answer of {target} for token {result.token} arrives'
        event = Answered(target, _mistake(without, state, result))
        yield from _apply(
            state._replace(answers=answers), event, label, without
        )
        if state.faults < MAX_FAULTS:
            doubled = state._replace(faults=state.faults + 1)
            yield from _apply(doubled, event, f'{label} twice', without)
            crossed = replace(result, stream='other', outputs=(WRONG,))
            yield from _apply(
                doubled,
                Answered(target, _mistake(without, state, crossed)),
                f'a crossed answer of {target} arrives',
                without,
            )


def _mistake(
    without: frozenset[str], state: State, result: StepResult
) -> StepResult:
    """
    Pass an answer off as the expected one, where a check is taken out.
    """
    if state.stream.phase is not Phase.RUNNING:
        return result
    active = state.stream.active
    if MATCH_STREAM in without:
        result = replace(result, stream=state.stream.task.stream)
    if MATCH_ATTEMPT in without:
        result = replace(result, attempt=active.attempt)
    if MATCH_TOKEN in without:
        result = replace(result, token=active.token_count)
    return result


def _fault_moves(without: frozenset[str], state: State) -> Iterator[Move]:
    if state.faults >= MAX_FAULTS:
        return
    worse = state._replace(faults=state.faults + 1)
    for target in state.alive:
        alive = tuple(name for name in state.alive if name != target)
        yield f'{target} dies', worse._replace(alive=alive)
    yield from _lose_calls(without, worse)


def _lose_calls(without: frozenset[str], state: State) -> Iterator[Move]:
    """
    The router gives a call up, while the step or its answer may still come.
    """
    if state.stream.phase is not Phase.RUNNING:
        return
    thawed = _thaw(state)
    active = thawed.active
    for target, step in _steps_of(state):
        if (target, step.attempt, step.token) == (
            active.stage.target,
            active.attempt,
            active.token_count,
        ):
            event = Lost(target, step, Ran.UNKNOWN)
            label = f'the call to {target} is given up'
            yield from _apply(state, event, label, without)


def _steps_of(state: State) -> Iterator[tuple[str, Step]]:
    yield from state.calls
    for target, result in state.answers:
        yield target, _step_of(state, result)


def _step_of(state: State, result: StepResult) -> Step:
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
    state: State, event: Event, label: str, without: frozenset[str]
) -> Iterator[Move]:
    """
    Give an event to the router's state machine and carry out its actions.
    """
    before = _thaw(state)
    after, actions = apply_event(before, event)
    if RUN_AGAIN in without:
        after, actions = _skip_rebuild(before, after, actions)
    yield from _carry_out(_freeze(state, after), actions, label, without)


def _skip_rebuild(
    before: StreamState, after: StreamState, actions: tuple[Action, ...]
) -> tuple[StreamState, tuple[Action, ...]]:
    """
    Go on with the outputs known last in place of those that got lost.
    """
    if after.rebuilds == before.rebuilds:
        return after, actions
    active = before.active
    stage = active.stage
    boundary = before.inputs.get(stage.last_layer + 1, ())
    known_last = before.answer if stage.last_layer else boundary
    stale = StepResult(
        before.task.stream,
        active.attempt,
        active.token_count,
        stage.first_layer,
        stage.last_layer,
        known_last[-1:] or (WRONG,),
    )
    return apply_event(before, Answered(stage.target, stale))


def _carry_out(
    state: State,
    actions: tuple[Action, ...],
    label: str,
    without: frozenset[str],
) -> Iterator[Move]:
    for action in actions:
        if isinstance(action, Emit):
            state = _give(state, action.token)
        if isinstance(action, SendStep):
            state = state._replace(
                calls=(*state.calls, (action.target, action.step))
            )
        if isinstance(action, Fail) and not state.faults:
            state = state._replace(broken='failed without a fault')
    if any(isinstance(each, FindRoute) for each in actions):
        yield from _choose(state, label, without)
    else:
        yield label, state


def _choose(
    state: State, label: str, without: frozenset[str]
) -> Iterator[Move]:
    found = False
    for route in ROUTES:
        targets = {stage.target for stage in route.stages}
        if targets & state.stream.avoid:
            continue
        found = True
        chosen = f'{label}, path {route}'
        yield from _apply(state, RouteFound(route), chosen, without)
    if not found:
        event = NoRoute(NO_PATH, may_wait=False)
        yield from _apply(state, event, f'{label}, no path', without)


def _give(state: State, token: int) -> State:
    """
    Give a token to the caller, and check the lineage that made it.
    """
    broken = state.broken
    for each in state.stream.stages:
        runs = _find_kv(state, (each.stage.target, each.attempt)).runs
        wanted = tuple(range(token))
        if runs != wanted:
            broken = f'{each.stage.target} ran {runs}, not {wanted}'
    return state._replace(given=(*state.given, token), broken=broken)


def _thaw(state: State) -> StreamState:
    return replace(state.stream, inputs=dict(state.inputs))


def _freeze(state: State, stream: StreamState) -> State:
    return state._replace(
        stream=replace(stream, inputs=()),
        inputs=tuple(sorted(stream.inputs.items())),
    )


STREAM = Specification('stream', build, RULES)
