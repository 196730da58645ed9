"""
Leases, pauses and orders to one engine, by the agents' own decisions.

Two agents ask for the same lease, may be paused at any point, and send orders
that arrive late or never. A pause between a check and the sending shows as a
late arrival. The engine's clock may run behind by the margin. All times are
kept relative to the present, so that the states are finite without a horizon.
"""

from collections.abc import Iterator
from dataclasses import replace
from functools import cache
from typing import NamedTuple

from minicheck import Protocol

from mallowcrank.leases.fold import Lease, LeaseTable, fold
from mallowcrank.leases.grants import Grant, is_held
from mallowcrank.leases.orders import Action, EngineState, Order, Stage
from mallowcrank.leases.records import LeaseRecord, LeaseTimings
from mallowcrank.leases.steps import (
    ChangeStage,
    Job,
    Send,
    Step,
    StepInput,
    next_step,
)
from mallowcrank.membership.events import Instant
from mallowcrank.models.specification import Specification
from mallowcrank.standins.orders import ACCEPTED, check_order
from mallowcrank.standins.orders import Order as WireOrder
from mallowcrank.standins.settings import Fencing

GROUP = 'targets-0'
HOLDERS = ('a', 'b')
ORDERS = (2, 1)  # of each holder
MAX_RECORDS = 3
LAG = 2  # of the engine's clock; a smaller one allows less
DELAYS = (0, 3)  # of a record on its way to the log
MAX_SENT = 2  # by both holders
LONG_AGO = -100
FORGOTTEN = -6  # no rule looks further back
NEVER_SINCE = float('-inf')

RULES = (
    'fence check',
    'wait out',
    'own expiry',
    'expiry margin',
    'count from asking',
    'one at a time',
    'read back',
    'settle',
    'clean release',
)

Rules = frozenset[str]


class Sent(NamedTuple):
    """
    An order on its way or at work.

    :param number: its place among its holder's orders.
    """

    fence: int
    holder: str
    number: int
    expires: int


class Held(NamedTuple):
    """
    What a holder knows of its lease.

    :param asked: when the record that granted it had been sent.
    :param fence: the fencing number that it was granted.
    """

    asked: int = LONG_AGO
    fence: int = -1


class Work(NamedTuple):
    """
    A holder's order at hand.
    """

    stage: Stage = Stage.DRAINING
    ends: int = LONG_AGO


class State(NamedTuple):
    """
    The whole system.

    :param seen: the highest fencing number that the engine saw.
    :param applied: what the engine was last made to be.
    :param claimed: the last order that a holder reported as done.
    :param stale: whether an order was taken after one of a newer lease.
    :param untrue: whether an order was reported as done and was not, or was
        undone by an older one.
    """

    fencing: str = ''
    lease: Lease | None = None
    records: int = 0
    held: tuple[Held, ...] = (Held(), Held())
    work: tuple[tuple[Work, ...], ...] = tuple(
        (Work(),) * count for count in ORDERS
    )
    flying: frozenset[Sent] = frozenset()
    running: frozenset[Sent] = frozenset()
    seen: int = -1
    applied: Sent | None = None
    claimed: Sent | None = None
    sent: int = 0
    stale: bool = False
    untrue: bool = False


Labelled = tuple[str, State]


@cache
def _terms(without: Rules) -> LeaseTimings:
    margin_s = 0 if 'expiry margin' in without else 2
    return LeaseTimings(lease_s=4, max_order_s=2, margin_s=margin_s)


def _lease(state: State, place: int, without: Rules) -> Lease | None:
    held = state.held[place]
    if held.fence < 0 or state.lease is None:
        return None
    if 'own expiry' in without:
        return replace(state.lease, fence=held.fence)
    if state.lease.fence != held.fence or state.lease.released:
        return None
    asked = Instant(held.asked, held.asked)
    grant = Grant(held.fence, asked)
    held_now = is_held(grant, Instant(0, 0), _terms(without))
    return state.lease if held_now else None


def _transitions(without: Rules, state: State) -> list[Labelled]:
    if not state.fencing:
        return [
            (fencing, state._replace(fencing=fencing))
            for fencing in ('checks', 'ignores')
        ]
    return [
        *_pass_time(state, without),
        *_ask(state, without),
        *_give_back(state, without),
        *_act(state, without),
        *_arrive(state, without),
        *_finish(state),
    ]


