"""
Specifies placement orders, with the product's order and a stand-in engine.

Two gateways may be responsible for placement at once. Each reads an engine's
report and may issue an order based on it at any later time; orders arrive
late, twice or never. The engine may crash and restart at the same address
under another identity and without its count of orders, while its old entry
is still in use.
"""

from collections.abc import Iterator
from functools import cache
from typing import NamedTuple

from minicheck import Protocol

from mallowcrank.gateway.ports import HttpCall
from mallowcrank.gateway.targets import HeldLayers
from mallowcrank.models.specification import Specification
from mallowcrank.platform.orders import place_call
from mallowcrank.platform.standins.placing import (
    PlacementState,
    apply_place_order,
)

HOLDER_COUNT = 2
INCARNATION_COUNT = 2
WINDOWS = ((0, 40), (40, 80))
MAX_ORDERS = 3  # issued by both holders together
ACCEPTED_STATUS = 202

TARGET_CHECK = 'an order names its target'
ORDER_COUNT_CHECK = 'an order names the count of orders that it follows'
RULES = (TARGET_CHECK, ORDER_COUNT_CHECK)

Rules = frozenset[str]


class Report(NamedTuple):
    """
    A report that a holder received from the engine.

    :param identity: the identity in the entry that the holder used.
    :param order_count: orders that the engine had accepted.
    :param incarnation: of the engine that answered.
    """

    identity: str = ''
    order_count: int = 0
    incarnation: int = 0


class IssuedOrder(NamedTuple):
    """
    An order that may arrive.

    :param based_on: the report that its holder had read.
    :param window: index into `WINDOWS`.
    """

    based_on: Report
    window: int


class State(NamedTuple):
    """
    The state of the whole system.

    :param incarnation: of the engine at the address.
    :param entry_incarnation: the incarnation whose entry is in use.
    :param order_count: orders that this incarnation has accepted.
    :param held_window: index into `WINDOWS`, or -1 if no layers are held.
    :param reports: the last report that each holder received.
    :param issued: orders that may arrive.
    :param issued_count: how many orders were issued.
    :param wrong_target: whether an engine carried out an order made for
        another one.
    :param outdated: whether an engine carried out an order after one that
        its holder did not know of.
    """

    incarnation: int = 0
    entry_incarnation: int = 0
    order_count: int = 0
    held_window: int = -1
    reports: tuple[Report, ...] = (Report(),) * HOLDER_COUNT
    issued: frozenset[IssuedOrder] = frozenset()
    issued_count: int = 0
    wrong_target: bool = False
    outdated: bool = False


Transition = tuple[str, State]


def _identity(incarnation: int) -> str:
    return f'engine-{incarnation}'


def _transitions(disabled: Rules, state: State) -> list[Transition]:
    return [
        *_crash(state),
        *_read_reports(state),
        *_issue_orders(state),
        *_deliver_orders(disabled, state),
    ]


def _crash(state: State) -> Iterator[Transition]:
    if state.incarnation + 1 < INCARNATION_COUNT:
        yield (
            'the engine crashes and restarts',
            state._replace(
                incarnation=state.incarnation + 1, order_count=0, held_window=-1
            ),
        )
    if state.entry_incarnation < state.incarnation:
        yield (
            'its new entry is read',
            state._replace(entry_incarnation=state.incarnation),
        )


def _read_reports(state: State) -> Iterator[Transition]:
    """
    Let holders request a report; the engine answers all requests.
    """
    for holder in range(HOLDER_COUNT):
        report = Report(
            _identity(state.entry_incarnation),
            state.order_count,
            state.incarnation,
        )
        changed = list(state.reports)
        changed[holder] = report
        if state.reports[holder] != report:
            yield (
                f'{holder} reads a report',
                state._replace(reports=tuple(changed)),
            )


def _issue_orders(state: State) -> Iterator[Transition]:
    if state.issued_count >= MAX_ORDERS:
        return
    for holder, report in enumerate(state.reports):
        # Like the product, a holder without a report counts orders from 0.
        based_on = (
            report
            if report.identity
            else Report(_identity(state.entry_incarnation))
        )
        for window, layers in enumerate(WINDOWS):
            issued = state.issued | {IssuedOrder(based_on, window)}
            yield (
                f'{holder} orders {layers}',
                state._replace(
                    issued=issued, issued_count=state.issued_count + 1
                ),
            )


def _deliver_orders(disabled: Rules, state: State) -> Iterator[Transition]:
    """
    Deliver an order, which may be delivered again later.
    """
    placed = PlacementState(
        _identity(state.incarnation),
        state.order_count,
        WINDOWS[state.held_window] if state.held_window >= 0 else None,
    )
    for order in state.issued:
        call = _call(disabled, order)
        status, after = apply_place_order(placed, call.headers, call.body)
        if status != ACCEPTED_STATUS:
            continue
        based_on = order.based_on
        is_wrong_target = based_on.identity != placed.identity
        is_outdated = (
            not is_wrong_target and based_on.order_count != placed.orders
        )
        yield (
            f'{WINDOWS[order.window]} is carried out',
            state._replace(
                order_count=after.orders,
                held_window=order.window,
                wrong_target=state.wrong_target or is_wrong_target,
                outdated=state.outdated or is_outdated,
            ),
        )


@cache
def _call(disabled: Rules, order: IssuedOrder) -> HttpCall:
    first, end = WINDOWS[order.window]
    layers = HeldLayers(first, end, 0)
    report = order.based_on
    call = place_call(report.identity, layers, report.order_count)
    body = call.body
    if ORDER_COUNT_CHECK in disabled:
        body = body.replace(b'"expected":%d' % report.order_count, b'"any":0')
    headers = () if TARGET_CHECK in disabled else call.headers
    return HttpCall(call.method, call.path, body, headers)


def build(disabled: Rules) -> Protocol:
    """
    Build the protocol.

    :param disabled: rules that are not applied.
    """
    return Protocol(
        name='orders to hold layers',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: _transitions(disabled, State(*state)),
        invariants={
            'no engine carries out an order for another one': (
                lambda fields: not fields['wrong_target']
            ),
            'no order follows one that its holder did not know of': (
                lambda fields: not fields['outdated']
            ),
        },
    )


PLACING_ORDERS = Specification('orders to hold layers', build, RULES)
