"""
Streams over chains of engines: one path after another until it is whole.

Only whole events are passed on, so that a stream can go on at another path
after the last of them. A stream whose engines fall silent has them asked at
once, and moves when one of them doesn't answer.
"""

import asyncio
from collections.abc import Sequence
from http import HTTPStatus

from mallowcrank.chains.paths import ChainPath
from mallowcrank.gateway.caller_channel import end_to_end_headers
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Call, Core, record_outcome
from mallowcrank.gateway.desired import EngineRule
from mallowcrank.gateway.detours import go_round
from mallowcrank.gateway.endings import TIMEOUT, Returning, give_up, pass_on
from mallowcrank.gateway.event_buffer import EventBuffer
from mallowcrank.gateway.outcomes import (
    CutOff,
    Failed,
    Outcome,
    Served,
    TimedOut,
    TurnedAway,
)
from mallowcrank.gateway.path_finder import PathFinder, path_text
from mallowcrank.gateway.ports import ForwardFields
from mallowcrank.gateway.target_channel import (
    BodyChunk,
    ChannelBroken,
    ConnectFailure,
    ReadTimeout,
    ResponseEnd,
    ResponseEvent,
    ResponseHead,
    TargetChannel,
    encode_request,
)
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.gateway.waiting import WaitingRoom

MILLISECONDS = 1000
TICK_S = 0.015  # between looks at a silent stream
FIRST_QUIET_S = 0.15  # before the first event; then engines are asked
QUIET_S = 0.06  # between events, of which there are 20 a second and more
MOVE_S = 0.9  # of silence, after which a stream moves without a culprit
MOST_REFUSED = 3  # paths that are tried where none has run
MOST_DETOURS = 3  # of one stream, round lost engines
MOST_TRIES = 4  # paths that are tried at all
NO_PATH = ChainPath((), 0, 0)
NO_BUDGET = 'the retry budget is spent'
PATIENCE = 0.8  # part of the latency objective that a path is waited for
BACKOFF_S = 0.1  # more after each refusal of a begun stream but the first
# Memory is short for seconds where engines are lost; those who come back
# sooner find none.
RETURNING = Returning(least_s=1, per_s=4)


class Streams:
    """
    Serves calls of routes whose services are model engines.
    """

    def __init__(self, core: Core, waiting: WaitingRoom) -> None:
        self._core = core
        self._waiting = waiting

    async def serve(self, call: Call, rule: EngineRule) -> None:
        """
        Serve one call.
        """
        finder = PathFinder(self._core, call, rule)
        await _Stream(self._core, self._waiting, call, finder).run()


