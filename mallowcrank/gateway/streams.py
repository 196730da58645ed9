"""
Streams over chains of engines: one path after another until it is whole.

Only whole events are passed on, so that a stream can go on at another path
after the last of them. A stream whose engines fall silent has them asked at
once, and moves when one of them doesn't answer.
"""

from dataclasses import dataclass
from http import HTTPStatus

from mallowcrank.chains.engines import ChainEngine, Need, request_room
from mallowcrank.chains.paths import (
    ChainPath,
    Choosing,
    NoPath,
    Part,
    choose_path,
)
from mallowcrank.gateway.caller_channel import without_channel_headers
from mallowcrank.gateway.core import Call, Core, conclude, refuse
from mallowcrank.gateway.desired import EngineRule, Repeat
from mallowcrank.gateway.event_pieces import EventPieces
from mallowcrank.gateway.ports import Hop, Sending
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
from mallowcrank.gateway.targets import Lifetime, Target
from mallowcrank.gateway.waiting import WaitingRoom

MILLISECONDS = 1000
GUESS_FACTOR = 1.3  # callers' estimates are right at the median only
TICK_S = 0.05  # between looks at a silent stream
FIRST_QUIET_S = 0.3  # before the first event; then engines are asked
QUIET_S = 0.1  # between events
MOVE_S = 0.9  # of silence, after which a stream moves without a culprit
MOST_REFUSED = 3  # paths that are tried where none has run
CONNECT_TRIES = 3


@dataclass(frozen=True, slots=True)
class Served:
    """
    The answer is complete.
    """


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """
    The path took the request not in, and vouches for that.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class CutOff:
    """
    The path may have run the request, and gives nothing more.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Failed:
    """
    The target answered with a failure of its own.
    """

    head: Head
    body: bytes


@dataclass(frozen=True, slots=True)
class TimedOut:
    """
    The time for the final answer has come.
    """


Outcome = Served | TurnedAway | CutOff | Failed | TimedOut


class Streams:
    """
    Serves calls of routes whose services are model engines.
    """

    def __init__(self, core: Core, waiting: WaitingRoom) -> None:
        self._core = core
        self._waiting = waiting

    async def serve(self, call: Call) -> None:
        """
        Serve one call.
        """
        assert call.service.engine
        await _Stream(self._core, self._waiting, call).run()


