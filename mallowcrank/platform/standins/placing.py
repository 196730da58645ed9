"""
How a stand-in of an engine takes an order to hold layers.
"""

from dataclasses import dataclass, replace
from http import HTTPStatus

import orjson

from mallowcrank.gateway.ports import Headers

EXPECT_INSTANCE = b'mallowcrank-expect-instance'


@dataclass(frozen=True, slots=True)
class PlacementState:
    """
    What an engine holds.

    :param orders: those that it has taken in during this lifetime.
    """

    identity: str
    orders: int = 0
    held: tuple[int, int] | None = None


def names_other_replica(identity: str, headers: Headers) -> bool:
    """
    Return whether a call names another replica.
    """
    given = {name.lower(): raw for name, raw in headers}
    expected = given.get(EXPECT_INSTANCE, b'').decode()
    return bool(expected) and expected != identity


def apply_place_order(
    placed: PlacementState, headers: Headers, body: bytes
) -> tuple[int, PlacementState]:
    """
    Take an order in, or refuse it.

    :returns: the status of the answer, and what the engine holds then.
    """
    if names_other_replica(placed.identity, headers):
        return HTTPStatus.MISDIRECTED_REQUEST, placed
    order = orjson.loads(body)
    asked = (order['source'], order['to'])
    if placed.held == asked:
        return HTTPStatus.OK, placed
    if order.get('expected', placed.orders) != placed.orders:
        return HTTPStatus.CONFLICT, placed
    taken = replace(placed, orders=placed.orders + 1, held=asked)
    return HTTPStatus.ACCEPTED, taken