class _Stream:
    """
    One call on its way.
    """

    def __init__(
        self,
        core: Core,
        waiting: WaitingRoom,
        call: Call,
        finder: PathFinder,
    ) -> None:
        self._core = core
        self._waiting = waiting
        self._call = call
        self._finder = finder
        self._pieces = EventBuffer()
        self._window = core.retry_windows.of(call.service.name)
        self._tries = 0
        self._detours = 0
        self._is_taken = False
        self._path = NO_PATH

    async def run(self) -> None:
        """
        Try paths until the answer is whole or given up.
        """
        self._window.count_request(monotonic_s())
        while True:
            path = await self._find_path()
            if isinstance(path, str):
                give_up(self._core, self._call, path, RETURNING)
                return
            self._path = path
            outcome = await self._try()
            if self._is_over(outcome):
                return
            await self._back_off()

    def _is_over(self, outcome: Outcome) -> bool:
        """
        End the call where no other path is to be tried.
        """
        match outcome:
            case Served():
                record_outcome(
                    self._core,
                    self._call,
                    'served',
                    events=self._pieces.event_count,
                    path=path_text(self._path),
                )
                return True
            case TimedOut():
                give_up(self._core, self._call, TIMEOUT, RETURNING)
                return True
            case Failed():
                reason = f'answered {outcome.head.status}'
            case TurnedAway() | CutOff():
                reason = outcome.reason
        self._log_try(reason)
        if self._may_go_on():
            return False
        if isinstance(outcome, Failed) and not self._call.response.has_begun:
            pass_on(self._core, self._call, outcome.head, outcome.body)
        else:
            give_up(self._core, self._call, reason, RETURNING)
        return True

    async def _find_path(self) -> ChainPath | str:
        """
        Choose a path, waiting for memory for a while.

        :returns: the path, or why there is none.
        """
        until = monotonic_s() + self._patience_s()
        while True:
            found = self._finder.choose()
            is_found = isinstance(found, ChainPath)
            if is_found and self._has_budget():
                return found
            left_s = until - monotonic_s()
            if left_s <= 0:
                return NO_BUDGET if is_found else found.value
            began = monotonic_s()
            await self._waiting.wait(self._call.priority, left_s)
            self._call.waited_s += monotonic_s() - began

    def _patience_s(self) -> float:
        """
        Return how long a path is worth waiting for.
        """
        call = self._call
        if call.response.has_begun:
            # What it has passed on is of use only with the rest.
            return call.remaining_s()
        patience_s = PATIENCE * call.route.target_s - call.age_s()
        return min(call.remaining_s(), max(0, patience_s))

    async def _try(self) -> Outcome:
        tokens = self._finder.tokens
        self._core.ledger.reserve(self._path.parts, tokens)
        try:
            return await self._send_and_relay()
        finally:
            self._core.ledger.release(self._path.parts, tokens)
            self._waiting.notify()

    async def _send_and_relay(self) -> Outcome:
        channel = await self._open(self._path)
        if isinstance(channel, TurnedAway):
            return channel
        try:
            return await self._relay(channel)
        finally:
            self._core.pool.release(channel)

    async def _open(self, path: ChainPath) -> TargetChannel | TurnedAway:
        first = self._core.fleet.find(path.parts[0].lifetime.identity)
        hops = self._finder.hops(path)
        if first is None or not hops:
            return TurnedAway('the fleet has changed')
        channel = await self._core.acquire_channel(first)
        if isinstance(channel, ConnectFailure):
            self._call.avoided.add(first.lifetime)
            return TurnedAway(f'unreached: {channel.reason}')
        sending = ForwardFields(
            target=first.identity,
            remaining_ms=max(1, int(self._call.remaining_s() * MILLISECONDS)),
            workspace=self._call.workspace,
            hops=hops,
            last_event=self._pieces.last_id,
        )
        self._send(sending, channel)
        return channel

    def _send(self, sending: ForwardFields, channel: TargetChannel) -> None:
        call = self._call
        request = call.request
        headers = self._core.vocabulary.target_headers(request.headers, sending)
        if self._tries:
            self._window.count_retry(monotonic_s())
        self._tries += 1
        call.sends += 1
        self._core.meters.sends.labels(call.kind, str(self._tries)).inc()
        channel.send(
            encode_request(
                request.method, request.target, headers, request.body
            ),
            matches=self._core.response_matcher(call),
        )

    async def _relay(self, channel: TargetChannel) -> Outcome:
        head: ResponseHead | None = None
        body: list[bytes] = []
        self._pieces.discard_remainder()
        self._is_taken = False
        while True:
            event = await self._next(channel)
            match event:
                case ResponseHead():
                    head = event
                case BodyChunk() if head and head.status == HTTPStatus.OK:
                    await self._pass_events(head, event.data)
                case BodyChunk():
                    body.append(event.data)
                case ResponseEnd() if head and head.status == HTTPStatus.OK:
                    if self._pieces.remainder:
                        return CutOff('the last event is cut')
                    self._finish(head)
                    return Served()
                case ResponseEnd() if head:
                    return self._judge(head, b''.join(body))
                case TimedOut() | CutOff():
                    channel.close()
                    return event
                case ChannelBroken():
                    return CutOff(event.reason)

    async def _next(
        self, channel: TargetChannel
    ) -> ResponseEvent | CutOff | TimedOut:
        """
        Return the next event, looking at the engines while there is none.
        """
        began = monotonic_s()
        while True:
            left_s = self._call.remaining_s()
            if left_s <= 0:
                return TimedOut()
            event = await channel.next_event(min(TICK_S, left_s))
            if not isinstance(event, ReadTimeout):
                return self._check(event)
            if await self._go_round(monotonic_s() - began):
                began = monotonic_s()
            moved = self._look(monotonic_s() - began)
            if moved:
                return moved

    def _check(self, event: ResponseEvent) -> ResponseEvent | CutOff:
        if isinstance(event, ResponseHead) and event.status == HTTPStatus.OK:
            if not self._core.is_success(event):
                return CutOff('an answer without a seal')
        return event

    async def _go_round(self, quiet_s: float) -> bool:
        """
        Take a begun stream round engines that are known to be lost.
        """
        lost = self._lost()
        if not lost or quiet_s < QUIET_S or not self._pieces.event_count:
            return False
        if self._detours >= MOST_DETOURS:
            return False
        self._detours += 1
        found = await go_round(
            self._core, self._call, self._finder, self._path, lost
        )
        if found is None:
            return False
        tokens = self._finder.tokens
        self._core.ledger.release(self._path.parts, tokens)
        self._core.ledger.reserve(found.parts, tokens)
        self._path = found
        return True

    def _lost(self) -> list[Lifetime]:
        known = self._core.fleet.seen.dead()
        return [each for each in self._path.lifetimes if each in known]

    def _look(self, quiet_s: float) -> CutOff | None:
        """
        Look at the engines of a silent stream.

        :returns: why it moves to another path, if it does.
        """
        allowed_s = QUIET_S if self._pieces.event_count else FIRST_QUIET_S
        if quiet_s < allowed_s:
            return None
        lifetimes = self._path.lifetimes
        seen = self._core.fleet.seen
        idle = seen.idle_since(lifetimes, monotonic_s() - allowed_s)
        self._core.prober.suspect(idle)
        dead = self._lost()
        if dead and self._can_move(()):
            names = ','.join(each.identity for each in dead)
            return CutOff(f'silent for {quiet_s:.3f} s at {names}')
        if quiet_s > MOVE_S and self._can_move(lifetimes):
            self._call.avoided.update(lifetimes)
            return CutOff(f'silent for {quiet_s:.3f} s')
        return None

    def _can_move(self, avoided: Sequence[Lifetime]) -> bool:
        if not self._may_go_on() or not self._has_budget():
            return False
        return isinstance(self._finder.choose(avoided), ChainPath)

    def _has_budget(self) -> bool:
        """
        Return whether a send stays within the retry budget of all gateways.
        """
        if not self._tries:
            return True
        return self._window.allows(monotonic_s(), self._core.peers.count())

    async def _back_off(self) -> None:
        """
        Leave engines time that refused a begun stream, and try them again.
        """
        refused = self._call.refusals
        if self._call.response.has_begun and refused:
            self._call.avoided.clear()
            pause_s = min(BACKOFF_S * (refused - 1), self._call.remaining_s())
            await asyncio.sleep(max(0, pause_s))

    def _may_go_on(self) -> bool:
        """
        Return whether the request may be sent once more.
        """
        call = self._call
        if not call.may_retry():
            return False
        if call.response.has_begun:
            return True
        is_tried = call.refusals > MOST_REFUSED or self._tries >= MOST_TRIES
        return not is_tried and self._has_budget()

    async def _pass_events(self, head: ResponseHead, raw: bytes) -> None:
        whole = self._pieces.feed(raw)
        if not whole:
            return
        lifetimes = self._path.lifetimes
        seen = self._core.fleet.seen
        seen.see_work(lifetimes, monotonic_s())
        if not self._is_taken:
            self._is_taken = True
            seen.see_taken(lifetimes)
        answer = self._call.response
        if not answer.has_begun:
            self._core.meters.first_event_s.labels('stream').observe(
                self._call.age_s()
            )
            answer.begin(head.status, end_to_end_headers(head.headers))
        answer.write(whole)
        await answer.drain()

    def _finish(self, head: ResponseHead) -> None:
        answer = self._call.response
        if not answer.has_begun:
            answer.begin(head.status, end_to_end_headers(head.headers))
        answer.finish()

    def _judge(self, head: ResponseHead, body: bytes) -> Outcome:
        """
        Tell a refusal from a failure.
        """
        if not self._core.is_refusal(head):
            return Failed(head, body)
        fields = self._core.vocabulary.response_fields(head.headers)
        self._call.sends -= 1
        self._call.refusals += 1
        culprit = (
            self._core.fleet.at(fields.fault_address)
            if fields.fault_address
            else None
        )
        lifetime = culprit.lifetime if culprit else self._path.parts[0].lifetime
        self._call.avoided.add(lifetime)
        self._core.fleet.seen.see_refusal(lifetime, monotonic_s())
        return TurnedAway(f'{head.status} at {lifetime.identity}')

    def _log_try(self, reason: str) -> None:
        self._core.journal.say(
            'request: path failed',
            request=self._call.fields.request_id,
            why=reason,
            path=path_text(self._path),
            sends=self._call.sends,
            refused=self._call.refusals,
            events=self._pieces.event_count,
            age_s=round(self._call.age_s(), 4),
        )
