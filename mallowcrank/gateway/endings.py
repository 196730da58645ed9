"""
How calls end that no target answered whole, and what is logged of them.
"""

from dataclasses import dataclass
from http import HTTPStatus

from mallowcrank.gateway.caller_channel import end_to_end_headers
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Call, Core, record_outcome, send_error
from mallowcrank.gateway.target_channel import ResponseHead

TIMEOUT = 'timeout'


@dataclass(frozen=True, slots=True)
class Returning:
    """
    When callers that were refused should come back.

    :param least_s: a request's usual time; then there may be room.
    :param per_s: requests that find room in a second.
    """

    least_s: float
    per_s: float


def give_up(core: Core, call: Call, reason: str, returning: Returning) -> None:
    """
    End a call without a target's answer, telling whether it may have run.
    """
    if call.response.has_begun:
        call.response.abort()
        record_outcome(core, call, 'cut', why=reason)
    elif call.sends:
        status = (
            HTTPStatus.GATEWAY_TIMEOUT
            if reason == TIMEOUT or call.remaining_s() <= 0
            else HTTPStatus.BAD_GATEWAY
        )
        send_error(call.response, status, reason)
        record_outcome(core, call, 'failed', why=reason, status=status)
    else:
        _refuse(core, call, reason, returning)


def pass_on(core: Core, call: Call, head: ResponseHead, body: bytes) -> None:
    """
    Pass a target's whole answer on.
    """
    call.response.send(head.status, end_to_end_headers(head.headers), body)
    is_failure = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    outcome = 'failed' if is_failure else 'served'
    record_outcome(core, call, outcome, status=head.status)


def _refuse(core: Core, call: Call, reason: str, returning: Returning) -> None:
    return_s = core.retry_after.give(
        monotonic_s(), returning.least_s, returning.per_s
    )
    core.meters.refusals.labels(call.kind).inc()
    send_error(call.response, HTTPStatus.SERVICE_UNAVAILABLE, reason, return_s)
    record_outcome(
        core, call, 'refused', why=reason, return_s=round(return_s, 3)
    )
