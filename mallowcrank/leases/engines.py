"""
HTTP calls to engines and to the weight store.
"""

import json
from dataclasses import dataclass
from typing import Any

from mallowcrank import codec
from mallowcrank.calls import HttpCaller, fetch_json
from mallowcrank.leases.orders import EngineState, Order, WeightRate
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran

CALL_TIMEOUT_S = 2
OK = 200


@dataclass(frozen=True, slots=True)
class OrderMessage:
    """
    The body of an order sent to an engine.

    :param order: the order's id and the number of the try.
    :param fence: the fencing number of the lease.
    :param expires: seconds since the epoch, after which the engine must not
        carry out the order.
    """

    order: str
    fence: int
    expires: float
    action: str
    serves: str
    version: str
    first_layer: int
    last_layer: int
    role: str


def make_order_message(
    name: str, order: Order, fence: int, expires: float
) -> OrderMessage:
    """
    Build the message for an order.

    :param name: the order's id and the number of the try.
    :param fence: the fencing number of the lease.
    :param expires: seconds since the epoch.
    """
    return OrderMessage(
        name,
        fence,
        expires,
        str(order.action),
        order.serves,
        order.version,
        order.first_layer,
        order.last_layer,
        order.role,
    )


def fetch_engine_state(address: str) -> EngineState | Failure:
    """
    Fetch an engine's state.

    :param address: `IP:PORT`.
    """
    answer = fetch_json(address, '/status', CALL_TIMEOUT_S)
    if isinstance(answer, Failure):
        return answer
    try:
        return _engine_state(answer)
    except (KeyError, TypeError, ValueError) as error:
        return Failure(f'{address}: malformed status: {error!r}', Ran.NO)


def _engine_state(answer: dict[str, Any]) -> EngineState:
    return EngineState(
        serves=str(answer['serves']),
        version=str(answer.get('version') or ''),
        first_layer=int(answer.get('first_layer') or 0),
        last_layer=int(answer.get('last_layer') or 0),
        role=str(answer.get('role') or ''),
        load=int(answer.get('load') or 0),
        fencing=str(answer.get('fencing') or 'unstated'),
        fence=answer.get('fence'),
        leaving=bool(answer.get('leaving')),
    )


def send_order(address: str, order: OrderMessage) -> int | Failure:
    """
    Send an order to an engine.

    :param address: `IP:PORT`.
    :returns: the HTTP status.
    """
    body = json.dumps(codec.to_plain(order)).encode()
    reply = HttpCaller(address, connections=1).call(
        'POST', '/orders', body, timeout_s=CALL_TIMEOUT_S
    )
    return reply if isinstance(reply, Failure) else reply.status


def fetch_weight_rate(address: str) -> WeightRate | None:
    """
    Fetch the weight store's throughput.

    :param address: `IP:PORT`, or an empty string if there is no store.
    :returns: `None` if there is no store or no valid answer.
    """
    answer = fetch_json(address, '/rate', CALL_TIMEOUT_S) if address else {}
    if isinstance(answer, Failure):
        return None
    try:
        return WeightRate(
            float(answer['bytes_per_s']), float(answer['bytes_per_layer'])
        )
    except (KeyError, TypeError, ValueError):
        return None
