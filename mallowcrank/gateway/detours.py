"""
Detours of started streams around lost engines, over the same channel.

The first engine of a path receives the new path. The engines that stay keep
the context that they have read, so that the stream pauses only briefly and the
request isn't sent again.
"""

from collections.abc import Collection
from http import HTTPStatus

from mallowcrank.chains.paths import ChainPath
from mallowcrank.gateway.call import Call
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.path_finder import PathFinder, format_path
from mallowcrank.gateway.permits import Denial
from mallowcrank.gateway.target_channel import Response
from mallowcrank.gateway.targets import Lifetime

ORDER_TIMEOUT_S = 0.05  # takes some milliseconds; the stream is paused
ORDER_ACCEPTED = frozenset((HTTPStatus.OK, HTTPStatus.ACCEPTED))


async def detour_stream(
    core: Core,
    call: Call,
    finder: PathFinder,
    path: ChainPath,
    lost: Collection[Lifetime],
) -> ChainPath | None:
    """
    Move a stream to a path without the lost engines.

    :param path: its current path.
    :returns: its new path, or None if there is none or its first engine
        didn't accept it.
    """
    found = finder.detour(path, lost)
    if found is None:
        return None
    first = core.fleet.find(found.segments[0].lifetime.identity)
    hops = finder.hops(found)
    if first is None or not hops:
        return None
    if isinstance(
        await core.permits.claim_path(found.lifetimes, known=path.lifetimes),
        Denial,
    ):
        return None
    order = core.vocabulary.detour_call(
        first.identity, call.fields.request_id, hops
    )
    answer = await core.pool.fetch(first.address, order, ORDER_TIMEOUT_S)
    status = answer.head.status if isinstance(answer, Response) else 0
    core.meters.orders.labels(str(status or 'none')).inc()
    core.journal.say(
        'request: detour',
        request=call.fields.request_id,
        status=status,
        round=[each.identity for each in lost],
        path=format_path(found),
        age_s=round(call.age_s(), 4),
    )
    return found if status in ORDER_ACCEPTED else None
