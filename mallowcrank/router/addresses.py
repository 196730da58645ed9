"""
Which routers a caller should use, and the prefix of its keys.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from mallowcrank.limits.homes import home_router
from mallowcrank.requests.key_names import key_prefix
from mallowcrank.requests.keys import KEY_LIFE_S
from mallowcrank.router.parts import RouterParts
from mallowcrank.view import Peer
from mallowcrank.web import Request, Response, json_response

MAX_ADDRESSES = 4
MAX_HOME_LOAD_RATIO = (
    2  # times the least busy neighbour's load that a home may have
)
LIGHT_LOAD_REQUESTS = (
    16  # requests in flight, up to which a home is always first
)
AVOID_HEADER = 'x-mallowcrank-avoid'


@dataclass(frozen=True, slots=True)
class AddressQuery:
    """
    What decides the order of addresses.

    :param availability_zone: the caller's; may be empty.
    :param seed: spreads callers over equal routers; any number.
    :param workspace: the caller's; its home router goes first, unless it is
        much busier than others.
    :param avoided: addresses that the caller could not reach.
    """

    availability_zone: str
    seed: int = 0
    workspace: str = ''
    avoided: frozenset[str] = frozenset()


def order_routers(
    routers: Iterable[Peer], question: AddressQuery
) -> tuple[Peer, ...]:
    """
    Return the routers for a caller: those that it could reach, its own
    availability zone first, then the workspace's home, then the less loaded;
    none that is leaving.
    """
    live = sorted(
        (peer for peer in routers if not peer.leaving),
        key=lambda peer: peer.name,
    )
    if not live:
        return ()
    turn = question.seed % len(live)
    spread = live[turn:] + live[:turn]
    home = _home(live, question)
    ordered = sorted(
        spread,
        key=lambda peer: (
            peer.address in question.avoided,
            peer.availability_zone != question.availability_zone,
            peer.name != home,
            _load_class(peer.load),
        ),
    )
    return tuple(ordered[:MAX_ADDRESSES])


def _home(routers: Iterable[Peer], question: AddressQuery) -> str | None:
    """
    Return the workspace's home, unless it is much busier than its neighbours.
    """
    if not question.workspace:
        return None
    near = {
        peer.name: peer.load
        for peer in routers
        if peer.availability_zone == question.availability_zone
    }
    home = home_router(question.workspace, near)
    if home is None:
        return None
    load = near.pop(home)
    least = min(near.values(), default=load)
    return (
        home
        if load < max(LIGHT_LOAD_REQUESTS, MAX_HOME_LOAD_RATIO * least)
        else None
    )


def answer_addresses(request: Request, parts: RouterParts) -> Response:
    """
    Answer `GET /v1/addresses`.
    """
    zone = request.headers.get('x-mallowcrank-availability-zone', '')
    workspace = request.headers.get('x-mallowcrank-workspace', '')
    seed = sum(workspace.encode()) + parts.in_flight.count
    avoided = request.headers.get(AVOID_HEADER, '').split(',')
    question = AddressQuery(zone, seed, workspace, frozenset(avoided))
    ordered = order_routers(_all_routers(parts), question)
    first = ordered[0] if ordered else _myself(parts)
    keep_s = parts.settings.keep_s
    expiry = math.ceil(parts.epoch_now() + keep_s + KEY_LIFE_S)
    return json_response(
        {
            'addresses': [peer.address for peer in ordered or (first,)],
            'keep_s': keep_s,
            'key_prefix': key_prefix(first.name, first.incarnation, expiry),
        }
    )


def _all_routers(parts: RouterParts) -> tuple[Peer, ...]:
    peers = parts.view_store.view.peers.values()
    others = (peer for peer in peers if peer.name != parts.me.name)
    return (*others, _myself(parts))


def _myself(parts: RouterParts) -> Peer:
    settings, me = parts.settings, parts.me
    return Peer(
        name=me.name,
        address=settings.listen,
        availability_zone=settings.on.availability_zone,
        incarnation=me.incarnation,
        leaving=parts.in_flight.leaving_since is not None,
        load=parts.in_flight.count,
    )


def _load_class(load: int) -> int:
    """
    Return the load's order of magnitude, so that callers don't all run to the
    router that has one request less.
    """
    return load.bit_length()
