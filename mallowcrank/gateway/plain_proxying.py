"""
Plain calls that another gateway sends for this one.
"""

from http import HTTPStatus

from mallowcrank.gateway.call import Call
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.desired import Repeat
from mallowcrank.gateway.outcomes import UNSEALED, NoResponse
from mallowcrank.gateway.proxies import (
    Proxy,
    is_proxy_failure,
    is_proxy_refusal,
)
from mallowcrank.gateway.target_channel import (
    ChannelBroken,
    ConnectFailure,
    ReadTimeout,
    Response,
    TargetChannel,
)


async def open_proxy(
    core: Core, call: Call, proxy: Proxy
) -> TargetChannel | NoResponse:
    """
    Return a channel to another gateway, over which a call can be passed on.
    """
    may_repeat = call.route.repeat is Repeat.ANY
    channel = await core.proxies.open(call, proxy, may_reuse=may_repeat)
    if isinstance(channel, ConnectFailure):
        call.refusals += 1
        reason = f'unreached: {proxy.host}: {channel.reason}'
        return NoResponse(reason, may_have_run=False)
    return channel


async def pass_on(
    core: Core, call: Call, proxy: Proxy, channel: TargetChannel
) -> Response | NoResponse:
    """
    Let another gateway send a call.
    """
    try:
        core.proxies.send(call, channel)
        response = await channel.read_response(call.remaining_s())
    finally:
        core.pool.release(channel)
    return _classify(core, call, proxy, response)


def _classify(
    core: Core,
    call: Call,
    proxy: Proxy,
    response: Response | ChannelBroken | ReadTimeout,
) -> Response | NoResponse:
    if not isinstance(response, Response):
        return NoResponse(
            f'no answer of {proxy.host}',
            may_have_run=True,
            is_silent=isinstance(response, ReadTimeout),
        )
    if is_proxy_refusal(response.head):
        call.record_refusal()
        return NoResponse(f'refused by {proxy.host}', may_have_run=False)
    fields = core.vocabulary.response_fields(response.head.headers)
    if is_proxy_failure(response.head, fields.is_genuine):
        reason = f'{response.head.status} of {proxy.host}'
        return NoResponse(reason, may_have_run=True)
    is_ok = response.head.status < HTTPStatus.MULTIPLE_CHOICES
    if is_ok and not core.is_success(response.head):
        return NoResponse(UNSEALED, may_have_run=True)
    return response
