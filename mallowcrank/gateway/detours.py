"""
Taking begun streams round engines that were lost, over the same channel.

The first engine of a path is told the new one. The engines that stay keep
what they have read, so that the stream pauses for a short time only, and the
request is not sent once more.
"""

from collections.abc import Collection
from http import HTTPStatus

from mallowcrank.chains.paths import ChainPath
from mallowcrank.gateway.core import Call, Core
from mallowcrank.gateway.path_finder import PathFinder, path_text
from mallowcrank.gateway.target_channel import Response
from mallowcrank.gateway.targets import Lifetime

ANSWER_S = 0.05  # for an order; it takes some ms, and a stream pauses
TAKEN = frozenset((HTTPStatus.OK, HTTPStatus.ACCEPTED))


async def go_round(
    core: Core,
    call: Call,
    finder: PathFinder,
    path: ChainPath,
    lost: Collection[Lifetime],
) -> ChainPath | None:
    """
    Take a stream round lost engines.

    :returns: its path from now on, if its first engine has taken it.
    """
    found = finder.detour(path, lost)
    if found is None:
        return None
    first = core.fleet.find(found.parts[0].lifetime.identity)
    hops = finder.hops(found)
    if first is None or not hops:
        return None
    order = core.vocabulary.detour_call(
        first.identity, call.fields.request_id, hops
    )
    answer = await core.pool.fetch(first.address, order, ANSWER_S)
    status = answer.head.status if isinstance(answer, Response) else 0
    core.meters.orders.labels(str(status or 'none')).inc()
    core.journal.say(
        'request: detour',
        request=call.fields.request_id,
        status=status,
        round=[each.identity for each in lost],
        path=path_text(found),
        age_s=round(call.age_s(), 4),
    )
    return found if status in TAKEN else None
