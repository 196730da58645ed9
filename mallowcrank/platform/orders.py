"""
Orders to replicas.
"""

from collections.abc import Mapping, Sequence

import orjson

from mallowcrank.gateway.ports import Hop, HttpCall
from mallowcrank.gateway.targets import HeldLayers
from mallowcrank.platform.exchange import format_path, instance_headers

JSON_HEADERS = ((b'Content-Type', b'application/json'),)


def place_call(
    identity: str, layers: HeldLayers, expected_orders: int
) -> HttpCall:
    """
    Order a replica to hold just these layers.

    :param identity: another replica at its address refuses.
    :param orders: the replica refuses if it has taken in more orders.
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
    Order a replica to go on with a request over another path.

    :param identity: the first replica of the path, before and after.
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
