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
from mallowcrank.gateway.caller_channel import without_channel_headers
from mallowcrank.gateway.core import Call, Core, conclude
from mallowcrank.gateway.desired import EngineRule
from mallowcrank.gateway.detours import detour_stream
from mallowcrank.gateway.endings import (
    TIMEOUT,
    RetryAfter,
    forward_answer,
    give_up,
)
from mallowcrank.gateway.event_pieces import EventPieces
from mallowcrank.gateway.outcomes import (
    Failed,
    Interrupted,
    Outcome,
    Rejected,
    Served,
    TimedOut,
)
from mallowcrank.gateway.path_finder import PathFinder, format_path
from mallowcrank.gateway.ports import Sending
from mallowcrank.gateway.steady import steady
from mallowcrank.gateway.target_channel import (
    Broken,
    End,
    Event,
    Head,
    Piece,
    Silent,
    TargetChannel,
    Unreached,
    request_bytes,
)
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.gateway.waiting import WaitQueue

MILLISECONDS = 1000
TICK_S = 0.015  # between looks at a silent stream
FIRST_QUIET_S = 0.15  # before the first event; then engines are asked
QUIET_S = 0.06  # between events, of which there are 20 a second and more
MOVE_S = 0.9  # of silence, after which a stream moves without a culprit
MOST_REFUSED = 3  # paths that are tried where none has run
MOST_DETOURS = 3  # of one stream, round lost engines
MAX_TRIES = 4  # paths that are tried at all
NO_PATH = ChainPath((), 0, 0)
NO_BUDGET = 'the retry budget is spent'
PATIENCE = 0.8  # part of the latency objective that a path is waited for
BACKOFF_S = 0.1  # more after each refusal of a begun stream but the first
# Memory is short for seconds where engines are lost; those who come back
# sooner find none.
RETURNING = RetryAfter(min_s=1, rate_per_s=4)