class _Stream:
    """
    One call on its way.
    """

    def __init__(self, core: Core, waiting: WaitingRoom, call: Call) -> None:
        assert call.service.engine
        self._core = core
        self._waiting = waiting
        self._call = call
        self._rule: EngineRule = call.service.engine
        self._need = _need(call, self._rule)
        self._pieces = EventPieces()
        self._window = core.windows.of(call.service.name)
        self._gap_s = 0.0
        self._is_untaken = True
        self._tried = 0

    async def run(self) -> None:
        """
        Try paths until the answer is whole or given up.
        """
        self._window.count_request(steady())
        while True:
            path = await self._find_path()
            if isinstance(path, str):
                self._give_up(path)
                return
            outcome = await self._try(path)
            match outcome:
                case Served():
                    conclude(
                        self._core,
                        self._call,
                        'served',
                        events=self._pieces.events,
                        path=_path_text(path),
                    )
                    return
                case TimedOut():
                    self._give_up('timeout')
                    return
                case Failed():
                    if not self._may_go_on():
                        self._pass_on(outcome)
                        return
                    reason = f'answered {outcome.head.status}'
                case TurnedAway() | CutOff():
                    reason = outcome.reason
            self._log_try(path, reason)
            if not self._may_go_on():
                self._give_up(reason)
                return

    async def _find_path(self) -> ChainPath | str:
        """
        Choose a path, waiting for memory for a while.

        :returns: the path, or why there is none.
        """
        found = self._choose()
        if isinstance(found, ChainPath):
            return found
        patience_s = self._patience_s()
        until = steady() + patience_s
        while True:
            left_s = until - steady()
            if left_s <= 0:
                return found.value
            await self._waiting.wait(self._call.priority, left_s)
            found = self._choose()
            if isinstance(found, ChainPath):
                return found

    def _patience_s(self) -> float:
        """
        Return how long a path is worth waiting for.
        """
        left_s = self._call.left_s()
        if self._call.answer.has_begun:
            return min(left_s, self._call.route.gap_s * 4)
        target_s = self._call.route.target_s
        return min(left_s, max(0, 0.8 * target_s - self._call.age_s()))

    def _choose(self) -> ChainPath | NoPath:
        now = steady()
        fleet = self._core.fleet
        engines = [
            engine
            for engine in (
                self._engine(target, now)
                for target in fleet.serving(self._call.service.name)
            )
            if engine
        ]
        avoided = {
            *fleet.seen.dead(),
            *self._call.avoided,
            *fleet.seen.resting(now),
        }
        choosing = Choosing(self._rule, self._need, self._core.settings.zone)
        return choose_path(choosing, engines, avoided)

    def _engine(self, target: Target, now: float) -> ChainEngine | None:
        kind = self._rule.kinds.get(target.kind)
        if kind is None or target.layers is None:
            return None
        size = request_room(self._rule, kind, target.layers.count)
        ledger = self._core.ledger
        used = ledger.reserved(target.lifetime, now)
        return ChainEngine(
            lifetime=target.lifetime,
            zone=target.zone,
            held=target.layers,
            kind=kind,
            pace=self._core.fleet.seen.pace(target.lifetime, now),
            room=size - used,
            size=size,
            takes_firsts=ledger.firsts(target.lifetime) < target.slots,
        )

    async def _try(self, path: ChainPath) -> Outcome:
        tokens = self._need.tokens
        self._core.ledger.reserve(path.parts, tokens)
        channel = None
        try:
            channel = await self._open(path)
            if isinstance(channel, TurnedAway):
                return channel
            return await self._relay(path, channel)
        finally:
            self._core.ledger.release(path.parts, tokens)
            self._waiting.notify()
            if isinstance(channel, TargetChannel):
                self._core.pool.give_back(channel)

    async def _open(self, path: ChainPath) -> TargetChannel | TurnedAway:
        first = self._core.fleet.find(path.parts[0].lifetime.identity)
        hops = self._hops(path)
        if first is None or hops is None:
            return TurnedAway('the fleet has changed')
        channel = self._core.pool.take_kept(first.address)
        opened = channel or await self._core.pool.connect(first.address)
        if isinstance(opened, Unreached):
            self._core.meters.channels.labels('failed').inc()
            self._core.prober.unreached(first.lifetime, opened)
            self._call.avoided.add(first.lifetime)
            return TurnedAway(f'unreached: {opened.reason}')
        if channel is None:
            self._core.meters.channels.labels('opened').inc()
        self._send(path, hops, opened)
        return opened

    def _send(
        self,
        path: ChainPath,
        hops: tuple[Hop, ...],
        channel: TargetChannel,
    ) -> None:
        call = self._call
        headers = self._core.vocabulary.target_headers(
            call.request.headers,
            Sending(
                target=path.parts[0].lifetime.identity,
                remaining_ms=max(1, int(call.left_s() * MILLISECONDS)),
                workspace=call.workspace,
                hops=hops,
                last_event=self._pieces.last_id,
            ),
        )
        request = call.request
        channel.send(
            request_bytes(
                request.method, request.target, headers, request.body
            ),
            is_mine=self._core.answers(call),
        )
        if self._tried:
            self._window.count_retry(steady())
        self._tried += 1
        call.sends += 1
        self._core.meters.sends.labels(call.kind, str(self._tried)).inc()

    def _hops(self, path: ChainPath) -> tuple[Hop, ...] | None:
        hops = []
        for part in path.parts:
            target = self._core.fleet.find(part.lifetime.identity)
            if target is None or target.lifetime != part.lifetime:
                return None
            hops.append(Hop(target.address, part.first, part.end))
        return tuple(hops)

    async def _relay(self, path: ChainPath, channel: TargetChannel) -> Outcome:
        head: Head | None = None
        body: list[bytes] = []
        self._pieces.drop_rest()
        self._is_untaken = True
        while True:
            event = await self._next(path, channel)
            match event:
                case Head():
                    head = event
                case Piece() if head and head.status == HTTPStatus.OK:
                    await self._pass_events(path, head, event.raw)
                case Piece():
                    body.append(event.raw)
                case End():
                    assert head
                    if head.status != HTTPStatus.OK:
                        return self._judge(path, head, b''.join(body))
                    self._finish(head)
                    return Served()
                case Broken():
                    return CutOff(event.reason)
                case TimedOut():
                    channel.close()
                    return event
                case CutOff():
                    channel.close()
                    return event

    async def _next(
        self, path: ChainPath, channel: TargetChannel
    ) -> Event | CutOff | TimedOut:
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
                return event
            quiet_s = steady() - began
            moved = self._look(path, quiet_s)
            if moved:
                return moved

    def _look(self, path: ChainPath, quiet_s: float) -> CutOff | None:
        """
        Look at the engines of a silent stream.

        :returns: why it moves to another path, if it does.
        """
        allowed_s = QUIET_S if self._pieces.events else FIRST_QUIET_S
        if quiet_s < max(allowed_s, 5 * self._gap_s):
            return None
        lifetimes = [part.lifetime for part in path.parts]
        self._core.prober.suspect(lifetimes)
        dead = [
            each for each in lifetimes if each in self._core.fleet.seen.dead()
        ]
        if dead and self._can_move(()):
            names = ','.join(each.identity for each in dead)
            return CutOff(f'silent for {quiet_s:.3f} s at {names}')
        if quiet_s > MOVE_S and self._can_move(lifetimes):
            self._call.avoided.update(lifetimes)
            return CutOff(f'silent for {quiet_s:.3f} s')
        return None

    def _can_move(self, avoided: list[Lifetime] | tuple[()]) -> bool:
        if not self._may_go_on():
            return False
        before = set(self._call.avoided)
        self._call.avoided.update(avoided)
        found = self._choose()
        self._call.avoided = before
        return isinstance(found, ChainPath)

    def _may_go_on(self) -> bool:
        """
        Return whether the request may be sent once more.
        """
        call = self._call
        if call.left_s() <= 0 or call.answer.has_ended:
            return False
        if call.refused > MOST_REFUSED or self._tried > CONNECT_TRIES:
            return False
        if call.sends and call.route.repeat is Repeat.ONCE:
            return False
        if call.sends >= call.route.most_sends:
            return False
        return self._window.allows(steady(), self._core.peers.count())

    async def _pass_events(
        self, path: ChainPath, head: Head, raw: bytes
    ) -> None:
        whole = self._pieces.feed(raw)
        if not whole:
            return
        if self._is_untaken:
            self._is_untaken = False
            self._core.fleet.seen.see_taken(
                part.lifetime for part in path.parts
            )
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
        answer.write(self._pieces.rest)
        answer.finish()

    def _judge(self, path: ChainPath, head: Head, body: bytes) -> Outcome:
        """
        Tell a refusal from a failure.
        """
        fields = self._core.vocabulary.answer_fields(head.headers)
        misdirected = head.status == HTTPStatus.MISDIRECTED_REQUEST
        if not (fields.did_not_run or misdirected):
            return Failed(head, body)
        self._call.sends -= 1
        self._call.refused += 1
        culprit = self._core.fleet.at(fields.at) if fields.at else None
        lifetime = culprit.lifetime if culprit else path.parts[0].lifetime
        self._call.avoided.add(lifetime)
        self._core.fleet.seen.see_refusal(lifetime, steady())
        return TurnedAway(f'{head.status} at {lifetime.identity}')

    def _pass_on(self, failed: Failed) -> None:
        answer = self._call.answer
        if answer.has_begun:
            self._give_up(f'answered {failed.head.status}')
            return
        answer.send(
            failed.head.status,
            without_channel_headers(failed.head.headers),
            failed.body,
        )
        conclude(self._core, self._call, 'failed', status=failed.head.status)

    def _give_up(self, reason: str) -> None:
        call = self._call
        if call.answer.has_begun:
            call.answer.cut()
            conclude(
                self._core, call, 'cut', why=reason, last=self._pieces.last_id
            )
        elif call.sends:
            timed_out = reason == 'timeout'
            status = (
                HTTPStatus.GATEWAY_TIMEOUT
                if timed_out
                else HTTPStatus.BAD_GATEWAY
            )
            refuse(call.answer, status, reason)
            conclude(self._core, call, 'failed', why=reason, status=status)
        else:
            self._refuse(reason)

    def _refuse(self, reason: str) -> None:
        call = self._call
        return_s = self._core.returns.give(
            steady(), RETURN_LEAST_S, RETURNS_PER_S
        )
        self._core.meters.refusals.labels(reason.split(':')[0][:40]).inc()
        refuse(call.answer, HTTPStatus.SERVICE_UNAVAILABLE, reason, return_s)
        conclude(self._core, call, 'refused', why=reason, return_s=return_s)

    def _log_try(self, path: ChainPath, reason: str) -> None:
        self._core.journal.say(
            'request: path failed',
            request=self._call.fields.request,
            why=reason,
            path=_path_text(path),
            sends=self._call.sends,
            refused=self._call.refused,
            events=self._pieces.events,
            age_s=round(self._call.age_s(), 4),
        )


RETURN_LEAST_S = 0.3  # a request's usual time; then memory is free again
RETURNS_PER_S = 20


def _need(call: Call, rule: EngineRule) -> Need:
    fields = call.fields
    prompt = fields.prompt_tokens or rule.usual_prompt
    most = fields.output_tokens or rule.usual_answer
    guess = fields.output_guess or rule.usual_answer
    return Need(prompt, min(most, guess * GUESS_FACTOR))


def _path_text(path: ChainPath) -> str:
    return ','.join(_part_text(part) for part in path.parts)


def _part_text(part: Part) -> str:
    return f'{part.lifetime.identity}:{part.first}-{part.end}'
