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
from mallowcrank.gateway.path_finder import PathFinder, format_path
from mallowcrank.gateway.target_channel import Whole
from mallowcrank.gateway.targets import Lifetime

ANSWER_S = 0.05  # for an order; it takes some ms, and a stream pauses
TAKEN = frozenset((HTTPStatus.OK, HTTPStatus.ACCEPTED))


async def detour_stream(
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
        first.identity, call.fields.request, hops
    )
    answer = await core.pool.ask(first.address, order, ANSWER_S)
    status = answer.head.status if isinstance(answer, Whole) else 0
    core.meters.orders.labels(str(status or 'none')).inc()
    core.journal.say(
        'request: detour',
        request=call.fields.request,
        status=status,
        round=[each.identity for each in lost],
        path=format_path(found),
        age_s=round(call.age_s(), 4),
    )
    return found if status in TAKEN else None