def _pass_time(state: State, without: Rules) -> Iterator[Labelled]:
    after = state._replace(
        lease=_older(state.lease, _terms(without)),
        held=tuple(_held_longer(held, without) for held in state.held),
        work=tuple(
            tuple(work._replace(ends=_sooner(work.ends)) for work in mine)
            for mine in state.work
        ),
        flying=_living(state.flying),
        running=_living(state.running),
    )
    yield 'time passes', after


def _held_longer(held: Held, without: Rules) -> Held:
    asked = _sooner(held.asked)
    if asked <= -_terms(without).lease_s and 'own expiry' not in without:
        return Held()
    return Held(asked, held.fence)


def _sooner(time: int) -> int:
    # What is long past is all the same.
    return time - 1 if time > FORGOTTEN else LONG_AGO


@cache
def _older(lease: Lease | None, terms: LeaseTimings) -> Lease | None:
    if lease is None:
        return None
    return replace(
        lease,
        until=max(lease.until - 1, -terms.max_order_s),
        prior_orders_until=lease.prior_orders_until - 1
        if lease.prior_orders_until > 0
        else NEVER_SINCE,
    )


def _living(orders: frozenset[Sent]) -> frozenset[Sent]:
    later = (each._replace(expires=each.expires - 1) for each in orders)
    return frozenset(each for each in later if each.expires > -LAG)


def _ask(state: State, without: Rules) -> Iterator[Labelled]:
    for place, holder in enumerate(HOLDERS):
        # The one that comes first is called `a`.
        is_first = state.records > 0 or place == 0
        if state.records == MAX_RECORDS or _all_over(state, place):
            continue
        for age in DELAYS if is_first else ():
            after = _write(state, place, -age, without)
            yield f'{holder} is written, asked {age} ago', after


@cache
def _fold(
    lease: Lease | None, place: int, offset: int, release: bool, without: Rules
) -> Lease | None:
    leases = {GROUP: lease} if lease else {}
    record = LeaseRecord('', HOLDERS[place], (GROUP,), release)
    table = LeaseTable(leases, log_time=0, timings=_terms(without))
    return fold(table, record, offset, 0).get(GROUP)


def _append(state: State, place: int, without: Rules, release: bool) -> State:
    lease = _fold(state.lease, place, state.records, release, without)
    return state._replace(lease=lease, records=state.records + 1)


def _write(state: State, place: int, asked: int, without: Rules) -> State:
    after = _append(state, place, without, release=False)
    lease = after.lease
    if lease is None or lease.holder != HOLDERS[place]:
        return after
    asked = max(DELAYS) if 'count from asking' in without else asked
    return _with_held(after, place, Held(asked, lease.fence))


def _give_back(state: State, without: Rules) -> Iterator[Labelled]:
    for place, holder in enumerate(HOLDERS):
        if _lease(state, place, without) is None:
            continue
        clean = _all_over(state, place) or 'clean release' in without
        if clean and state.records < MAX_RECORDS:
            after = _append(state, place, without, release=True)
            yield f'{holder} gives back', _with_held(after, place, Held())


def _act(state: State, without: Rules) -> Iterator[Labelled]:
    for place, holder in enumerate(HOLDERS):
        lease = _lease(state, place, without)
        if lease is None:
            continue
        for number, work in enumerate(state.work[place]):
            if work.stage.is_over:
                continue
            yield from _step(state, lease, (place, number), without)
            if 'one at a time' not in without:
                break


def _step(
    state: State, lease: Lease, which: tuple[int, int], without: Rules
) -> Iterator[Labelled]:
    place, number = which
    label = f'{HOLDERS[place]}{number}'
    work = state.work[place][number]
    step = _decide(
        which,
        work,
        state.applied,
        state.fencing,
        lease.prior_orders_until <= 0 or 'wait out' in without,
        _terms(without),
    )
    if work.stage is Stage.SENT and 'read back' in without:
        step = ChangeStage(Stage.DONE)
    if work.stage is Stage.APPLIED and 'settle' in without:
        step = ChangeStage(Stage.DONE)
    if isinstance(step, Send) and state.sent < MAX_SENT:
        yield f'{label} is sent', _send(state, lease, which, without)
    elif isinstance(step, ChangeStage):
        moved = work._replace(stage=_simple(step.stage))
        after = _with_work(state, which, moved)
        if step.stage is Stage.DONE:
            after = _claim(after, lease, which)
        yield f'{label} is {step.stage}', after


