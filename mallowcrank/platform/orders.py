"""
Orders to replicas.
"""

import orjson

from mallowcrank.gateway.ports import HttpCall
from mallowcrank.gateway.targets import HeldLayers

JSON_HEADERS = ((b'Content-Type', b'application/json'),)


def place_call(layers: HeldLayers, orders: int) -> HttpCall:
    """
    Order a replica to hold just these layers.

    :param orders: the replica refuses if it has taken in more orders.
    """
    body = {
        'operation': 'place',
        'source': layers.first,
        'to': layers.end,
        'mode': 'wait',
        'expected': orders,
    }
    return HttpCall('POST', '/order', orjson.dumps(body), JSON_HEADERS)
