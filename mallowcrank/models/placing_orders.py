"""
Orders to hold layers, by the product's own order and a stand-in's judgement.

Two gateways may hold the duty at once. Each reads what an engine says of
itself, and may give an order on that at any later time; orders arrive late,
twice or never. The engine may crash and come back at the same address under
another identity, and with no memory of orders, while its old entry is still
read.
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

HOLDERS = 2
LIVES = 2
WINDOWS = ((0, 40), (40, 80))
MOST_ORDERS = 3  # given by both holders
TAKEN = 202

NAMES_TARGET = 'an order names its target'
COUNTS = 'an order names the orders that it follows'
RULES = (NAMES_TARGET, COUNTS)

Rules = frozenset[str]


class Read(NamedTuple):
    """
    What a holder was told by the engine.

    :param identity: of the entry by which it asked.
    :param life: of the engine that answered.
    """

    identity: str = ''
    orders: int = 0
    life: int = 0


class Given(NamedTuple):
    """
    An order that may arrive.

    :param based_on: what its holder had read.
    """

    based_on: Read
    window: int


class State(NamedTuple):
    """
    The whole system.

    :param life: of the engine at the address.
    :param entry: the life whose entry is read.
    :param misled: whether an order was carried out by another engine than
        the one that it was made for.
    :param stale: whether one was carried out after an order that its holder
        did not know of.
    """

    life: int = 0
    entry: int = 0
    orders: int = 0
    held: int = -1
    read: tuple[Read, ...] = (Read(),) * HOLDERS
    given: frozenset[Given] = frozenset()
    count: int = 0
    misled: bool = False
    stale: bool = False


Labelled = tuple[str, State]


def _identity(life: int) -> str:
    return f'engine-{life}'


def _transitions(without: Rules, state: State) -> list[Labelled]:
    return [
        *_crash(state),
        *_learn(state),
        *_give(state),
        *_arrive(without, state),
    ]


def _crash(state: State) -> Iterator[Labelled]:
    if state.life + 1 < LIVES:
        yield (
            'the engine crashes and comes back',
            state._replace(life=state.life + 1, orders=0, held=-1),
        )
    if state.entry < state.life:
        yield 'its new entry is read', state._replace(entry=state.life)


def _learn(state: State) -> Iterator[Labelled]:
    """
    Let holders ask for a report; the engine answers whoever asks.
    """
    for holder in range(HOLDERS):
        read = Read(_identity(state.entry), state.orders, state.life)
        reads = list(state.read)
        reads[holder] = read
        if state.read[holder] != read:
            yield f'{holder} reads', state._replace(read=tuple(reads))


def _give(state: State) -> Iterator[Labelled]:
    if state.count >= MOST_ORDERS:
        return
    for holder, read in enumerate(state.read):
        # As the product does, a holder that has read nothing counts from 0.
        known = read if read.identity else Read(_identity(state.entry))
        for window, layers in enumerate(WINDOWS):
            given = state.given | {Given(known, window)}
            yield (
                f'{holder} orders {layers}',
                state._replace(given=given, count=state.count + 1),
            )


def _arrive(without: Rules, state: State) -> Iterator[Labelled]:
    """
    Let an order arrive; it may arrive again.
    """
    placed = PlacementState(
        _identity(state.life),
        state.orders,
        WINDOWS[state.held] if state.held >= 0 else None,
    )
    for given in state.given:
        call = _call(without, given)
        status, after = apply_place_order(placed, call.headers, call.body)
        if status != TAKEN:
            continue
        based_on = given.based_on
        is_misled = based_on.identity != placed.identity
        is_stale = not is_misled and based_on.orders != placed.orders
        yield (
            f'{WINDOWS[given.window]} is carried out',
            state._replace(
                orders=after.orders,
                held=given.window,
                misled=state.misled or is_misled,
                stale=state.stale or is_stale,
            ),
        )


@cache
def _call(without: Rules, given: Given) -> HttpCall:
    first, end = WINDOWS[given.window]
    layers = HeldLayers(first, end, 0)
    read = given.based_on
    call = place_call(read.identity, layers, read.orders)
    body = call.body
    if COUNTS in without:
        body = body.replace(b'"expected":%d' % read.orders, b'"any":0')
    headers = () if NAMES_TARGET in without else call.headers
    return HttpCall(call.method, call.path, body, headers)


def build(without: Rules) -> Protocol:
    """
    Build the protocol, with some rules taken out.
    """
    return Protocol(
        name='orders to hold layers',
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: _transitions(without, State(*state)),
        invariants={
            'no engine carries out an order for another': (
                lambda seen: not seen['misled']
            ),
            'no order follows one that its holder did not know': (
                lambda seen: not seen['stale']
            ),
        },
    )


PLACING_ORDERS = Specification('orders to hold layers', build, RULES)
