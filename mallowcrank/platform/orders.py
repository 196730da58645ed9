"""
Encodes orders to replicas.
"""

from collections.abc import Mapping, Sequence

import orjson

from mallowcrank.gateway.ports import Hop, HttpCall
from mallowcrank.gateway.targets import HeldLayers
from mallowcrank.platform.forwarding import format_path, instance_headers

JSON_HEADERS = ((b'Content-Type', b'application/json'),)


def place_call(
    identity: str, layers: HeldLayers, expected_orders: int
) -> HttpCall:
    """
    Return the order to a replica to hold exactly these layers.

    :param identity: any other replica at the address refuses.
    :param expected_orders: number of orders that the replica has accepted so
        far; it refuses if the number differs.
    """
    body = {
        'operation': 'place',
        'source': layers.first,
        'to': layers.end,
        'mode': 'wait',
        'expected': expected_orders,
    }
    return _order_call(identity, body)


def detour_call(identity: str, request: str, hops: Sequence[Hop]) -> HttpCall:
    """
    Return the order to continue a request over another path.

    :param identity: the first replica of both the old and the new path.
    """
    body = {'operation': 'repath', 'id': request, 'path': format_path(hops)}
    return _order_call(identity, body)


def _order_call(identity: str, body: Mapping[str, object]) -> HttpCall:
    return HttpCall(
        'POST',
        '/order',
        orjson.dumps(body),
        (*JSON_HEADERS, *instance_headers(identity)),
    )
