"""
Specifies leases and orders to one engine, with the agents' own decisions.

Two agents request the same lease, may be paused at any point, and send orders
that arrive late or never. A pause between a check and the send is modelled as
a late arrival. The engine's clock may lag by up to the margin. All times are
relative to the present, which keeps the number of states finite without a
time limit.
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
ORDER_COUNTS = (2, 1)  # by holder
MAX_RECORDS = 3
CLOCK_LAG_S = 2  # of the engine; smaller lags allow fewer transitions
RECORD_DELAYS_S = (0, 3)  # between sending a record and its append
MAX_SENT_ORDERS = 2  # by both holders together
LONG_AGO_S = -100  # stands for all times before the horizon
HORIZON_S = -6  # no rule compares older times
NEVER = float('-inf')

RULES = (
    'fencing check',
    'wait for prior orders',
    'holder checks expiry',
    'expiry margin',
    'lease counts from request',
    'one order at a time',
    'state read-back',
    'settling time',
    'release after all orders',
)

Rules = frozenset[str]


class SentOrder(NamedTuple):
    """
    An order that was sent or is being carried out.

    :param number: its index among its holder's orders.
    :param expires: in seconds from the present.
    """

    fence: int
    holder: str
    number: int
    expires: int


class HeldLease(NamedTuple):
    """
    What a holder knows about its lease.

    :param requested: when the record that granted the lease was sent.
    :param fence: the fencing number of the grant, or -1 without a lease.
    """

    requested: int = LONG_AGO_S
    fence: int = -1


class Progress(NamedTuple):
    """
    The progress of a holder's order.

    :param ends: until when the last message sent for it may take effect.
    """

    stage: Stage = Stage.DRAINING
    ends: int = LONG_AGO_S


class State(NamedTuple):
    """
    The state of the whole system.

    :param fencing: whether the engine checks fencing numbers; empty until
        chosen.
    :param record_count: lease records in the log.
    :param in_flight: orders that have not arrived.
    :param running: orders that the engine accepted and has not applied.
    :param highest_fence: the highest fencing number that the engine received.
    :param applied: the order that the engine applied last.
    :param reported: the order that a holder reported as done last.
    :param stale_accepted: whether the engine accepted an order after one of a
        newer lease.
    :param false_report: whether an order was reported as done although it was
        not applied, or was overwritten by an older one.
    """

    fencing: str = ''
    lease: Lease | None = None
    record_count: int = 0
    held: tuple[HeldLease, ...] = (HeldLease(), HeldLease())
    progress: tuple[tuple[Progress, ...], ...] = tuple(
        (Progress(),) * count for count in ORDER_COUNTS
    )
    in_flight: frozenset[SentOrder] = frozenset()
    running: frozenset[SentOrder] = frozenset()
    highest_fence: int = -1
    applied: SentOrder | None = None
    reported: SentOrder | None = None
    sent_count: int = 0
    stale_accepted: bool = False
    false_report: bool = False


Transition = tuple[str, State]


@cache
def _timings(disabled: Rules) -> LeaseTimings:
    margin_s = 0 if 'expiry margin' in disabled else 2
    return LeaseTimings(lease_s=4, max_order_s=2, margin_s=margin_s)


def _valid_lease(state: State, index: int, disabled: Rules) -> Lease | None:
    held = state.held[index]
    if held.fence < 0 or state.lease is None:
        return None
    if 'holder checks expiry' in disabled:
        return replace(state.lease, fence=held.fence)
    if state.lease.fence != held.fence or state.lease.released:
        return None
    requested = Instant(held.requested, held.requested)
    grant = Grant(held.fence, requested)
    is_valid = is_held(grant, Instant(0, 0), _timings(disabled))
    return state.lease if is_valid else None


def _transitions(disabled: Rules, state: State) -> list[Transition]:
    if not state.fencing:
        return [
            (fencing, state._replace(fencing=fencing))
            for fencing in ('checks', 'ignores')
        ]
    return [
        *_advance_time(state, disabled),
        *_request_leases(state, disabled),
        *_release_leases(state, disabled),
        *_advance_orders(state, disabled),
        *_deliver_orders(state, disabled),
        *_apply_orders(state),
    ]


def _advance_time(state: State, disabled: Rules) -> Iterator[Transition]:
    after = state._replace(
        lease=_age_lease(state.lease, _timings(disabled)),
        held=tuple(_age_held_lease(held, disabled) for held in state.held),
        progress=tuple(
            tuple(
                progress._replace(ends=_age_time(progress.ends))
                for progress in holder_progress
            )
            for holder_progress in state.progress
        ),
        in_flight=_age_orders(state.in_flight),
        running=_age_orders(state.running),
    )
    yield 'time passes', after


def _age_held_lease(held: HeldLease, disabled: Rules) -> HeldLease:
    requested = _age_time(held.requested)
    if (
        requested <= -_timings(disabled).lease_s
        and 'holder checks expiry' not in disabled
    ):
        return HeldLease()
    return HeldLease(requested, held.fence)


def _age_time(time: int) -> int:
    # Merges all times before the horizon, so that states stay few.
    return time - 1 if time > HORIZON_S else LONG_AGO_S


@cache
def _age_lease(lease: Lease | None, timings: LeaseTimings) -> Lease | None:
    if lease is None:
        return None
    return replace(
        lease,
        until=max(lease.until - 1, -timings.max_order_s),
        prior_orders_until=lease.prior_orders_until - 1
        if lease.prior_orders_until > 0
        else NEVER,
    )


def _age_orders(orders: frozenset[SentOrder]) -> frozenset[SentOrder]:
    aged = (each._replace(expires=each.expires - 1) for each in orders)
    return frozenset(each for each in aged if each.expires > -CLOCK_LAG_S)


def _request_leases(state: State, disabled: Rules) -> Iterator[Transition]:
    for index, holder in enumerate(HOLDERS):
        # The holders differ by name only: `a` always writes first.
        may_request = state.record_count > 0 or index == 0
        if state.record_count == MAX_RECORDS or _all_orders_over(state, index):
            continue
        for age in RECORD_DELAYS_S if may_request else ():
            after = _write(state, index, -age, disabled)
            yield f'{holder} gets a record, sent {age} s ago', after


@cache
def _fold(
    lease: Lease | None, index: int, offset: int, release: bool, disabled: Rules
) -> Lease | None:
    leases = {GROUP: lease} if lease else {}
    record = LeaseRecord('', HOLDERS[index], (GROUP,), release)
    table = LeaseTable(leases, log_time=0, timings=_timings(disabled))
    return fold(table, record, offset, 0).get(GROUP)


def _append(state: State, index: int, disabled: Rules, release: bool) -> State:
    lease = _fold(state.lease, index, state.record_count, release, disabled)
    return state._replace(lease=lease, record_count=state.record_count + 1)


def _write(state: State, index: int, requested: int, disabled: Rules) -> State:
    after = _append(state, index, disabled, release=False)
    lease = after.lease
    if lease is None or lease.holder != HOLDERS[index]:
        return after
    requested = (
        max(RECORD_DELAYS_S)
        if 'lease counts from request' in disabled
        else requested
    )
    return _with_held(after, index, HeldLease(requested, lease.fence))


def _release_leases(state: State, disabled: Rules) -> Iterator[Transition]:
    for index, holder in enumerate(HOLDERS):
        if _valid_lease(state, index, disabled) is None:
            continue
        may_release = (
            _all_orders_over(state, index)
            or 'release after all orders' in disabled
        )
        if may_release and state.record_count < MAX_RECORDS:
            after = _append(state, index, disabled, release=True)
            yield (
                f'{holder} releases the lease',
                _with_held(after, index, HeldLease()),
            )


def _advance_orders(state: State, disabled: Rules) -> Iterator[Transition]:
    for index, holder in enumerate(HOLDERS):
        lease = _valid_lease(state, index, disabled)
        if lease is None:
            continue
        for number, progress in enumerate(state.progress[index]):
            if progress.stage.is_over:
                continue
            yield from _advance_order(state, lease, (index, number), disabled)
            if 'one order at a time' not in disabled:
                break


def _advance_order(
    state: State, lease: Lease, order_key: tuple[int, int], disabled: Rules
) -> Iterator[Transition]:
    index, number = order_key
    label = f'{HOLDERS[index]}{number}'
    progress = state.progress[index][number]
    step = _decide(
        order_key,
        progress,
        state.applied,
        state.fencing,
        lease.prior_orders_until <= 0 or 'wait for prior orders' in disabled,
        _timings(disabled),
    )
    if progress.stage is Stage.SENT and 'state read-back' in disabled:
        step = ChangeStage(Stage.DONE)
    if progress.stage is Stage.APPLIED and 'settling time' in disabled:
        step = ChangeStage(Stage.DONE)
    if isinstance(step, Send) and state.sent_count < MAX_SENT_ORDERS:
        yield f'{label} is sent', _send(state, lease, order_key, disabled)
    elif isinstance(step, ChangeStage):
        advanced = progress._replace(stage=_skip_queue(step.stage))
        after = _with_progress(state, order_key, advanced)
        if step.stage is Stage.DONE:
            after = _report_done(after, lease, order_key)
        yield f'{label} is {step.stage}', after


def _skip_queue(stage: Stage) -> Stage:
    # Requests in progress aren't modelled: an order can always be sent.
    return Stage.DRAINING if stage is Stage.QUEUED else stage


def _job(order_key: tuple[int, int], progress: Progress) -> Job:
    index, number = order_key
    return Job(
        id='',
        order=Order('e', Action.ROLE, role=f'{HOLDERS[index]}{number}'),
        created=0,
        stage=progress.stage,
        since=LONG_AGO_S,
        idle_since=LONG_AGO_S,
        ends=progress.ends,
    )


@cache
def _decide(
    order_key: tuple[int, int],
    progress: Progress,
    applied: SentOrder | None,
    fencing: str,
    prior_ended: bool,
    lease_timings: LeaseTimings,
) -> Step:
    role = f'{applied.holder}{applied.number}' if applied else ''
    facts = StepInput(
        steady=0,
        holds_lease=True,
        prior_orders_over=prior_ended,
        is_first=True,
        can_load=True,
        state=EngineState('', '', 0, 0, role, load=0, fencing=fencing),
        timings=lease_timings,
    )
    return next_step(_job(order_key, progress), facts)


def _send(
    state: State, lease: Lease, order_key: tuple[int, int], disabled: Rules
) -> State:
    index, number = order_key
    expires = int(_timings(disabled).max_order_s)
    order = SentOrder(lease.fence, HOLDERS[index], number, expires)
    advanced = Progress(Stage.SENT, expires)
    return _with_progress(state, order_key, advanced)._replace(
        in_flight=state.in_flight | {order}, sent_count=state.sent_count + 1
    )


def _report_done(
    state: State, lease: Lease, order_key: tuple[int, int]
) -> State:
    index, number = order_key
    report = SentOrder(lease.fence, HOLDERS[index], number, 0)
    applied = state.applied
    is_true = applied is not None and (applied.holder, applied.number) == (
        report.holder,
        number,
    )
    return state._replace(
        reported=report, false_report=state.false_report or not is_true
    )


def _deliver_orders(state: State, disabled: Rules) -> Iterator[Transition]:
    for order in state.in_flight:
        fencing = Fencing(state.fencing)
        if 'fencing check' in disabled:
            fencing = Fencing.IGNORES
        wire_order = WireOrder('', order.fence, order.expires, 'role', '')
        highest_fence = (
            state.highest_fence if state.highest_fence >= 0 else None
        )
        after = state._replace(in_flight=state.in_flight - {order})
        if (
            check_order(wire_order, fencing, highest_fence, -CLOCK_LAG_S)
            == ACCEPTED
        ):
            after = after._replace(
                running=state.running | {order},
                highest_fence=max(state.highest_fence, order.fence),
                stale_accepted=state.stale_accepted
                or order.fence < state.highest_fence,
            )
        yield f'{order.holder}{order.number} arrives', after


def _apply_orders(state: State) -> Iterator[Transition]:
    for order in state.running:
        reported = state.reported
        overwrites = reported is not None and (
            (order.fence, order.number) < (reported.fence, reported.number)
        )
        yield (
            f'{order.holder}{order.number} takes effect',
            state._replace(
                running=state.running - {order},
                applied=order._replace(expires=0),
                false_report=state.false_report or overwrites,
            ),
        )


def _all_orders_over(state: State, index: int) -> bool:
    return all(progress.stage.is_over for progress in state.progress[index])


def _with_held(state: State, index: int, held: HeldLease) -> State:
    changed = list(state.held)
    changed[index] = held
    return state._replace(held=tuple(changed))


def _with_progress(
    state: State, order_key: tuple[int, int], progress: Progress
) -> State:
    index, number = order_key
    holder_progress = list(state.progress[index])
    holder_progress[number] = progress
    changed = list(state.progress)
    changed[index] = tuple(holder_progress)
    return state._replace(progress=tuple(changed))


def build(disabled: Rules = frozenset()) -> Protocol:
    """
    Build the protocol.

    :param disabled: rules that are not applied.
    """

    violations: list[State] = []

    def transitions(state: State) -> list[Transition]:
        if state.stale_accepted or state.false_report:
            violations.append(state)
        # A mutant needs only one counterexample.
        return [] if violations and disabled else _transitions(disabled, state)

    return Protocol(
        name='lease',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=transitions,
        invariants={
            'no order is accepted after one of a newer lease': (
                lambda state: not state['stale_accepted']
            ),
            'an order reported as done was applied and is not overwritten': (
                lambda state: not state['false_report']
            ),
        },
    )


LEASE = Specification('lease and orders', build, RULES)
