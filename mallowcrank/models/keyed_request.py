"""
Specifies a non-repeatable request with a key, over two routers.

The caller makes up to two attempts with one key. Each goes to the key's
keeper or to the other router, which forwards it to the keeper. The keeper may
crash, pause, and restart with a new incarnation; calls and answers may be
lost. The transitions call the router's own decisions on keepers, claims,
sends and completion.
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
EXPIRY_S = 10
# Before the expiry, after it, and after kept answers are evicted.
TIMES_S = (5, EXPIRY_S + 1, EXPIRY_S + ANSWER_TTL_S + 1)
FINGERPRINT = 'f'
CONNECTION_LOST = 'connection lost'
NOT_SENT = 'not sent'
AT_KEEPER = 'at keeper'
AT_OTHER = 'at other router'
FORWARDED = 'forwarded'
JOINED = 'joined'
RUNNING = 'running'
IN_PROGRESS = frozenset((AT_KEEPER, AT_OTHER, FORWARDED, JOINED, RUNNING))

INCARNATION_CHECK = 'only the incarnation named by the key starts the request'
KEEPER_ONLY = 'only the keeper starts the request'
CLAIM_ONCE = 'a started request is not started again'
KEEP_TO_EXPIRY = 'a completed entry is kept until its key has expired'
UNKNOWN_AFTER_SEND = 'after a lost answer it is unknown whether the request ran'
UNKNOWN_IF_EVICTED = 'for an evicted key it is unknown whether the request ran'
CHECK_BEFORE_SEND = 'the expiry is checked again before the send'
RULES = (
    INCARNATION_CHECK,
    KEEPER_ONLY,
    CLAIM_ONCE,
    KEEP_TO_EXPIRY,
    UNKNOWN_AFTER_SEND,
    UNKNOWN_IF_EVICTED,
    CHECK_BEFORE_SEND,
)


class State(NamedTuple):
    """
    The state of the model.

    :param time: index into `TIMES_S`.
    :param keeper: `up`, `paused` or `down`.
    :param incarnation: of the keeper.
    :param known_incarnation: the keeper's incarnation as the other router
        knows it.
    :param entry: the keeper's entry of the key.
    :param attempts: where each attempt is, or the answer to it.
    :param call: the call to the target: `none`, `queued`, `ran`.
    :param call_attempt: the attempt that the call to the target belongs to,
        or -1.
    :param awaits_answer: whether the keeper that sent the call still waits
        for its answer.
    :param runs: executions at the target, counted up to 2.
    :param sent_late: whether a call was sent after the key's expiry.
    :param wrong_refusal: whether a caller was answered that the request did
        not run, although it ran or may still run.
    :param crashes: how often the keeper has crashed.
    """

    time: int = 0
    keeper: str = 'up'
    incarnation: int = 1
    known_incarnation: int = 1
    entry: KeyEntry | None = None
    attempts: tuple[str, ...] = (NOT_SENT, NOT_SENT)
    call: str = 'none'
    call_attempt: int = -1
    awaits_answer: bool = False
    runs: int = 0
    sent_late: bool = False
    wrong_refusal: bool = False
    crashes: int = 0

    @property
    def now(self) -> float:
        """
        Return seconds since the epoch.
        """
        return TIMES_S[self.time]


@dataclass(frozen=True)
class Rules:
    """
    The protecting rules that are applied.

    :param disabled: rules that are not applied.
    """

    disabled: frozenset[str]

    def is_enabled(self, rule: str) -> bool:
        """
        Tell whether a rule is applied.
        """
        return rule not in self.disabled


Transition = tuple[str, State]


def build(disabled: frozenset[str]) -> Protocol:
    """
    Build the protocol.

    :param disabled: rules that are not applied.
    """
    return Protocol(
        name='keyed request',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=partial(_transitions, Rules(disabled)),
        invariants={
            'runs at most once': lambda fields: fields['runs'] < 2,
            'a request refused as not run did not run': (
                lambda fields: not fields['wrong_refusal']
            ),
            'no call is sent after the expiry': (
                lambda fields: not fields['sent_late']
            ),
        },
    )


def _transitions(rules: Rules, fields: tuple) -> list[Transition]:
    state = State(*fields)
    transitions = [
        *_caller_transitions(state),
        *_other_router_transitions(rules, state),
        *_target_transitions(state),
        *_failure_transitions(rules, state),
    ]
    if state.keeper == 'up':
        transitions.extend(_keeper_transitions(rules, state))
    return transitions


def _caller_transitions(state: State) -> Iterator[Transition]:
    for attempt, location in enumerate(state.attempts):
        if location == NOT_SENT and (
            attempt == 0 or state.attempts[0] != NOT_SENT
        ):
            yield (
                f'attempt {attempt} to keeper',
                _set_location(state, attempt, AT_KEEPER),
            )
            yield (
                f'attempt {attempt} to other router',
                _set_location(state, attempt, AT_OTHER),
            )
        elif location in IN_PROGRESS and location != RUNNING:
            yield (
                f'attempt {attempt} loses its connection',
                _set_location(state, attempt, CONNECTION_LOST),
            )


def _other_router_transitions(
    rules: Rules, state: State
) -> Iterator[Transition]:
    for attempt, location in enumerate(state.attempts):
        if location == AT_OTHER:
            yield (
                f'other router routes attempt {attempt}',
                _route_attempt(rules, state, attempt),
            )
        if location == FORWARDED and state.keeper == 'down':
            yield (
                f'other router does not reach the keeper for attempt {attempt}',
                _answer_attempt(state, attempt, Ran.UNKNOWN),
            )
    if state.known_incarnation != state.incarnation:
        yield (
            'other router learns the new incarnation',
            state._replace(known_incarnation=state.incarnation),
        )


def _route_attempt(rules: Rules, state: State, attempt: int) -> State:
    lookup = find_keeper(
        _key_name(), _other_router_context(state.known_incarnation)
    )
    if isinstance(lookup, Forward):
        return _set_location(state, attempt, FORWARDED)
    if not rules.is_enabled(KEEPER_ONLY):
        return _run_at_other_router(state, attempt)
    assert isinstance(lookup, Refused)
    return _answer_attempt(state, attempt, lookup.ran)


def _run_at_other_router(state: State, attempt: int) -> State:
    ran = state._replace(runs=min(state.runs + 1, 2))
    return _answer_attempt(ran, attempt, Ran.YES)


def _key_name() -> KeyName:
    return KeyName(KEY, 'a', '1', EXPIRY_S)


def _other_router_context(known_incarnation: int) -> LookupContext:
    """
    Return what the other router knows about the keeper.
    """
    router = RouterId('b', '1')
    keeper = Peer('a', '127.0.0.1:1', 'z', str(known_incarnation))
    return LookupContext(
        router, {'a': keeper}, (Membership(frozenset((router,))),), False, 0, 0
    )


def _keeper_transitions(rules: Rules, state: State) -> Iterator[Transition]:
    for attempt, location in enumerate(state.attempts):
        if location in {AT_KEEPER, FORWARDED}:
            yield (
                f'keeper handles attempt {attempt}',
                _claim_key(rules, state, attempt),
            )
    running = _running_attempt(state)
    if running is not None and state.entry and not state.awaits_answer:
        yield 'keeper sends', _send(rules, state, running)
    if state.awaits_answer and state.call == 'ran':
        yield 'answer arrives', _end_request(state, Ran.YES)
    if state.awaits_answer:
        yield 'answer is lost', _handle_lost_answer(rules, state)
    evicted = _evict_expired(rules, state)
    if evicted != state:
        yield 'keeper evicts the entry', evicted


def _running_attempt(state: State) -> int | None:
    if RUNNING not in state.attempts:
        return None
    return state.attempts.index(RUNNING)


def _claim_key(rules: Rules, state: State, attempt: int) -> State:
    router = RouterId(
        'a',
        str(state.incarnation if rules.is_enabled(INCARNATION_CHECK) else 1),
    )
    context = LookupContext(
        router, {}, (Membership(frozenset((router,))),), True, 0, 0
    )
    lookup = find_keeper(_key_name(), context)
    if not isinstance(lookup, HandleLocally):
        assert isinstance(lookup, Refused)
        return _answer_attempt(state, attempt, lookup.ran)
    entry = state.entry if rules.is_enabled(CLAIM_ONCE) else None
    claim = Claim(KEY, FINGERPRINT, EXPIRY_S, state.now)
    decision = decide_claim(entry, claim, StoreUsage(0))
    if isinstance(decision, Start):
        if RUNNING in state.attempts:
            state = _set_location(
                state, state.attempts.index(RUNNING), CONNECTION_LOST
            )
        started = state._replace(entry=decision.entry, awaits_answer=False)
        return _set_location(started, attempt, RUNNING)
    if isinstance(decision, Join):
        return _set_location(state, attempt, JOINED)
    if isinstance(decision, Replay):
        return _answer_attempt(state, attempt, Ran.UNKNOWN)
    ran = decision.ran if rules.is_enabled(UNKNOWN_IF_EVICTED) else Ran.NO
    return _answer_attempt(state, attempt, ran)


def _send(rules: Rules, state: State, attempt: int) -> State:
    refused = check_send(EXPIRY_S, state.now, seconds_left=1)
    if refused is not None and rules.is_enabled(CHECK_BEFORE_SEND):
        return _end_request(state, refused.ran)
    if state.call == 'queued':
        # A second call reaches the target while the first one is queued.
        state = state._replace(runs=min(state.runs + 1, 2))
    return state._replace(
        call='queued',
        call_attempt=attempt,
        awaits_answer=True,
        sent_late=state.sent_late or state.now >= EXPIRY_S,
    )


def _handle_lost_answer(rules: Rules, state: State) -> State:
    ran = Ran.UNKNOWN if rules.is_enabled(UNKNOWN_AFTER_SEND) else Ran.NO
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
        return state._replace(awaits_answer=False)
    return _end_request(state, ran)


def _end_request(state: State, ran: Ran) -> State:
    """
    Complete the keeper's request and answer all attempts that wait for it.
    """
    entry = finish(state.entry, ran, 0) if state.entry else None
    ended = state._replace(entry=entry, awaits_answer=False)
    for attempt, location in enumerate(state.attempts):
        if location in {RUNNING, JOINED}:
            ended = _answer_attempt(ended, attempt, ran)
    return ended


def _evict_expired(rules: Rules, state: State) -> State:
    entry = state.entry
    if entry is None:
        return state
    is_over = is_expired(entry, state.now)
    if not rules.is_enabled(KEEP_TO_EXPIRY):
        is_over = entry.state is KeyState.ANSWERED
    return state._replace(entry=None) if is_over else state


def _target_transitions(state: State) -> Iterator[Transition]:
    if state.call == 'queued':
        ran = state._replace(call='ran', runs=min(state.runs + 1, 2))
        yield 'target runs the call', ran
        yield 'target drops the call', state._replace(call='none')


def _failure_transitions(rules: Rules, state: State) -> Iterator[Transition]:
    if state.time + 1 < len(TIMES_S):
        yield 'time passes', state._replace(time=state.time + 1)
    if state.keeper == 'up':
        yield 'keeper pauses', state._replace(keeper='paused')
    if state.keeper == 'paused':
        yield 'keeper resumes', state._replace(keeper='up')
    if state.keeper != 'down' and not state.crashes:
        yield 'keeper crashes', _crash(state)
    if state.keeper == 'down':
        yield 'keeper restarts', state._replace(keeper='up', incarnation=2)


def _crash(state: State) -> State:
    attempts = tuple(
        CONNECTION_LOST
        if location in {AT_KEEPER, RUNNING, JOINED}
        else location
        for location in state.attempts
    )
    return state._replace(
        keeper='down',
        entry=None,
        awaits_answer=False,
        attempts=attempts,
        crashes=state.crashes + 1,
    )


def _set_location(state: State, attempt: int, location: str) -> State:
    attempts = list(state.attempts)
    attempts[attempt] = location
    return state._replace(attempts=tuple(attempts))


def _answer_attempt(state: State, attempt: int, ran: Ran) -> State:
    answered = _set_location(state, attempt, f'answered {ran}')
    may_run = state.runs > 0 or state.call == 'queued'
    is_wrong = ran is Ran.NO and may_run
    return answered._replace(wrong_refusal=state.wrong_refusal or is_wrong)


KEYED_REQUEST = Specification('keyed request', build, RULES)
