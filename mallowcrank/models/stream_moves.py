"""
One stream that is moved between engines: its KV state is exported and
imported, engines leave, and the caller goes away.

Two layers, a prompt of one token, two tokens to give. Engine `a` holds layer 0,
`b` and `c` layer 1 each. The transitions feed the router's own state machine.
Imports and orders to free a state travel like steps: they arrive at any time,
also after what was sent later.
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
WRONG = -1  # a hidden state that does not follow from the layers in order
HIDDEN = 100  # hidden states after layer 0 are HIDDEN + the token's index
FIRST = Stage('a', 1, 0, 0)
ROUTES = (
    Route((FIRST, Stage('b', 1, 1, 1))),
    Route((FIRST, Stage('c', 1, 1, 1))),
)
NO_PATH = Refused(Reason.NO_ROUTE, Ran.NO, 'no path covers the layers')
GONE = Refused(Reason.CANCELLED, Ran.UNKNOWN, 'the caller went away')

REFUSE_FREED = 'an engine refuses what comes late for a state it has freed'
FREE_ALL = 'a stream is freed on every engine that it has used'
END_ONCE = 'nothing is given after the end'
COUNT_FLIGHT = 'a step in flight may have run'
ENGINE_CHECK = 'an engine runs a step only on the tokens before it'
RULES = (
    REFUSE_FREED,
    FREE_ALL,
    END_ONCE,
    COUNT_FLIGHT,
    ENGINE_CHECK,
)

Key = tuple[str, int]  # target and attempt
Kvs = tuple[tuple[Key, tuple[int, ...]], ...]
Message = Step | Transfer | FreeStates


class State(NamedTuple):
    """
    All that the model follows.

    :param stream: the router's state, without its inputs.
    :param inputs: the inputs of `stream`.
    :param sent: what is on its way to engines, with its target.
    :param answers: events on their way to the router.
    :param kvs: token indexes that each KV state has run, in order.
    :param freed: by target, the highest attempt that was freed.
    :param given: tokens that the caller got.
    :param faults: how many happened.
    :param orders: what may happen once and did: leaving, crowding, the
        caller's end.
    :param broken: which promise was broken, or empty.
    """

    stream: StreamState
    inputs: tuple[tuple[int, tuple[int, ...]], ...] = ()
    sent: tuple[tuple[str, Message], ...] = ()
    answers: tuple[Event, ...] = ()
    kvs: Kvs = ()
    freed: tuple[Key, ...] = ()
    given: tuple[int, ...] = ()
    faults: int = 0
    orders: tuple[str, ...] = ()
    broken: str = ''


Move = tuple[str, State]


def build(without: frozenset[str]) -> Protocol:
    """
    Make the protocol with some rules taken out.
    """
    return Protocol(
        name='moved stream',
        candidate=False,
        fields=State._fields,
        initial=State(StreamState(Task('s', PROMPT, MAX_TOKENS), inputs=())),
        transitions=partial(_moves, without),
        invariants={
            'each layer ran once for each token, in order; no false `no`': (
                lambda seen: not seen['broken']
            ),
            'tokens are the expected ones, none given twice': (
                lambda seen: seen['given'] == _expected(len(seen['given']))
            ),
            'a stream that has ended leaves no state behind': _is_clean,
            'without a fault the answer is whole': _is_whole,
        },
    )


def _expected(count: int) -> tuple[int, ...]:
    return tuple(range(1, count + 1))


def _is_clean(seen: Mapping[str, object]) -> bool:
    stream, kvs = seen['stream'], seen['kvs']
    assert isinstance(stream, StreamState)
    assert isinstance(kvs, tuple)
    if stream.phase is not Phase.ENDED or seen['sent']:
        return True
    return not kvs


def _is_whole(seen: Mapping[str, object]) -> bool:
    stream, given, orders = seen['stream'], seen['given'], seen['orders']
    assert isinstance(stream, StreamState)
    assert isinstance(given, tuple)
    assert isinstance(orders, tuple)
    if stream.phase is not Phase.ENDED or 'gone' in orders:
        return True
    return len(given) == MAX_TOKENS or seen['faults'] != 0


def _moves(without: frozenset[str], plain: tuple) -> list[Move]:
    state = State(*plain)
    if state.stream.phase is Phase.NEW:
        return list(_apply(without, state, Started(), 'the stream starts'))
    return [
        *_arrivals(without, state),
        *_answer_moves(without, state),
        *_orders(without, state),
        *_losses(without, state),
    ]


# Engines


def _arrivals(without: frozenset[str], state: State) -> Iterator[Move]:
    for index, (target, message) in enumerate(state.sent):
        sent = state.sent[:index] + state.sent[index + 1 :]
        taken = state._replace(sent=sent)
        match message:
            case Step():
                yield from _run(without, taken, target, message)
            case Transfer():
                yield from _import(without, taken, message)
            case FreeStates(target, attempt):
                yield f'{target} frees {attempt}', _free(taken, message)


def _run(
    without: frozenset[str], state: State, target: str, step: Step
) -> Iterator[Move]:
    key = target, step.attempt
    runs = dict(state.kvs).get(key, ())
    refused = _refusal(without, state, key, runs, step)
    label = f'{target} takes token {step.token}'
    if refused:
        yield f'{label}: {refused}', _answer(state, target, step, (), refused)
        return
    ran = range(step.token, step.token + step.count)
    kept = _put(state, key, (*runs, *ran))
    yield label, _answer(kept, target, step, _compute_all(step, runs), '')
    if state.faults < MAX_FAULTS:
        worse = state._replace(faults=state.faults + 1)
        yield (
            f'{target} refuses token {step.token}',
            _answer(worse, target, step, (), 'leaving'),
        )


def _refusal(
    without: frozenset[str],
    state: State,
    key: Key,
    runs: tuple[int, ...],
    step: Step,
) -> str:
    if _is_freed(state, key) and REFUSE_FREED not in without:
        return 'cancelled'
    if runs == tuple(range(step.token)) or ENGINE_CHECK in without:
        return ''
    return 'repeated' if len(runs) > step.token else 'there is no such state'


def _compute_all(step: Step, runs: tuple[int, ...]) -> tuple[int, ...]:
    in_order = runs == tuple(range(step.token))
    outputs = tuple(
        _compute(step, index, given, in_order=in_order)
        for index, given in enumerate(step.inputs, step.token)
    )
    return outputs[-1:] if step.last_layer == 1 else outputs


def _compute(step: Step, index: int, given: int, *, in_order: bool) -> int:
    wanted = index if step.first_layer == 0 else HIDDEN + index
    if given != wanted or not in_order:
        return WRONG
    return HIDDEN + index if step.last_layer == 0 else index + 1


def _import(
    without: frozenset[str], state: State, transfer: Transfer
) -> Iterator[Move]:
    """
    Move a state, fail to, or move it and lose the answer.
    """
    exported = dict(state.kvs).get((transfer.source, transfer.attempt), ())
    key = transfer.stage.target, transfer.new_attempt
    late = _is_freed(state, key) and REFUSE_FREED not in without
    failed = Transferred(transfer.new_attempt, done=False)
    not_done = state._replace(answers=(*state.answers, failed))
    if late or not exported:
        yield 'there is nothing to import', not_done
        return
    moved = _put(state, key, exported)
    done = Transferred(transfer.new_attempt, done=True)
    yield (
        'the state is imported',
        moved._replace(answers=(*state.answers, done)),
    )
    if state.faults < MAX_FAULTS:
        worse = state.faults + 1
        yield 'the import fails', not_done._replace(faults=worse)
        yield (
            "the import's answer is lost",
            moved._replace(answers=not_done.answers, faults=worse),
        )


def _is_freed(state: State, key: Key) -> bool:
    return dict(state.freed).get(key[0], 0) >= key[1]


def _free(state: State, order: FreeStates) -> State:
    freed = dict(state.freed)
    target = order.target
    freed[target] = max(order.attempt, freed.get(target, 0))
    after = state._replace(freed=tuple(sorted(freed.items())))
    return after._replace(
        kvs=tuple(
            (key, runs)
            for key, runs in state.kvs
            if key[0] != target or key[1] > order.attempt
        )
    )


def _put(state: State, key: Key, runs: tuple[int, ...]) -> State:
    kvs = {**dict(state.kvs), key: runs}
    return state._replace(kvs=tuple(sorted(kvs.items())))


def _answer(
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


def _answer_moves(without: frozenset[str], state: State) -> Iterator[Move]:
    for index, event in enumerate(state.answers):
        answers = state.answers[:index] + state.answers[index + 1 :]
        label = f'{type(event).__name__} arrives'
        arrived = state._replace(answers=answers)
        yield from _apply(without, arrived, event, label)


def _orders(without: frozenset[str], state: State) -> Iterator[Move]:
    """
    What may come once, at any time before the end.
    """
    if state.stream.phase is Phase.ENDED:
        return
    for name, event in (
        ('leaving', TargetLeaving('b')),
        ('crowded', InputLimitReached()),
        ('gone', Cancelled(GONE)),
    ):
        if name not in state.orders:
            orders = tuple(sorted((*state.orders, name)))
            ordered = state._replace(orders=orders)
            yield from _apply(without, ordered, event, name)


def _losses(without: frozenset[str], state: State) -> Iterator[Move]:
    """
    The router gives a call up, while the step or its answer may still come.
    """
    if state.faults >= MAX_FAULTS or state.stream.phase is not Phase.RUNNING:
        return
    worse = state._replace(faults=state.faults + 1)
    thawed = _thaw(state)
    target = thawed.active.stage.target
    event = Lost(target, step_in_flight(thawed), Ran.UNKNOWN)
    yield from _apply(
        without, worse, event, f'the call to {target} is given up'
    )


def _apply(
    without: frozenset[str], state: State, event: Event, label: str
) -> Iterator[Move]:
    """
    Give an event to the router's state machine and carry out its actions.
    """
    before = _thaw(state)
    if before.phase is Phase.ENDED and END_ONCE in without:
        before = before.evolve(phase=Phase.RUNNING)
    after, actions = apply_event(before, event)
    carried = _freeze(state, after)
    for action in actions:
        carried = _carry_out(without, carried, before, action)
    if not any(isinstance(each, FindRoute) for each in actions):
        yield label, carried
        return
    for following, chosen in _choose(after):
        yield from _apply(without, carried, following, f'{label}, {chosen}')


def _choose(stream: StreamState) -> Iterator[tuple[Event, str]]:
    found = False
    avoid = stream.avoid | stream.leaving_targets
    for route in ROUTES:
        if any(stage.target in avoid for stage in route.stages):
            continue
        found = True
        for allowed in (False, True):
            way = 'import' if allowed else 'run again'
            yield RouteFound(route, allowed), f'path {route}, {way}'
    if not found:
        yield NoRoute(NO_PATH, may_wait=False), 'no path'


def _carry_out(
    without: frozenset[str],
    state: State,
    before: StreamState,
    action: Action,
) -> State:
    match action:
        case Emit(token):
            return _give(state, token)
        case SendStep(target, step):
            return state._replace(sent=(*state.sent, (target, step)))
        case Transfer(source):
            return state._replace(sent=(*state.sent, (source, action)))
        case FreeStates(target):
            return _send_forget(without, state, action)
        case Fail(refused):
            return _check_refusal(without, state, before, refused)
        case _:
            return state


def _send_forget(
    without: frozenset[str], state: State, order: FreeStates
) -> State:
    path = {each.stage.target for each in state.stream.stages}
    if FREE_ALL in without and order.target not in path:
        return state
    return state._replace(sent=(*state.sent, (order.target, order)))


def _check_refusal(
    without: frozenset[str],
    state: State,
    before: StreamState,
    refused: Refused,
) -> State:
    ran = before.ran if COUNT_FLIGHT in without else refused.ran
    may_run = any(isinstance(each, Step) for _, each in state.sent)
    if ran is Ran.NO and (state.kvs or may_run):
        return state._replace(broken='a refusal says that nothing ran')
    return state


def _give(state: State, token: int) -> State:
    """
    Give a token to the caller, and check the lineage that made it.
    """
    broken = state.broken
    wanted = tuple(range(token))
    kvs = dict(state.kvs)
    for each in state.stream.stages:
        runs = kvs.get((each.stage.target, each.attempt), ())
        if runs != wanted:
            broken = f'{each.stage.target} ran {runs}, not {wanted}'
    if 'gone' in state.orders:
        broken = 'a token was given after the caller had gone'
    return state._replace(given=(*state.given, token), broken=broken)


def _thaw(state: State) -> StreamState:
    return state.stream.evolve(inputs=dict(state.inputs))


def _freeze(state: State, stream: StreamState) -> State:
    return state._replace(
        stream=stream.evolve(inputs=()),
        inputs=tuple(sorted(stream.inputs.items())),
    )


STREAM_MOVES = Specification('moved stream', build, RULES)
