"""
Orders to replicas.
"""

import orjson

from mallowcrank.gateway.ports import HttpCall
from mallowcrank.gateway.targets import HeldLayers
from mallowcrank.platform.exchange import expect

JSON_HEADERS = ((b'Content-Type', b'application/json'),)


def place_call(identity: str, layers: HeldLayers, orders: int) -> HttpCall:
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
        'expected': orders,
    }
    return HttpCall(
        'POST', '/order', orjson.dumps(body), (*JSON_HEADERS, *expect(identity))
    )
