"""
Ends of calls without a complete answer from a target, and their logging.
"""

from dataclasses import dataclass
from http import HTTPStatus

from mallowcrank.chains.suspect_traits import Suspicion
from mallowcrank.gateway.call import Call
from mallowcrank.gateway.call_log import record_outcome
from mallowcrank.gateway.caller_channel import end_to_end_headers
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.error_responses import send_error
from mallowcrank.gateway.permits import Denial
from mallowcrank.gateway.target_channel import ResponseHead

TIMEOUT = 'timeout'
TRIAL_S = 1.0  # within which a request in doubt is answered
TRIALS_PER_S = 4
STOPPING = 'the gateway stops'
STOPPING_RETRY_AFTER_S = 0.05  # the caller goes to another gateway


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """
    When refused callers should retry.

    :param min_s: a request's usual time, after which there may be room.
    :param rate_per_s: requests that find room per second.
    """

    min_s: float
    rate_per_s: float


def give_up(
    core: Core,
    call: Call,
    reason: str,
    retry_after: RetryAfter,
    may_run_on: bool = False,
) -> None:
    """
    End a call without a target's answer.

    The status shows whether the request may have run.

    :param reason: goes into the answer and the log.
    :param retry_after: applies if the request was not sent.
    :param may_run_on: whether a target may still have answered it.
    """
    is_abandoned = may_run_on and call.remaining_s() > 0
    if is_abandoned:
        core.meters.abandoned_runs.labels(call.kind).inc()
    if call.response.has_begun:
        call.response.abort()
        record_outcome(core, call, 'cut', why=reason, is_abandoned=is_abandoned)
    elif call.sends:
        status = (
            HTTPStatus.GATEWAY_TIMEOUT
            if reason == TIMEOUT or call.remaining_s() <= 0
            else HTTPStatus.BAD_GATEWAY
        )
        send_error(call.response, status, reason)
        record_outcome(
            core,
            call,
            'failed',
            why=reason,
            status=status,
            is_abandoned=is_abandoned,
        )
    else:
        retry_after_s = core.retry_after.assign_delay_s(
            monotonic_s(), retry_after.min_s, retry_after.rate_per_s
        )
        _refuse(core, call, reason, retry_after_s)


def end_denied(
    core: Core, call: Call, denial: Denial, retry_after: RetryAfter
) -> None:
    """
    End a call for which its targets take no more requests.

    :param retry_after: applies if a target may have run it before.
    """
    if call.sends or call.response.has_begun:
        give_up(core, call, denial.reason, retry_after)
    else:
        core.meters.limit_refusals.labels(call.kind).inc()
        _refuse(core, call, denial.reason, denial.return_s)


def refuse_suspect(core: Core, call: Call, suspicion: Suspicion) -> None:
    """
    End a call that crashes targets, or may do so; it was not sent.
    """
    if suspicion is not Suspicion.CONFIRMED:
        min_s = max(TRIAL_S, core.suspects.hold_s(call.traits()))
        retry_after_s = core.retry_after.assign_delay_s(
            monotonic_s(), min_s, TRIALS_PER_S
        )
        _refuse(core, call, 'the request may crash targets', retry_after_s)
        return
    reason = 'the request or a part of its prompt crashes targets'
    core.meters.refusals.labels(call.kind).inc()
    send_error(call.response, HTTPStatus.UNPROCESSABLE_ENTITY, reason)
    record_outcome(core, call, 'refused', why=reason)


def refuse_stopping(core: Core, call: Call) -> None:
    """
    End a call that a stopping gateway may not finish in time; it was not sent.
    """
    _refuse(core, call, STOPPING, STOPPING_RETRY_AFTER_S)


def forward_answer(
    core: Core, call: Call, head: ResponseHead, body: bytes
) -> None:
    """
    Forward a target's complete answer to the caller.
    """
    call.response.send(head.status, end_to_end_headers(head.headers), body)
    is_failure = head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    outcome = 'failed' if is_failure else 'served'
    record_outcome(core, call, outcome, status=head.status)


def _refuse(core: Core, call: Call, reason: str, retry_after_s: float) -> None:
    core.meters.refusals.labels(call.kind).inc()
    send_error(
        call.response, HTTPStatus.SERVICE_UNAVAILABLE, reason, retry_after_s
    )
    record_outcome(
        core, call, 'refused', why=reason, return_s=round(retry_after_s, 3)
    )