def _simple(stage: Stage) -> Stage:
    # Work in flight is left out here: an order is always ready to be sent.
    return Stage.DRAINING if stage is Stage.QUEUED else stage


def _job(which: tuple[int, int], work: Work) -> Job:
    place, number = which
    return Job(
        id='',
        order=Order('e', Action.ROLE, role=f'{HOLDERS[place]}{number}'),
        created=0,
        stage=work.stage,
        since=LONG_AGO,
        idle_since=LONG_AGO,
        ends=work.ends,
    )


@cache
def _decide(
    which: tuple[int, int],
    work: Work,
    applied: Sent | None,
    fencing: str,
    waited_out: bool,
    terms: LeaseTimings,
) -> Step:
    role = f'{applied.holder}{applied.number}' if applied else ''
    facts = StepInput(
        steady=0,
        holds_lease=True,
        prior_orders_over=waited_out,
        is_first=True,
        can_load=True,
        state=EngineState('', '', 0, 0, role, load=0, fencing=fencing),
        timings=terms,
    )
    return next_step(_job(which, work), facts)


def _send(
    state: State, lease: Lease, which: tuple[int, int], without: Rules
) -> State:
    place, number = which
    expires = int(_terms(without).max_order_s)
    order = Sent(lease.fence, HOLDERS[place], number, expires)
    moved = Work(Stage.SENT, expires)
    return _with_work(state, which, moved)._replace(
        flying=state.flying | {order}, sent=state.sent + 1
    )


def _claim(state: State, lease: Lease, which: tuple[int, int]) -> State:
    place, number = which
    claim = Sent(lease.fence, HOLDERS[place], number, 0)
    applied = state.applied
    is_so = applied is not None and (applied.holder, applied.number) == (
        claim.holder,
        number,
    )
    return state._replace(claimed=claim, untrue=state.untrue or not is_so)


def _arrive(state: State, without: Rules) -> Iterator[Labelled]:
    for order in state.flying:
        fencing = Fencing(state.fencing)
        if 'fence check' in without:
            fencing = Fencing.IGNORES
        wire = WireOrder('', order.fence, order.expires, 'role', '')
        seen = state.seen if state.seen >= 0 else None
        after = state._replace(flying=state.flying - {order})
        if check_order(wire, fencing, seen, -LAG) == ACCEPTED:
            after = after._replace(
                running=state.running | {order},
                seen=max(state.seen, order.fence),
                stale=state.stale or order.fence < state.seen,
            )
        yield f'{order.holder}{order.number} arrives', after


def _finish(state: State) -> Iterator[Labelled]:
    for order in state.running:
        claimed = state.claimed
        undoes = claimed is not None and (
            (order.fence, order.number) < (claimed.fence, claimed.number)
        )
        yield (
            f'{order.holder}{order.number} takes effect',
            state._replace(
                running=state.running - {order},
                applied=order._replace(expires=0),
                untrue=state.untrue or undoes,
            ),
        )


def _all_over(state: State, place: int) -> bool:
    return all(work.stage.is_over for work in state.work[place])


def _with_held(state: State, place: int, held: Held) -> State:
    changed = list(state.held)
    changed[place] = held
    return state._replace(held=tuple(changed))


def _with_work(state: State, which: tuple[int, int], work: Work) -> State:
    place, number = which
    mine = list(state.work[place])
    mine[number] = work
    changed = list(state.work)
    changed[place] = tuple(mine)
    return state._replace(work=tuple(changed))


def build(without: Rules = frozenset()) -> Protocol:
    """
    Make the protocol with the named rules taken out.
    """

    found: list[State] = []

    def transitions(state: State) -> list[Labelled]:
        if state.stale or state.untrue:
            found.append(state)
        # One counterexample is enough for a mutant.
        return [] if found and without else _transitions(without, state)

    return Protocol(
        name='lease',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=transitions,
        invariants={
            'no order is taken after one of a newer lease': (
                lambda state: not state['stale']
            ),
            'what was reported as done is so and stays so': (
                lambda state: not state['untrue']
            ),
        },
    )


LEASE = Specification('lease and orders', build, RULES)
