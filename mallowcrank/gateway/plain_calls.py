"""
Forwards calls of plain services to a target, and retries where allowed.

A response is forwarded once it is complete. A call that may run only once is
sent over a new channel, since an idle one may be dead, or be closed by the
target just when the call is sent. A call that may be repeated is sent to another
target beside a silent one, and the first of them to answer serves it.
"""

import asyncio

from mallowcrank.chains.budget import SentRequest
from mallowcrank.chains.replicas import ReplicaRecords
from mallowcrank.gateway.call import Call
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.desired import Repeat
from mallowcrank.gateway.endings import (
    RetryAfter,
    end_denied,
    forward_answer,
    give_up,
    refuse_suspect,
)
from mallowcrank.gateway.outcomes import NoResponse
from mallowcrank.gateway.permits import Denial
from mallowcrank.gateway.plain_attempts import Attempt, AttemptSender
from mallowcrank.gateway.proxies import Proxy
from mallowcrank.gateway.target_channel import (
    Response,
)
from mallowcrank.gateway.target_choice import (
    ClaimedTarget,
    TargetChooser,
    send_wait_s,
)

CHECK_INTERVAL_S = 0.05  # until another target takes a call
MAX_REFUSALS = 3  # more end the call
RETRY_ADVICE = RetryAfter(min_s=0.2, rate_per_s=50)

Attempts = dict[asyncio.Task[Response | NoResponse], Attempt]


class PlainCalls:
    """
    Serves the calls of plain services.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        records = ReplicaRecords()
        self._chooser = TargetChooser(core, records)
        self._sender = AttemptSender(core, records)

    async def serve(self, call: Call) -> None:
        """
        Serve one call, trying targets until one responds or none is left.
        """
        self._core.count_request(call)
        suspects = self._core.suspects
        suspicion = await suspects.claim_trial(
            call.fields.request_id, call.traits(), send_wait_s(call)
        )
        if suspicion:
            refuse_suspect(self._core, call, suspicion)
            return
        try:
            await self._try_targets(call)
        finally:
            suspects.end_trial(call.fields.request_id)

    async def _try_targets(self, call: Call) -> None:
        attempts: Attempts = {}
        try:
            await self._try_until_answered(call, attempts)
        finally:
            for task in attempts:
                task.cancel()

    async def _try_until_answered(self, call: Call, attempts: Attempts) -> None:
        """
        Send a call until it is answered, or no attempt is left.

        :param attempts: those in progress.
        """
        result: Response | NoResponse = NoResponse(
            'no target is there', may_have_run=False
        )
        may_resend = True
        claimed = await self._claim_attempt(call)
        while isinstance(claimed, Attempt) or attempts:
            if isinstance(claimed, Attempt):
                task = asyncio.create_task(self._sender.attempt(call, claimed))
                attempts[task] = claimed
            ended = await self._next_ended(call, attempts, may_resend)
            if ended is None:
                claimed = await self._claim_attempt(call, is_beside=True)
                continue
            claimed = None
            attempt = attempts.pop(ended)
            result = ended.result()
            # A request that may crash targets isn't sent again at all.
            may_resend &= await self._record_result(call, attempt, result)
            may_retry = may_resend and self._may_retry(call)
            if isinstance(result, Response) and not may_retry:
                break
            if not attempts and may_retry:
                claimed = await self._claim_attempt(call)
        if isinstance(claimed, Denial) and not call.sends:
            end_denied(self._core, call, claimed, RETRY_ADVICE)
        else:
            self._finish(call, result)

    async def _next_ended(
        self, call: Call, attempts: Attempts, may_resend: bool
    ) -> asyncio.Task[Response | NoResponse] | None:
        """
        Wait until an attempt ends.

        :param may_resend: whether another target may be tried.
        :returns: none if the last one is silent, and another target is to be
            tried.
        """
        last = next(reversed(attempts.values()))
        is_repeatable = may_resend and call.route.repeat is Repeat.ANY
        pause_s = CHECK_INTERVAL_S if last.is_silent else last.patience_s
        while True:
            done, _ = await asyncio.wait(
                attempts,
                timeout=pause_s if is_repeatable else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                return done.pop()
            if self._may_send_beside(call, attempts):
                self._handle_silence(last)
                return None
            pause_s = CHECK_INTERVAL_S

    def _handle_silence(self, attempt: Attempt) -> None:
        """
        Probe a target that is silent; its idle channels may be dead.
        """
        if attempt.is_silent:
            return
        attempt.is_silent = True
        if isinstance(attempt.way, ClaimedTarget):
            target = attempt.way.target
            self._core.prober.probe((target.lifetime,))
            self._core.pool.close_idle(target.address)

    def _may_send_beside(self, call: Call, attempts: Attempts) -> bool:
        """
        Return whether a call may go to another target beside a silent one.

        An attempt that still waits for its channel may be sent, too.
        """
        unsent = sum(not each.is_sent for each in attempts.values())
        usage = self._core.retry_usage(call.service.name)
        if not self._may_retry(call, unsent) or not usage.has_room:
            return False
        is_stuck = self._chooser.are_all_unresponsive(call)
        has_proxy = self._core.proxies.find(call, is_stuck) is not None
        return has_proxy or self._chooser.has_ready(call)

    async def _claim_attempt(
        self, call: Call, is_beside: bool = False
    ) -> Attempt | Denial | None:
        """
        Choose where to send a call next, if the retry budget allows it.

        :param is_beside: whether another attempt is in progress, which may
            still wait for its channel.
        """
        retry: SentRequest | None = None
        if call.arrivals or is_beside:
            retry = self._core.claim_retry(call.service.name)
            if retry is None:
                return None
        way = await self._choose_way(call)
        if isinstance(way, ClaimedTarget | Proxy):
            return Attempt(way, retry)
        self._core.cancel_retry(call.service.name, retry)
        return way

    async def _choose_way(
        self, call: Call
    ) -> ClaimedTarget | Proxy | Denial | None:
        """
        Choose a target, or a gateway that reaches one where this one doesn't.
        """
        is_stuck = self._chooser.are_all_unresponsive(call)
        proxy = self._core.proxies.find(call, is_stuck)
        return proxy or await self._chooser.claim(call)

    async def _record_result(
        self,
        call: Call,
        attempt: Attempt,
        result: Response | NoResponse,
    ) -> bool:
        """
        Record what an attempt says of the request.

        :returns: whether the request may be sent again.
        """
        way = attempt.way
        if isinstance(result, Response):
            fields = self._core.vocabulary.response_fields(result.head.headers)
            if fields.is_genuine or isinstance(way, ClaimedTarget):
                self._core.suspects.record_answered(call.traits())
            return result.is_failure and isinstance(way, ClaimedTarget)
        if result.is_broken and isinstance(way, ClaimedTarget):
            lifetime = way.target.lifetime
            return await self._core.check_crash(call, lifetime, attempt.sent_at)
        return True

    def _may_retry(self, call: Call, unsent: int = 0) -> bool:
        return call.refusals <= MAX_REFUSALS and call.may_retry(unsent)

    def _finish(self, call: Call, result: Response | NoResponse) -> None:
        if isinstance(result, Response):
            self._core.meters.first_event_s.labels(call.kind).observe(
                call.age_s()
            )
            forward_answer(self._core, call, result.head, result.body)
        else:
            give_up(
                self._core, call, result.reason, RETRY_ADVICE, result.is_silent
            )
