"""
Calls of plain services: one target, or another where the call may repeat.

An answer is passed on when it is whole. A call that may run once only goes
over a channel of its own, since a kept one may have gone silent or be closed
just when the call is sent.
"""

from dataclasses import dataclass
from http import HTTPStatus

from mallowcrank.chains.replicas import ReplicaRecords
from mallowcrank.gateway.core import Call, Core
from mallowcrank.gateway.desired import Repeat
from mallowcrank.gateway.endings import RetryAfter, forward_answer, give_up
from mallowcrank.gateway.ports import Sending
from mallowcrank.gateway.steady import steady
from mallowcrank.gateway.target_channel import (
    Broken,
    Silent,
    TargetChannel,
    Unreached,
    Whole,
    request_bytes,
)
from mallowcrank.gateway.targets import Target

MILLISECONDS = 1000
OTHER_S = 0.35  # of silence, after which a repeatable call goes elsewhere
MOST_TURNED_AWAY = 3  # targets that are asked where none ran the call
RETURNING = RetryAfter(min_s=0.2, rate_per_s=50)


@dataclass(frozen=True, slots=True)
class Nothing:
    """
    No whole answer.

    :param has_run: false where the target surely did not run the call.
    """

    reason: str
    has_run: bool


class PlainCalls:
    """
    Serves calls of plain services.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self._records = ReplicaRecords()

    async def serve(self, call: Call) -> None:
        """
        Serve one call.
        """
        window = self._core.windows.for_service(call.service.name)
        window.count_request(steady())
        ended: Whole | Nothing = Nothing('no target is there', has_run=False)
        while True:
            target = self._pick(call)
            if target is None:
                break
            ended = await self._try(call, target)
            call.avoided.add(target.lifetime)
            if isinstance(ended, Whole) and not ended.is_failure:
                break
            if not self._may_go_on(call):
                break
        self._end(call, ended)

    def _pick(self, call: Call) -> Target | None:
        fleet = self._core.fleet
        targets = fleet.accepting_targets(call.service.name)
        zone = self._core.settings.zone
        drawn = self._core.random.random()
        sound = {*call.avoided, *fleet.health.unresponsive()}
        return self._records.pick(
            targets, zone, sound, drawn
        ) or self._records.pick(targets, zone, call.avoided, drawn)

    def _may_go_on(self, call: Call) -> bool:
        if call.refused > MOST_TURNED_AWAY or not call.may_run_again():
            return False
        window = self._core.windows.for_service(call.service.name)
        return window.allows_retry(steady(), self._core.peers.count())

    async def _try(self, call: Call, target: Target) -> Whole | Nothing:
        channel = await self._core.channel_to(
            target, may_be_kept=call.route.repeat is not Repeat.ONCE
        )
        if isinstance(channel, Unreached):
            call.refused += 1
            return Nothing(f'unreached: {channel.reason}', has_run=False)
        self._records.record_start(target.lifetime)
        failed: bool | None = None
        try:
            self._send(call, target, channel)
            ended = await self._read(call, channel)
            failed = _is_bad(ended)
        finally:
            self._records.record_end(target.lifetime, failed)
            self._core.pool.give_back(channel)
        return self._judge(call, target, ended)

    def _send(self, call: Call, target: Target, channel: TargetChannel) -> None:
        request = call.request
        headers = self._core.vocabulary.target_headers(
            request.headers,
            Sending(
                target=target.identity,
                remaining_ms=max(1, int(call.left_s() * MILLISECONDS)),
                workspace=call.workspace,
            ),
        )
        if call.sends or call.refused:
            window = self._core.windows.for_service(call.service.name)
            window.count_retry(steady())
        call.sends += 1
        self._core.meters.sends.labels(call.kind, str(call.sends)).inc()
        channel.send(
            request_bytes(
                request.method, request.target, headers, request.body
            ),
            self._core.answers(call),
            request.method == 'HEAD',
        )

    async def _read(
        self, call: Call, channel: TargetChannel
    ) -> Whole | Nothing:
        until = call.until
        if call.route.repeat is Repeat.ANY and self._has_other(call):
            until = min(until, steady() + OTHER_S)
        answer = await channel.read_whole(until - steady())
        match answer:
            case Whole():
                return answer
            case Broken():
                return Nothing(answer.reason, has_run=True)
            case Silent():
                return Nothing('silent', has_run=True)

    def _has_other(self, call: Call) -> bool:
        return (
            call.sends < call.route.max_sends
            and len(self._core.fleet.accepting_targets(call.service.name)) > 1
        )

    def _judge(
        self, call: Call, target: Target, ended: Whole | Nothing
    ) -> Whole | Nothing:
        if isinstance(ended, Nothing):
            self._core.prober.probe((target.lifetime,))
            return ended
        is_ok = ended.head.status < HTTPStatus.MULTIPLE_CHOICES
        if is_ok and not self._core.is_success(ended.head):
            return Nothing('an answer without a seal', has_run=True)
        if not self._core.is_refusal(ended.head):
            return ended
        call.sends -= 1
        call.refused += 1
        reason = f'{ended.head.status} at {target.identity}'
        return Nothing(reason, has_run=False)

    def _end(self, call: Call, ended: Whole | Nothing) -> None:
        if isinstance(ended, Whole):
            self._core.meters.first.labels(call.kind).observe(call.age_s())
            forward_answer(self._core, call, ended.head, ended.body)
        else:
            give_up(self._core, call, ended.reason, RETURNING)


def _is_bad(ended: Whole | Nothing) -> bool:
    return isinstance(ended, Nothing) or ended.is_failure
