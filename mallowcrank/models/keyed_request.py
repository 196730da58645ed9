"""
The life of a request that may not repeat, over its keeper and another router.

The caller makes up to two tries with one key; either may go to the keeper or
to the other router, which passes it on. The keeper crashes, pauses, and comes
back in a new incarnation; calls and answers get lost. The transitions call
the router's own decisions on keepers, claims, sends and ends.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from minicheck import Protocol

from mallowcrank.models.specification import Specification
from mallowcrank.refusals import Ran, Refused
from mallowcrank.requests.key_names import KeyName
from mallowcrank.requests.key_ownership import (
    Forward,
    HandleLocally,
    LookupContext,
    Membership,
    RouterId,
    find_keeper,
)
from mallowcrank.requests.keys import (
    ANSWER_TTL_S,
    Claim,
    Join,
    KeyEntry,
    KeyState,
    Replay,
    Start,
    StoreUsage,
    check_send,
    decide_claim,
    finish,
    is_expired,
)
from mallowcrank.requests.retry import Retry, RetryContext, decide_retry
from mallowcrank.view import Peer

KEY = 'mc1.a.1.10.k'
EXPIRY = 10
# Before the expiry, after it, and after kept answers are forgotten.
TIMES = (5, EXPIRY + 1, EXPIRY + ANSWER_TTL_S + 1)
FINGERPRINT = 'f'
LOST = 'lost'
IDLE = 'idle'
AT_KEEPER = 'at keeper'
AT_OTHER = 'at other'
PASSED_ON = 'passed on'
JOINED = 'joined'
RUNNING = 'running'
IN_PROGRESS = frozenset((AT_KEEPER, AT_OTHER, PASSED_ON, JOINED, RUNNING))

KEEPER_LIFE = 'only the incarnation that the key names starts it'
ONE_KEEPER = 'another router never starts the key'
CLAIMS = 'a key that was started is not started again'
KEPT_TO_EXPIRY = 'an ended key is kept until it can not be started'
UNKNOWN_AFTER_SEND = 'a lost answer leaves unknown whether it ran'
FORGOTTEN = 'a forgotten key is answered with unknown'
CHECK_BEFORE_SEND = 'the expiry is checked again right before the send'
RULES = (
    KEEPER_LIFE,
    ONE_KEEPER,
    CLAIMS,
    KEPT_TO_EXPIRY,
    UNKNOWN_AFTER_SEND,
    FORGOTTEN,
    CHECK_BEFORE_SEND,
)


class State(NamedTuple):
    """
    All that the model follows.

    :param time: index into `TIMES`.
    :param keeper: `up`, `paused` or `down`.
    :param life: the keeper's incarnation.
    :param seen: the incarnation that the other router knows of.
    :param entry: the keeper's entry of the key.
    :param tries: where each try is, or what its caller was told.
    :param sent: the call to the target: `none`, `queued`, `ran`.
    :param caller_of: the try that the call to the target belongs to, or -1.
    :param listening: whether the keeper that sent the call still waits.
    :param runs: executions at the target, at most 2 are counted.
    :param late: whether a call left after the key's expiry.
    :param false_no: whether a caller was told `no` although the key ran or
        may still run.
    :param crashes: of the keeper so far.
    """

    time: int = 0
    keeper: str = 'up'
    life: int = 1
    seen: int = 1
    entry: KeyEntry | None = None
    tries: tuple[str, ...] = (IDLE, IDLE)
    sent: str = 'none'
    caller_of: int = -1
    listening: bool = False
    runs: int = 0
    late: bool = False
    false_no: bool = False
    crashes: int = 0

    @property
    def now(self) -> float:
        """
        Return seconds since the epoch.
        """
        return TIMES[self.time]


@dataclass(frozen=True)
class Rules:
    """
    The protecting rules that are in force.
    """

    without: frozenset[str]

    def holds(self, rule: str) -> bool:
        """
        Tell whether a rule is in force.
        """
        return rule not in self.without


Move = tuple[str, State]


def build(without: frozenset[str]) -> Protocol:
    """
    Make the protocol with some rules taken out.
    """
    return Protocol(
        name='keyed request',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=partial(_moves, Rules(without)),
        invariants={
            'runs at most once': lambda seen: seen['runs'] < 2,
            'a refusal that says no did not run': (
                lambda seen: not seen['false_no']
            ),
            'no call leaves after the expiry': lambda seen: not seen['late'],
        },
    )


def _moves(rules: Rules, plain: tuple) -> list[Move]:
    state = State(*plain)
    moves = [
        *_caller_moves(state),
        *_other_router_moves(rules, state),
        *_target_moves(state),
        *_failures(rules, state),
    ]
    if state.keeper == 'up':
        moves.extend(_keeper_moves(rules, state))
    return moves


def _caller_moves(state: State) -> Iterator[Move]:
    for number, where in enumerate(state.tries):
        if where == IDLE and (number == 0 or state.tries[0] != IDLE):
            yield f'try {number} to keeper', _move(state, number, AT_KEEPER)
            yield f'try {number} to other', _move(state, number, AT_OTHER)
        elif where in IN_PROGRESS and where != RUNNING:
            yield f'try {number} is cut', _move(state, number, LOST)


def _other_router_moves(rules: Rules, state: State) -> Iterator[Move]:
    for number, where in enumerate(state.tries):
        if where == AT_OTHER:
            yield f'other routes try {number}', _route(rules, state, number)
        if where == PASSED_ON and state.keeper == 'down':
            yield (
                f'other misses the keeper for try {number}',
                _tell(state, number, Ran.UNKNOWN),
            )
    if state.seen != state.life:
        yield 'other sees the new life', state._replace(seen=state.life)


def _route(rules: Rules, state: State, number: int) -> State:
    found = find_keeper(_key_name(), _whereabouts(state.seen))
    if isinstance(found, Forward):
        return _move(state, number, PASSED_ON)
    if not rules.holds(ONE_KEEPER):
        return _run_at_other(state, number)
    assert isinstance(found, Refused)
    return _tell(state, number, found.ran)


def _run_at_other(state: State, number: int) -> State:
    ran = state._replace(runs=min(state.runs + 1, 2))
    return _tell(ran, number, Ran.YES)


def _key_name() -> KeyName:
    return KeyName(KEY, 'a', '1', EXPIRY)


def _whereabouts(keeper_life: int) -> LookupContext:
    """
    Return what the other router knows.
    """
    me = RouterId('b', '1')
    keeper = Peer('a', '127.0.0.1:1', 'z', str(keeper_life))
    return LookupContext(
        me, {'a': keeper}, (Membership(frozenset((me,))),), False, 0, 0
    )


def _keeper_moves(rules: Rules, state: State) -> Iterator[Move]:
    for number, where in enumerate(state.tries):
        if where in {AT_KEEPER, PASSED_ON}:
            yield f'keeper takes try {number}', _take(rules, state, number)
    runner = _runner(state)
    if runner is not None and state.entry and not state.listening:
        yield 'keeper sends', _send(rules, state, runner)
    if state.listening and state.sent == 'ran':
        yield 'answer arrives', _end(state, Ran.YES)
    if state.listening:
        yield 'answer is lost', _lose_answer(rules, state)
    swept = _sweep(rules, state)
    if swept != state:
        yield 'keeper forgets the key', swept


def _runner(state: State) -> int | None:
    if RUNNING not in state.tries:
        return None
    return state.tries.index(RUNNING)


def _take(rules: Rules, state: State, number: int) -> State:
    me = RouterId('a', str(state.life if rules.holds(KEEPER_LIFE) else 1))
    known = LookupContext(me, {}, (Membership(frozenset((me,))),), True, 0, 0)
    found = find_keeper(_key_name(), known)
    if not isinstance(found, HandleLocally):
        assert isinstance(found, Refused)
        return _tell(state, number, found.ran)
    entry = state.entry if rules.holds(CLAIMS) else None
    wanted = Claim(KEY, FINGERPRINT, EXPIRY, state.now)
    decision = decide_claim(entry, wanted, StoreUsage(0))
    if isinstance(decision, Start):
        if RUNNING in state.tries:
            state = _move(state, state.tries.index(RUNNING), LOST)
        started = state._replace(entry=decision.entry, listening=False)
        return _move(started, number, RUNNING)
    if isinstance(decision, Join):
        return _move(state, number, JOINED)
    if isinstance(decision, Replay):
        return _tell(state, number, Ran.UNKNOWN)
    ran = decision.ran if rules.holds(FORGOTTEN) else Ran.NO
    return _tell(state, number, ran)


def _send(rules: Rules, state: State, runner: int) -> State:
    refused = check_send(EXPIRY, state.now, seconds_left=1)
    if refused is not None and rules.holds(CHECK_BEFORE_SEND):
        return _end(state, refused.ran)
    if state.sent == 'queued':
        # A second call to the target while the first one is under way.
        state = state._replace(runs=min(state.runs + 1, 2))
    return state._replace(
        sent='queued',
        caller_of=runner,
        listening=True,
        late=state.late or state.now >= EXPIRY,
    )


def _lose_answer(rules: Rules, state: State) -> State:
    ran = Ran.UNKNOWN if rules.holds(UNKNOWN_AFTER_SEND) else Ran.NO
    decision = decide_retry(
        RetryContext(
            ran,
            repeatable=False,
            attempts_made=1,
            has_budget=True,
            seconds_left=1,
        )
    )
    if isinstance(decision, Retry):
        return state._replace(listening=False)
    return _end(state, ran)


def _end(state: State, ran: Ran) -> State:
    """
    The keeper's request has ended; all who wait are told.
    """
    entry = finish(state.entry, ran, 0) if state.entry else None
    ended = state._replace(entry=entry, listening=False)
    for number, where in enumerate(state.tries):
        if where in {RUNNING, JOINED}:
            ended = _tell(ended, number, ran)
    return ended


def _sweep(rules: Rules, state: State) -> State:
    entry = state.entry
    if entry is None:
        return state
    over = is_expired(entry, state.now)
    if not rules.holds(KEPT_TO_EXPIRY):
        over = entry.state is KeyState.ANSWERED
    return state._replace(entry=None) if over else state


def _target_moves(state: State) -> Iterator[Move]:
    if state.sent == 'queued':
        ran = state._replace(sent='ran', runs=min(state.runs + 1, 2))
        yield 'target runs the call', ran
        yield 'target drops the call', state._replace(sent='none')


def _failures(rules: Rules, state: State) -> Iterator[Move]:
    if state.time + 1 < len(TIMES):
        yield 'time passes', state._replace(time=state.time + 1)
    if state.keeper == 'up':
        yield 'keeper pauses', state._replace(keeper='paused')
    if state.keeper == 'paused':
        yield 'keeper wakes', state._replace(keeper='up')
    if state.keeper != 'down' and not state.crashes:
        yield 'keeper crashes', _crash(state)
    if state.keeper == 'down':
        yield 'keeper restarts', state._replace(keeper='up', life=2)


def _crash(state: State) -> State:
    tries = tuple(
        LOST if where in {AT_KEEPER, RUNNING, JOINED} else where
        for where in state.tries
    )
    return state._replace(
        keeper='down',
        entry=None,
        listening=False,
        tries=tries,
        crashes=state.crashes + 1,
    )


def _move(state: State, number: int, where: str) -> State:
    tries = list(state.tries)
    tries[number] = where
    return state._replace(tries=tuple(tries))


def _tell(state: State, number: int, ran: Ran) -> State:
    told = _move(state, number, f'told {ran}')
    may_run = state.runs > 0 or state.sent == 'queued'
    false_no = ran is Ran.NO and may_run
    return told._replace(false_no=state.false_no or false_no)


KEYED_REQUEST = Specification('keyed request', build, RULES)
