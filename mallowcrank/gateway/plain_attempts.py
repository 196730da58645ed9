"""
One send of a plain call, to a target or through another gateway.
"""

from dataclasses import dataclass
from http import HTTPStatus

from mallowcrank.chains.budget import SentRequest
from mallowcrank.chains.replicas import ReplicaRecords
from mallowcrank.gateway.call import Call, answer_matcher
from mallowcrank.gateway.call_log import log_broken_channel
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.desired import Repeat
from mallowcrank.gateway.outcomes import UNSEALED, NoResponse
from mallowcrank.gateway.plain_proxying import open_proxy, pass_on
from mallowcrank.gateway.ports import ForwardFields
from mallowcrank.gateway.proxies import Proxy
from mallowcrank.gateway.target_channel import (
    ChannelBroken,
    ConnectFailure,
    ReadTimeout,
    Response,
    TargetChannel,
    encode_request,
)
from mallowcrank.gateway.target_choice import ClaimedTarget
from mallowcrank.gateway.targets import Target

MS_PER_S = 1000
# Without an answer, a repeatable call is sent to another target, too.
RETRY_AFTER_SILENCE_S = 0.35
RETRY_AFTER_PROXY_SILENCE_S = 1.0


@dataclass(slots=True, eq=False)
class Attempt:
    """
    One send of a call.

    :param retry: its place in the retry budget; none for the first send.
    :param sent_at: steady time, in seconds.
    :param is_sent: whether its call counts it as a send.
    :param is_silent: whether no answer has come for so long that the call is
        sent to another target, too.
    """

    way: ClaimedTarget | Proxy
    retry: SentRequest | None
    sent_at: float = 0
    is_sent: bool = False
    is_silent: bool = False

    @property
    def patience_s(self) -> float:
        """
        Return for how many seconds it may be silent.
        """
        if isinstance(self.way, Proxy):
            return RETRY_AFTER_PROXY_SILENCE_S
        return RETRY_AFTER_SILENCE_S


class AttemptSender:
    """
    Sends plain calls, and reads the answers.
    """

    def __init__(self, core: Core, records: ReplicaRecords) -> None:
        self._core = core
        self._records = records

    async def attempt(
        self, call: Call, attempt: Attempt
    ) -> Response | NoResponse:
        """
        Send a call, and read the answer until its deadline.
        """
        if isinstance(attempt.way, Proxy):
            return await self._attempt_proxy(call, attempt.way, attempt)
        call.avoided.add(attempt.way.target.lifetime)
        return await self._attempt_target(call, attempt.way, attempt)

    async def _attempt_proxy(
        self, call: Call, proxy: Proxy, attempt: Attempt
    ) -> Response | NoResponse:
        channel = await open_proxy(self._core, call, proxy)
        if isinstance(channel, NoResponse):
            self._core.cancel_retry(call.service.name, attempt.retry)
            return channel
        attempt.is_sent = True
        return await pass_on(self._core, call, proxy, channel)

    async def _attempt_target(
        self, call: Call, claimed: ClaimedTarget, attempt: Attempt
    ) -> Response | NoResponse:
        target = claimed.target
        may_reuse = call.route.repeat is not Repeat.ONCE and not call.sends
        channel = await self._core.acquire_channel(target, call, may_reuse)
        if isinstance(channel, ConnectFailure):
            call.refusals += 1
            self._core.cancel_retry(call.service.name, attempt.retry)
            return NoResponse(
                f'unreached: {channel.reason}', may_have_run=False
            )
        if not claimed.permit.is_valid():
            self._core.pool.release(channel)
            self._core.cancel_retry(call.service.name, attempt.retry)
            return NoResponse('a permit has expired', may_have_run=False)
        self._records.record_start(target.lifetime)
        is_failed: bool | None = None
        try:
            self._send(call, attempt, target, channel)
            result = await self._read_response(call, target, channel)
            is_failed = _is_failed(result)
        finally:
            self._record_end(target, attempt, is_failed)
            self._core.pool.release(channel)
        return self._classify(call, target, result)

    def _record_end(
        self, target: Target, attempt: Attempt, is_failed: bool | None
    ) -> None:
        # A silent attempt is cancelled when another one has answered.
        if is_failed is None and attempt.is_silent:
            is_failed = True
        self._records.record_end(target.lifetime, is_failed)

    def _send(
        self,
        call: Call,
        attempt: Attempt,
        target: Target,
        channel: TargetChannel,
    ) -> None:
        request = call.request
        headers = self._core.vocabulary.target_headers(
            request.headers,
            ForwardFields(
                target=target.identity,
                remaining_ms=max(1, int(call.remaining_s() * MS_PER_S)),
                workspace=call.workspace,
            ),
        )
        call.record_send(monotonic_s())
        attempt.is_sent = True
        attempt.sent_at = call.sent_at
        self._core.meters.sends.labels(call.kind, str(call.sends)).inc()
        channel.send(
            encode_request(
                request.method, request.target, headers, request.body
            ),
            answer_matcher(self._core.vocabulary, call, channel),
            request.method == 'HEAD',
        )

    async def _read_response(
        self, call: Call, target: Target, channel: TargetChannel
    ) -> Response | NoResponse:
        response = await channel.read_response(call.remaining_s())
        match response:
            case Response():
                return response
            case ChannelBroken():
                log_broken_channel(self._core, call, target.lifetime, response)
                if response.is_unacknowledged:
                    self._core.pool.close_idle(target.address)
                    call.avoided.discard(target.lifetime)
                return NoResponse(
                    response.reason,
                    may_have_run=True,
                    is_broken=response.excess is None,
                )
            case ReadTimeout():
                return NoResponse('silent', may_have_run=True, is_silent=True)

    def _classify(
        self, call: Call, target: Target, result: Response | NoResponse
    ) -> Response | NoResponse:
        if isinstance(result, NoResponse):
            self._core.prober.probe((target.lifetime,))
            return result
        self._core.record_statements(call, target.lifetime, result.head)
        is_ok = result.head.status < HTTPStatus.MULTIPLE_CHOICES
        if is_ok and not self._core.is_success(result.head):
            return NoResponse(UNSEALED, may_have_run=True)
        if not self._core.is_refusal(result.head):
            return result
        call.record_refusal()
        reason = f'{result.head.status} at {target.identity}'
        return NoResponse(reason, may_have_run=False)


def _is_failed(result: Response | NoResponse) -> bool:
    return isinstance(result, NoResponse) or result.is_failure
