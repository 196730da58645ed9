"""
Placement orders as a stand-in engine handles them.
"""

from dataclasses import dataclass, replace
from http import HTTPStatus

import orjson

from mallowcrank.gateway.ports import Headers

EXPECT_INSTANCE = b'mallowcrank-expect-instance'


@dataclass(frozen=True, slots=True)
class PlacementState:
    """
    The placement state of an engine.

    :param orders: number of orders accepted in this lifetime.
    :param held: first and end of the held layers.
    """

    identity: str
    orders: int = 0
    held: tuple[int, int] | None = None


def names_other_replica(identity: str, headers: Headers) -> bool:
    """
    Return whether a call is meant for another replica.
    """
    by_name = {name.lower(): value for name, value in headers}
    expected = by_name.get(EXPECT_INSTANCE, b'').decode()
    return bool(expected) and expected != identity


def apply_place_order(
    state: PlacementState, headers: Headers, body: bytes
) -> tuple[int, PlacementState]:
    """
    Accept or refuse a placement order.

    :returns: the status of the answer and the state after it.
    """
    if names_other_replica(state.identity, headers):
        return HTTPStatus.MISDIRECTED_REQUEST, state
    order = orjson.loads(body)
    ordered_layers = (order['source'], order['to'])
    if state.held == ordered_layers:
        return HTTPStatus.OK, state
    if order.get('expected', state.orders) != state.orders:
        return HTTPStatus.CONFLICT, state
    accepted = replace(state, orders=state.orders + 1, held=ordered_layers)
    return HTTPStatus.ACCEPTED, accepted
