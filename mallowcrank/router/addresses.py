"""
The addresses of the routers that a caller should use, and the prefix of its
idempotency keys.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from mallowcrank.limits.homes import home_router
from mallowcrank.requests.key_names import key_prefix
from mallowcrank.requests.keys import KEY_TTL_S
from mallowcrank.router.parts import RouterParts
from mallowcrank.view import Peer
from mallowcrank.web import Request, Response, json_response

MAX_ADDRESSES = 4
# A home is preferred while its load is below this multiple of the lowest load
# of the other routers in the zone.
MAX_HOME_LOAD_RATIO = 2
# A home with fewer requests in flight is always preferred.
LIGHT_LOAD_REQUESTS = 16
AVOID_HEADER = 'x-mallowcrank-avoid'


@dataclass(frozen=True, slots=True)
class AddressQuery:
    """
    The inputs that determine the order of addresses.

    :param availability_zone: the caller's availability zone; may be empty.
    :param seed: any number; spreads callers over equivalent routers.
    :param workspace: the caller's workspace. Its home router is preferred
        unless that router is much busier than others.
    :param avoided: addresses that the caller could not reach.
    """

    availability_zone: str
    seed: int = 0
    workspace: str = ''
    avoided: frozenset[str] = frozenset()


def order_routers(
    routers: Iterable[Peer], query: AddressQuery
) -> tuple[Peer, ...]:
    """
    Return the best routers for a caller, without those that are leaving.

    Routers that the caller could not reach come last. Then its own
    availability zone comes first, then the workspace's home router, then the
    less loaded routers.
    """
    live = sorted(
        (peer for peer in routers if not peer.leaving),
        key=lambda peer: peer.name,
    )
    if not live:
        return ()
    offset = query.seed % len(live)
    rotated = live[offset:] + live[:offset]
    home = _find_home(live, query)
    ordered = sorted(
        rotated,
        key=lambda peer: (
            peer.address in query.avoided,
            peer.availability_zone != query.availability_zone,
            peer.name != home,
            _load_magnitude(peer.load),
        ),
    )
    return tuple(ordered[:MAX_ADDRESSES])


def _find_home(routers: Iterable[Peer], query: AddressQuery) -> str | None:
    """
    Return the name of the workspace's home router, or `None` if that router is
    much busier than the others in the zone.
    """
    if not query.workspace:
        return None
    loads_in_zone = {
        peer.name: peer.load
        for peer in routers
        if peer.availability_zone == query.availability_zone
    }
    home = home_router(query.workspace, loads_in_zone)
    if home is None:
        return None
    load = loads_in_zone.pop(home)
    least_load = min(loads_in_zone.values(), default=load)
    return (
        home
        if load < max(LIGHT_LOAD_REQUESTS, MAX_HOME_LOAD_RATIO * least_load)
        else None
    )


def answer_addresses(request: Request, parts: RouterParts) -> Response:
    """
    Handle `GET /v1/addresses`.
    """
    zone = request.headers.get('x-mallowcrank-availability-zone', '')
    workspace = request.headers.get('x-mallowcrank-workspace', '')
    seed = sum(workspace.encode()) + parts.in_flight.count
    avoided = request.headers.get(AVOID_HEADER, '').split(',')
    query = AddressQuery(zone, seed, workspace, frozenset(avoided))
    ordered = order_routers(_known_routers(parts), query)
    first = ordered[0] if ordered else _own_peer(parts)
    keep_s = parts.settings.keep_s
    expiry = math.ceil(parts.epoch_now() + keep_s + KEY_TTL_S)
    return json_response(
        {
            'addresses': [peer.address for peer in ordered or (first,)],
            'keep_s': keep_s,
            'key_prefix': key_prefix(first.name, first.incarnation, expiry),
        }
    )


def _known_routers(parts: RouterParts) -> tuple[Peer, ...]:
    peers = parts.view_store.view.peers.values()
    others = (peer for peer in peers if peer.name != parts.me.name)
    return (*others, _own_peer(parts))


def _own_peer(parts: RouterParts) -> Peer:
    settings, me = parts.settings, parts.me
    return Peer(
        name=me.name,
        address=settings.listen,
        availability_zone=settings.host_settings.availability_zone,
        incarnation=me.incarnation,
        leaving=parts.in_flight.leaving_since is not None,
        load=parts.in_flight.count,
    )


def _load_magnitude(load: int) -> int:
    """
    Return the load's order of magnitude, so that callers don't all move to a
    router with one request less.
    """
    return load.bit_length()