class Streams:
    """
    Serves calls of routes whose services are model engines.
    """

    def __init__(self, core: Core, waiting: WaitQueue) -> None:
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
        waiting: WaitQueue,
        call: Call,
        finder: PathFinder,
    ) -> None:
        self._core = core
        self._waiting = waiting
        self._call = call
        self._finder = finder
        self._pieces = EventPieces()
        self._window = core.windows.of(call.service.name)
        self._tries = 0
        self._detours = 0
        self._is_taken = False
        self._path = NO_PATH

    async def run(self) -> None:
        """
        Try paths until the answer is whole or given up.
        """
        self._window.count_request(steady())
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
                conclude(
                    self._core,
                    self._call,
                    'served',
                    events=self._pieces.events,
                    path=format_path(self._path),
                )
                return True
            case TimedOut():
                give_up(self._core, self._call, TIMEOUT, RETURNING)
                return True
            case Failed():
                reason = f'answered {outcome.head.status}'
            case Rejected() | Interrupted():
                reason = outcome.reason
        self._log_try(reason)
        if self._may_go_on():
            return False
        if isinstance(outcome, Failed) and not self._call.answer.has_begun:
            forward_answer(self._core, self._call, outcome.head, outcome.body)
        else:
            give_up(self._core, self._call, reason, RETURNING)
        return True

    async def _find_path(self) -> ChainPath | str:
        """
        Choose a path, waiting for memory for a while.

        :returns: the path, or why there is none.
        """
        until = steady() + self._patience_s()
        while True:
            found = self._finder.choose()
            is_found = isinstance(found, ChainPath)
            if is_found and self._has_budget():
                return found
            left_s = until - steady()
            if left_s <= 0:
                return NO_BUDGET if is_found else found.value
            began = steady()
            await self._waiting.wait(self._call.priority, left_s)
            self._call.waited_s += steady() - began

    def _patience_s(self) -> float:
        """
        Return how long a path is worth waiting for.
        """
        call = self._call
        if call.answer.has_begun:
            # What it has passed on is of use only with the rest.
            return call.left_s()
        patience_s = PATIENCE * call.route.latency_objective_s - call.age_s()
        return min(call.left_s(), max(0, patience_s))

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
        if isinstance(channel, Rejected):
            return channel
        try:
            return await self._relay(channel)
        finally:
            self._core.pool.give_back(channel)

    async def _open(self, path: ChainPath) -> TargetChannel | Rejected:
        first = self._core.fleet.find(path.parts[0].lifetime.identity)
        hops = self._finder.hops(path)
        if first is None or not hops:
            return Rejected('the fleet has changed')
        channel = await self._core.channel_to(first)
        if isinstance(channel, Unreached):
            self._call.avoided.add(first.lifetime)
            return Rejected(f'unreached: {channel.reason}')
        sending = Sending(
            target=first.identity,
            remaining_ms=max(1, int(self._call.left_s() * MILLISECONDS)),
            workspace=self._call.workspace,
            hops=hops,
            last_event=self._pieces.last_id,
        )
        self._send(sending, channel)
        return channel

    def _send(self, sending: Sending, channel: TargetChannel) -> None:
        call = self._call
        request = call.request
        headers = self._core.vocabulary.target_headers(request.headers, sending)
        if self._tries:
            self._window.count_retry(steady())
        self._tries += 1
        call.sends += 1
        self._core.meters.sends.labels(call.kind, str(self._tries)).inc()
        channel.send(
            request_bytes(
                request.method, request.target, headers, request.body
            ),
            is_mine=self._core.answers(call),
        )

    async def _relay(self, channel: TargetChannel) -> Outcome:
        head: Head | None = None
        body: list[bytes] = []
        self._pieces.drop_rest()
        self._is_taken = False
        while True:
            event = await self._next(channel)
            match event:
                case Head():
                    head = event
                case Piece() if head and head.status == HTTPStatus.OK:
                    await self._pass_events(head, event.raw)
                case Piece():
                    body.append(event.raw)
                case End() if head and head.status == HTTPStatus.OK:
                    if self._pieces.rest:
                        return Interrupted('the last event is cut')
                    self._finish(head)
                    return Served()
                case End() if head:
                    return self._judge(head, b''.join(body))
                case TimedOut() | Interrupted():
                    channel.close()
                    return event
                case Broken():
                    return Interrupted(event.reason)

    async def _next(
        self, channel: TargetChannel
    ) -> Event | Interrupted | TimedOut:
        """
        Return the next event, looking at the engines while there is none.
        """
        began = steady()
        while True:
            left_s = self._call.left_s()
            if left_s <= 0:
                return TimedOut()
            event = await channel.next_event(min(TICK_S, left_s))
            if not isinstance(event, Silent):
                return self._check(event)
            if await self._go_round(steady() - began):
                began = steady()
            moved = self._look(steady() - began)
            if moved:
                return moved

    def _check(self, event: Event) -> Event | Interrupted:
        if isinstance(event, Head) and event.status == HTTPStatus.OK:
            if not self._core.is_success(event):
                return Interrupted('an answer without a seal')
        return event

    async def _go_round(self, quiet_s: float) -> bool:
        """
        Take a begun stream round engines that are known to be lost.
        """
        lost = self._lost()
        if not lost or quiet_s < QUIET_S or not self._pieces.events:
            return False
        if self._detours >= MOST_DETOURS:
            return False
        self._detours += 1
        found = await detour_stream(
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
        known = self._core.fleet.health.unresponsive()
        return [each for each in self._path.lifetimes if each in known]

    def _look(self, quiet_s: float) -> Interrupted | None:
        """
        Look at the engines of a silent stream.

        :returns: why it moves to another path, if it does.
        """
        allowed_s = QUIET_S if self._pieces.events else FIRST_QUIET_S
        if quiet_s < allowed_s:
            return None
        lifetimes = self._path.lifetimes
        seen = self._core.fleet.health
        idle = seen.idle_since(lifetimes, steady() - allowed_s)
        self._core.prober.probe(idle)
        dead = self._lost()
        if dead and self._can_move(()):
            names = ','.join(each.identity for each in dead)
            return Interrupted(f'silent for {quiet_s:.3f} s at {names}')
        if quiet_s > MOVE_S and self._can_move(lifetimes):
            self._call.avoided.update(lifetimes)
            return Interrupted(f'silent for {quiet_s:.3f} s')
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
        return self._window.allows(steady(), self._core.peers.count())

    async def _back_off(self) -> None:
        """
        Leave engines time that refused a begun stream, and try them again.
        """
        refused = self._call.refused
        if self._call.answer.has_begun and refused:
            self._call.avoided.clear()
            pause_s = min(BACKOFF_S * (refused - 1), self._call.left_s())
            await asyncio.sleep(max(0, pause_s))

    def _may_go_on(self) -> bool:
        """
        Return whether the request may be sent once more.
        """
        call = self._call
        if not call.may_run_again():
            return False
        if call.answer.has_begun:
            return True
        is_tried = call.refused > MOST_REFUSED or self._tries >= MAX_TRIES
        return not is_tried and self._has_budget()

    async def _pass_events(self, head: Head, raw: bytes) -> None:
        whole = self._pieces.feed(raw)
        if not whole:
            return
        lifetimes = self._path.lifetimes
        seen = self._core.fleet.health
        seen.record_progress(lifetimes, steady())
        if not self._is_taken:
            self._is_taken = True
            seen.record_acceptance(lifetimes)
        answer = self._call.answer
        if not answer.has_begun:
            self._core.meters.first.labels('stream').observe(self._call.age_s())
            answer.begin(head.status, without_channel_headers(head.headers))
        answer.write(whole)
        await answer.drain()

    def _finish(self, head: Head) -> None:
        answer = self._call.answer
        if not answer.has_begun:
            answer.begin(head.status, without_channel_headers(head.headers))
        answer.finish()

    def _judge(self, head: Head, body: bytes) -> Outcome:
        """
        Tell a refusal from a failure.
        """
        if not self._core.is_refusal(head):
            return Failed(head, body)
        fields = self._core.vocabulary.answer_fields(head.headers)
        self._call.sends -= 1
        self._call.refused += 1
        culprit = (
            self._core.fleet.find_by_address(fields.at) if fields.at else None
        )
        lifetime = culprit.lifetime if culprit else self._path.parts[0].lifetime
        self._call.avoided.add(lifetime)
        self._core.fleet.health.record_refusal(lifetime, steady())
        return Rejected(f'{head.status} at {lifetime.identity}')

    def _log_try(self, reason: str) -> None:
        self._core.journal.say(
            'request: path failed',
            request=self._call.fields.request,
            why=reason,
            path=format_path(self._path),
            sends=self._call.sends,
            refused=self._call.refused,
            events=self._pieces.events,
            age_s=round(self._call.age_s(), 4),
        )
