"""
Calls of plain services: one target, or another where the call may repeat.

An answer is passed on when it is whole. A call that may run once only goes
over a channel of its own, since a kept one may have gone silent or be closed
just when the call is sent.
"""

from dataclasses import dataclass
from http import HTTPStatus

from mallowcrank.chains.replicas import ReplicaRecords
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Call, Core
from mallowcrank.gateway.desired import Repeat
from mallowcrank.gateway.endings import Returning, give_up, pass_on
from mallowcrank.gateway.ports import ForwardFields
from mallowcrank.gateway.target_channel import (
    ChannelBroken,
    ConnectFailure,
    ReadTimeout,
    Response,
    TargetChannel,
    encode_request,
)
from mallowcrank.gateway.targets import Target

MILLISECONDS = 1000
OTHER_S = 0.35  # of silence, after which a repeatable call goes elsewhere
MOST_TURNED_AWAY = 3  # targets that are asked where none ran the call
RETURNING = Returning(least_s=0.2, per_s=50)


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
        window = self._core.retry_windows.of(call.service.name)
        window.count_request(monotonic_s())
        ended: Response | Nothing = Nothing('no target is there', has_run=False)
        while True:
            target = self._pick(call)
            if target is None:
                break
            ended = await self._try(call, target)
            call.avoided.add(target.lifetime)
            if isinstance(ended, Response) and not ended.is_failure:
                break
            if not self._may_go_on(call):
                break
        self._end(call, ended)

    def _pick(self, call: Call) -> Target | None:
        fleet = self._core.fleet
        targets = fleet.serving(call.service.name)
        zone = self._core.settings.zone
        drawn = self._core.random.random()
        sound = {*call.avoided, *fleet.seen.dead()}
        return self._records.pick(
            targets, zone, sound, drawn
        ) or self._records.pick(targets, zone, call.avoided, drawn)

    def _may_go_on(self, call: Call) -> bool:
        if call.refusals > MOST_TURNED_AWAY or not call.may_retry():
            return False
        window = self._core.retry_windows.of(call.service.name)
        return window.allows(monotonic_s(), self._core.peers.count())

    async def _try(self, call: Call, target: Target) -> Response | Nothing:
        channel = await self._core.acquire_channel(
            target, may_reuse=call.route.repeat is not Repeat.ONCE
        )
        if isinstance(channel, ConnectFailure):
            call.refusals += 1
            return Nothing(f'unreached: {channel.reason}', has_run=False)
        self._records.began(target.lifetime)
        failed: bool | None = None
        try:
            self._send(call, target, channel)
            ended = await self._read(call, channel)
            failed = _is_bad(ended)
        finally:
            self._records.ended(target.lifetime, failed)
            self._core.pool.release(channel)
        return self._judge(call, target, ended)

    def _send(self, call: Call, target: Target, channel: TargetChannel) -> None:
        request = call.request
        headers = self._core.vocabulary.target_headers(
            request.headers,
            ForwardFields(
                target=target.identity,
                remaining_ms=max(1, int(call.remaining_s() * MILLISECONDS)),
                workspace=call.workspace,
            ),
        )
        if call.sends or call.refusals:
            window = self._core.retry_windows.of(call.service.name)
            window.count_retry(monotonic_s())
        call.sends += 1
        self._core.meters.sends.labels(call.kind, str(call.sends)).inc()
        channel.send(
            encode_request(
                request.method, request.target, headers, request.body
            ),
            self._core.response_matcher(call),
            request.method == 'HEAD',
        )

    async def _read(
        self, call: Call, channel: TargetChannel
    ) -> Response | Nothing:
        until = call.deadline_at
        if call.route.repeat is Repeat.ANY and self._has_other(call):
            until = min(until, monotonic_s() + OTHER_S)
        answer = await channel.read_response(until - monotonic_s())
        match answer:
            case Response():
                return answer
            case ChannelBroken():
                return Nothing(answer.reason, has_run=True)
            case ReadTimeout():
                return Nothing('silent', has_run=True)

    def _has_other(self, call: Call) -> bool:
        return (
            call.sends < call.route.most_sends
            and len(self._core.fleet.serving(call.service.name)) > 1
        )

    def _judge(
        self, call: Call, target: Target, ended: Response | Nothing
    ) -> Response | Nothing:
        if isinstance(ended, Nothing):
            self._core.prober.suspect((target.lifetime,))
            return ended
        is_ok = ended.head.status < HTTPStatus.MULTIPLE_CHOICES
        if is_ok and not self._core.is_success(ended.head):
            return Nothing('an answer without a seal', has_run=True)
        if not self._core.is_refusal(ended.head):
            return ended
        call.sends -= 1
        call.refusals += 1
        reason = f'{ended.head.status} at {target.identity}'
        return Nothing(reason, has_run=False)

    def _end(self, call: Call, ended: Response | Nothing) -> None:
        if isinstance(ended, Response):
            self._core.meters.first_event_s.labels(call.kind).observe(
                call.age_s()
            )
            pass_on(self._core, call, ended.head, ended.body)
        else:
            give_up(self._core, call, ended.reason, RETURNING)


def _is_bad(ended: Response | Nothing) -> bool:
    return isinstance(ended, Nothing) or ended.is_failure
