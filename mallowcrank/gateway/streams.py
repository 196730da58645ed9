"""
Streams over chains of engines, which try paths until the answer is complete.

Only complete events are forwarded, so that a stream can resume on another path
after the last of them. The engines of a silent stream are probed at once, and
the stream moves if one of them doesn't answer. Its silent run is kept until
another one has answered, and goes on where the other one fails.
"""

import asyncio

from mallowcrank.chains.budget import SentRequest
from mallowcrank.chains.paths import ChainPath, NoPath
from mallowcrank.gateway.call import Call, answer_matcher
from mallowcrank.gateway.call_log import log_broken_channel, record_outcome
from mallowcrank.gateway.caller_channel import end_to_end_headers
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.desired import EngineRule, Repeat
from mallowcrank.gateway.detours import detour_stream
from mallowcrank.gateway.endings import (
    TIMEOUT,
    RetryAfter,
    end_denied,
    forward_answer,
    give_up,
    refuse_suspect,
)
from mallowcrank.gateway.event_buffer import EventBuffer
from mallowcrank.gateway.outcomes import (
    Failed,
    Interrupted,
    Outcome,
    Overtaken,
    Rejected,
    Served,
    TimedOut,
)
from mallowcrank.gateway.path_finder import PathFinder, format_path
from mallowcrank.gateway.permits import Denial, Permit
from mallowcrank.gateway.ports import ForwardFields
from mallowcrank.gateway.proxies import (
    Proxy,
    is_proxy_failure,
    is_proxy_refusal,
)
from mallowcrank.gateway.service_streams import ServiceStreams, StreamServices
from mallowcrank.gateway.stream_run import StreamRun, begins_stream
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
from mallowcrank.gateway.waiting import WaitQueue

MILLISECONDS = 1000
CHECK_INTERVAL_S = 0.015
FIRST_EVENT_SILENCE_S = 0.15  # before engines are probed
MAX_SILENCE_S = 0.9  # then a stream moves, even if all engines answer
# Of a run that was silent; a single one may be the last before a crash.
EVENTS_TO_GO_ON = 3
SURVIVAL_S = 0.25  # from the first event on
MAX_PROXY_SILENCE_S = 3.0  # of a live proxy, which moves streams itself
MAX_REFUSALS = 3  # refused attempts before the first event
MAX_DETOURS = 3
MAX_TRIES = 4  # attempts before the first event
MAX_EVENT_BYTES = 1_048_576  # also of an answer that is no stream
NO_BUDGET = 'the retry budget is spent'
PERMIT_EXPIRED = 'a permit has expired'
PATH_WAIT_SHARE = 0.8  # of the latency objective
BACKOFF_STEP_S = 0.1  # for each refusal of a started stream after the first
# After a loss of engines, memory is short for seconds; an earlier retry would
# find none.
RETRY_AFTER = RetryAfter(min_s=1, rate_per_s=4)


class Streams:
    """
    Serves calls to services of model engines.
    """

    def __init__(self, core: Core, wait_queue: WaitQueue) -> None:
        self._core = core
        self._wait_queue = wait_queue
        self._services = StreamServices()

    async def serve(self, call: Call, rule: EngineRule) -> None:
        """
        Serve one call.
        """
        finder = PathFinder(self._core, call, rule)
        shared = self._services.find(call.service.name)
        await _Stream(self._core, self._wait_queue, call, finder, shared).run()


class _Stream:
    """
    One call, from its first attempt to its end.
    """

    def __init__(
        self,
        core: Core,
        wait_queue: WaitQueue,
        call: Call,
        finder: PathFinder,
        shared: ServiceStreams,
    ) -> None:
        self._core = core
        self._wait_queue = wait_queue
        self._call = call
        self._finder = finder
        self._pieces = EventBuffer()
        self._window = core.retry_windows.for_service(call.service.name)
        self._pace = shared.pace
        self._link_shares = shared.link_shares
        self._tries = 0
        self._retry: SentRequest | None = None
        self._detours = 0
        self._may_crash = False
        self._begun_at = monotonic_s()
        self._has_survived = False
        self._run = StreamRun()
        self._silent_run: StreamRun | None = None
        self._permit = Permit()

    async def run(self) -> None:
        """
        Try paths until the answer is complete, or no other attempt is allowed.
        """
        call = self._call
        self._core.count_request(call)
        suspicion = await self._core.suspects.claim_trial(
            call.fields.request_id, call.traits(), self._path_wait_s()
        )
        if suspicion:
            refuse_suspect(self._core, call, suspicion)
            return
        try:
            await self._try_paths()
        finally:
            self._core.suspects.end_trial(call.fields.request_id)

    async def _try_paths(self) -> None:
        try:
            while not await self._try_path():
                await self._back_off()
        finally:
            self._end_silent_run()

    async def _try_path(self) -> bool:
        """
        Try one more path, or go back to the silent run where there is none.

        :returns: whether the call has ended.
        """
        path = await self._find_path()
        if isinstance(path, ChainPath | Proxy):
            self._use(path)
            outcome = await self._attempt()
        elif self._silent_run:
            outcome = await self._resume_silent_run()
        elif isinstance(path, Denial):
            end_denied(self._core, self._call, path, RETRY_AFTER)
            return True
        else:
            give_up(self._core, self._call, path, RETRY_AFTER)
            return True
        while not await self._handle_outcome(outcome):
            is_silent = isinstance(outcome, Interrupted) and outcome.is_silent
            if self._silent_run is None or (is_silent and self._may_retry()):
                return False
            outcome = await self._resume_silent_run()
        return True

    def _use(self, way: ChainPath | Proxy) -> None:
        if isinstance(way, Proxy):
            self._run = StreamRun(proxy=way)
        else:
            self._run = StreamRun(way)

    async def _handle_outcome(self, outcome: Outcome) -> bool:
        """
        Handle the outcome of an attempt, and end the call unless it may go on.

        :returns: whether the call has ended.
        """
        if isinstance(outcome, Interrupted) and not self._run.proxy:
            if not outcome.is_excessive:
                await self._check_crash(outcome)
        match outcome:
            case Served():
                record_outcome(
                    self._core,
                    self._call,
                    'served',
                    events=self._pieces.event_count,
                    path=format_path(self._run.path),
                    **self._proxy_field(),
                )
                return True
            case TimedOut():
                give_up(self._core, self._call, TIMEOUT, RETRY_AFTER)
                return True
            case Failed():
                reason = f'answered {outcome.head.status}'
            case Overtaken():
                return False
            case Rejected() | Interrupted():
                reason = outcome.reason
        self._log_attempt(reason)
        if self._may_retry():
            return False
        is_failure = isinstance(outcome, Failed)
        if self._silent_run and (
            self._call.response.has_begun or not is_failure
        ):
            return False
        if isinstance(outcome, Failed) and not self._call.response.has_begun:
            forward_answer(self._core, self._call, outcome.head, outcome.body)
        else:
            give_up(self._core, self._call, reason, RETRY_AFTER)
        return True

    async def _check_crash(self, outcome: Interrupted) -> None:
        """
        Record an attempt that was lost in a crash of an engine.
        """
        lost = self._lost_engines()
        if outcome.is_broken or not lost:
            lost = [self._run.path.segments[0].lifetime]
        may_resend = await self._core.check_crash(
            self._call, lost[0], self._run.sent_at
        )
        self._may_crash = not may_resend
        refuses = self._core.fleet.health.refuses_connections
        has_ended = not outcome.is_silent or any(map(refuses, lost))
        if self._may_crash and has_ended:
            # Its other run could crash engines, too.
            self._end_silent_run()

    async def _find_path(self) -> ChainPath | Proxy | Denial | str:
        """
        Choose a path, and wait a limited time for memory.

        :returns: the path, a gateway that finds one, or why there is none.
        """
        deadline = monotonic_s() + self._path_wait_s()
        while True:
            started_at = monotonic_s()
            found = await self._claim_path(max(0, deadline - started_at))
            self._call.waited_s += monotonic_s() - started_at
            if isinstance(found, ChainPath | Proxy):
                return found
            is_denied = isinstance(found, Denial)
            if is_denied and not self._call.response.has_begun:
                return found
            left_s = deadline - monotonic_s()
            if left_s <= 0:
                return found
            waiting_since = monotonic_s()
            await self._wait_queue.wait(self._call.priority, left_s)
            self._call.waited_s += monotonic_s() - waiting_since

    async def _claim_path(
        self, left_s: float
    ) -> ChainPath | Proxy | Denial | str:
        """
        Choose a path that the budget and the limits of its engines allow.

        :param left_s: seconds for which the call may wait.
        :returns: the path, a gateway that finds one, or why there is none.
        """
        proxy = self._core.proxies.find(self._call)
        if proxy:
            return self._claim_proxy(proxy)
        busy_links: set[tuple[str, str]] = set()
        while True:
            candidate = self._finder.choose(busy_links=busy_links)
            if isinstance(candidate, NoPath) and busy_links:
                return NoPath.LINK_BUSY.value
            if isinstance(candidate, NoPath):
                return await self._claim_denied_path(candidate, left_s)
            newly_busy = self._find_busy_links(candidate)
            if newly_busy:
                busy_links.update(newly_busy)
                continue
            answer = await self._claim(candidate)
            if not isinstance(answer, Denial):
                return answer

    def _find_busy_links(self, path: ChainPath) -> list[tuple[str, str]]:
        """
        Return the links between availability zones on a path that have no room
        for the call.
        """
        if not path.crossings:
            return []
        return self._link_shares.find_busy(
            self._finder.crossings(path),
            1 + len(self._core.peers.live()),
            monotonic_s(),
        )

    def _claim_proxy(self, proxy: Proxy) -> Proxy | str:
        """
        Count the next send through another gateway, if the budget allows it.
        """
        self._permit = Permit()
        return proxy if self._claim_retry() else NO_BUDGET

    async def _claim_denied_path(
        self, missing: NoPath, left_s: float
    ) -> ChainPath | Proxy | Denial | str:
        """
        Claim a path whose engines take few requests, as there is no other.

        :param missing: why there is no other.
        """
        candidate = self._finder.choose_denied()
        if candidate is None:
            is_uncovered = missing is NoPath.UNCOVERED
            proxy = self._core.proxies.find(self._call, is_stuck=is_uncovered)
            return self._claim_proxy(proxy) if proxy else missing.value
        if missing is NoPath.UNCOVERED:
            return await self._claim(candidate, left_s)
        answer = await self._claim(candidate)
        return missing.value if isinstance(answer, Denial) else answer

    async def _claim(
        self, path: ChainPath, max_wait_s: float = 0
    ) -> ChainPath | Denial | str:
        """
        Count the next send on a path, if budget and limits allow it.
        """
        if not self._claim_retry():
            return NO_BUDGET
        permit = await self._core.permits.claim_path(path.lifetimes, max_wait_s)
        if isinstance(permit, Denial):
            self._cancel_retry()
            return permit
        self._permit = permit
        return path

    def _path_wait_s(self) -> float:
        """
        Return how many seconds to wait for a path.
        """
        call = self._call
        if self._silent_run:
            return 0  # it may go on meanwhile
        if call.response.has_begun:
            # The events sent so far are useless without the rest.
            return call.remaining_s()
        path_wait_s = (
            PATH_WAIT_SHARE * call.route.latency_objective_s - call.age_s()
        )
        return min(call.remaining_s(), max(0, path_wait_s))

    async def _attempt(self) -> Outcome:
        """
        Send the call once, and relay the answer.
        """
        run = self._run
        self._core.ledger.reserve(run.path.segments, self._finder.tokens)
        try:
            return await self._send_and_relay(run)
        finally:
            self._end_unless_silent(run)

    async def _send_and_relay(self, run: StreamRun) -> Outcome:
        if run.proxy:
            channel = await self._open_proxy(run.proxy)
        else:
            channel = await self._open(run.path)
        if isinstance(channel, Rejected):
            self._cancel_retry()
            return channel
        run.channel = channel
        run.sent_at = self._call.sent_at
        return await self._relay(run, channel)

    async def _resume_silent_run(self) -> Outcome:
        """
        Go on with the run that fell silent, which may still answer.
        """
        run = self._silent_run or StreamRun()
        self._silent_run = None
        if run.channel is None:
            return Interrupted('no run to go back to')
        self._run = run
        self._call.sent_at = run.sent_at
        try:
            return await self._relay(run, run.channel)
        finally:
            self._end_unless_silent(run)

    def _keep_silent_run(self) -> None:
        """
        Keep the run, which has fallen silent, until another one has answered.
        """
        self._end_silent_run()
        self._run.remainder = self._pieces.remainder
        self._silent_run = self._run
        if self._run.channel:
            self._core.pool.close_idle(self._run.channel.address)

    def _end_unless_silent(self, run: StreamRun) -> None:
        if run is not self._silent_run:
            self._end_run(run)

    def _end_silent_run(self) -> None:
        """
        End the run that fell silent, if there is one.
        """
        run = self._silent_run
        self._silent_run = None
        if run:
            self._end_run(run)

    def _end_run(self, run: StreamRun) -> None:
        if run.channel:
            self._core.pool.release(run.channel)
        self._core.ledger.release(run.path.segments, self._finder.tokens)
        self._wait_queue.notify()

    async def _open(self, path: ChainPath) -> TargetChannel | Rejected:
        entry = self._core.fleet.find(path.segments[0].lifetime.identity)
        hops = self._finder.hops(path)
        if entry is None or not hops:
            return Rejected('the fleet has changed')
        # The last channel may have died in silence, and others with it.
        may_reuse = not self._call.sends
        channel = await self._core.acquire_channel(entry, self._call, may_reuse)
        if isinstance(channel, ConnectFailure):
            self._call.avoided.add(entry.lifetime)
            return Rejected(f'unreached: {channel.reason}')
        if not self._permit.is_valid():
            self._core.pool.release(channel)
            return Rejected(PERMIT_EXPIRED)
        sending = ForwardFields(
            target=entry.identity,
            remaining_ms=max(1, int(self._call.remaining_s() * MILLISECONDS)),
            workspace=self._call.workspace,
            hops=hops,
            last_event=self._pieces.last_id,
        )
        self._send(sending, channel)
        return channel

    async def _open_proxy(self, proxy: Proxy) -> TargetChannel | Rejected:
        """
        Pass the call on to another gateway.
        """
        may_reuse = self._call.route.repeat is not Repeat.ONCE
        channel = await self._core.proxies.open(self._call, proxy, may_reuse)
        if isinstance(channel, ConnectFailure):
            return Rejected(f'unreached: {proxy.host}: {channel.reason}')
        self._tries += 1
        self._core.proxies.send(self._call, channel, self._pieces.last_id)
        return channel

    def _proxy_field(self) -> dict[str, str]:
        return {'proxy': self._run.proxy.host} if self._run.proxy else {}

    def _send(self, sending: ForwardFields, channel: TargetChannel) -> None:
        call = self._call
        request = call.request
        headers = self._core.vocabulary.target_headers(request.headers, sending)
        self._tries += 1
        call.record_send(monotonic_s())
        self._core.meters.sends.labels(call.kind, str(self._tries)).inc()
        channel.send(
            encode_request(
                request.method, request.target, headers, request.body
            ),
            matches=answer_matcher(self._core.vocabulary, call, channel),
            head_only=request.method == 'HEAD',
        )

    async def _relay(self, run: StreamRun, channel: TargetChannel) -> Outcome:
        self._pieces.restore_remainder(run.remainder)
        kept_bytes = 0
        while True:
            event = await self._next(channel)
            match event:
                case ResponseHead():
                    run.head = event
                case BodyChunk() if run.head and run.is_success:
                    await self._forward_events(run.head, event.data)
                    kept_bytes = self._pieces.remainder_bytes
                case BodyChunk():
                    run.body.append(event.data)
                    kept_bytes += len(event.data)
                case ResponseEnd() if run.head and run.is_success:
                    if self._pieces.remainder_bytes:
                        return Interrupted('the last event is cut')
                    self._finish(run.head)
                    return Served()
                case ResponseEnd() if run.head:
                    return self._classify(run.head, b''.join(run.body))
                case TimedOut() | Interrupted() | Overtaken():
                    return event
                case ChannelBroken():
                    return self._handle_broken(event)
            channel.keep(kept_bytes)
            if kept_bytes > MAX_EVENT_BYTES:
                channel.break_off_event()

    def _handle_broken(self, broken: ChannelBroken) -> Interrupted:
        """
        Log that the channel broke; avoid an engine that has sent too much.
        """
        if broken.is_unacknowledged and self._run.channel:
            self._core.pool.close_idle(self._run.channel.address)
        if not self._run.proxy:
            first = self._run.path.segments[0].lifetime
            log_broken_channel(self._core, self._call, first, broken)
            if broken.excess:
                self._call.avoided.add(first)
                self._core.fleet.health.record_refusal(first, monotonic_s())
        return Interrupted(
            broken.reason,
            is_broken=broken.excess is None,
            is_excessive=broken.excess is not None,
        )

    async def _next(
        self, channel: TargetChannel
    ) -> ResponseEvent | Interrupted | Overtaken | TimedOut:
        """
        Return the next event, and check the engines while there is none.
        """
        started_at = monotonic_s()
        while True:
            left_s = self._call.remaining_s()
            if left_s <= 0:
                return TimedOut()
            silence_s = monotonic_s() - started_at
            # Nothing is decided before the shortest silence that counts.
            pause_s = max(
                CHECK_INTERVAL_S, self._pace.max_silence_s - silence_s
            )
            event = await channel.next_event(min(pause_s, left_s))
            if not isinstance(event, ReadTimeout):
                return self._check(event)
            if self._is_overtaken(monotonic_s() - started_at):
                return Overtaken()
            if await self._detour(monotonic_s() - started_at):
                started_at = monotonic_s()
            moved = self._check_silence(monotonic_s() - started_at)
            if moved:
                self._keep_silent_run()
                return moved

    def _check(self, event: ResponseEvent) -> ResponseEvent | Interrupted:
        if isinstance(event, ResponseHead) and not self._run.proxy:
            first = self._run.path.segments[0].lifetime
            self._core.record_statements(self._call, first, event)
        if isinstance(event, ResponseHead) and begins_stream(event):
            if not self._core.is_success(event):
                return Interrupted('an answer without a seal')
        return event

    async def _detour(self, silence_s: float) -> bool:
        """
        Move a started stream to a path without the lost engines.

        :param silence_s: seconds since the last event.
        :returns: whether it has a new path.
        """
        lost = self._lost_engines()
        if (
            not lost
            or silence_s < self._pace.max_silence_s
            or not self._pieces.event_count
        ):
            return False
        if self._detours >= MAX_DETOURS:
            return False
        self._detours += 1
        new_path = await detour_stream(
            self._core, self._call, self._finder, self._run.path, lost
        )
        if new_path is None:
            return False
        tokens = self._finder.tokens
        self._core.ledger.release(self._run.path.segments, tokens)
        self._core.ledger.reserve(new_path.segments, tokens)
        self._run.path = new_path
        return True

    def _is_overtaken(self, silence_s: float) -> bool:
        """
        Return whether the silent run has gone on, and the present one hasn't.

        :param silence_s: seconds since the last event of the present one.
        """
        if self._silent_run is None:
            return False
        min_events = 1 if silence_s > MAX_SILENCE_S else EVENTS_TO_GO_ON
        return self._silent_run.goes_on(min_events)

    def _lost_engines(self) -> list[Lifetime]:
        silent = self._core.fleet.health.unresponsive()
        return [
            lifetime
            for lifetime in self._run.path.lifetimes
            if lifetime in silent
        ]

    def _check_silence(self, silence_s: float) -> Interrupted | None:
        """
        Probe the engines of a silent stream, and decide whether it moves.

        :param silence_s: seconds since the last event.
        :returns: why it moves to another path, if it does.
        """
        allowed_s = (
            self._pace.max_silence_s
            if self._pieces.event_count
            else FIRST_EVENT_SILENCE_S
        )
        if self._run.proxy:
            return self._check_proxy(self._run.proxy, silence_s)
        if silence_s < allowed_s:
            return None
        lifetimes = self._run.path.lifetimes
        target_health = self._core.fleet.health
        idle = target_health.idle_since(lifetimes, monotonic_s() - allowed_s)
        self._core.prober.probe(idle)
        lost = self._lost_engines()
        if lost and self._can_move(()):
            names = ','.join(lifetime.identity for lifetime in lost)
            return Interrupted(
                f'silent for {silence_s:.3f} s at {names}', is_silent=True
            )
        if silence_s > MAX_SILENCE_S and self._can_move(lifetimes):
            self._call.avoided.update(lifetimes)
            return Interrupted(f'silent for {silence_s:.3f} s', is_silent=True)
        return None

    def _check_proxy(
        self, proxy: Proxy, silence_s: float
    ) -> Interrupted | None:
        """
        Decide whether a stream leaves a silent proxy, which looks after the
        engines itself.
        """
        is_available = self._core.proxies.is_available(proxy)
        if is_available and silence_s < MAX_PROXY_SILENCE_S:
            return None
        if not self._can_move(()):
            return None
        return Interrupted(
            f'silent for {silence_s:.3f} s at {proxy.host}', is_silent=True
        )

    def _can_move(self, avoided: tuple[Lifetime, ...]) -> bool:
        if not self._may_retry() or not self._has_budget():
            return False
        proxies = self._core.proxies
        if proxies.find(self._call):
            return True
        found = self._finder.choose(avoided)
        if isinstance(found, ChainPath):
            return True
        is_uncovered = found is NoPath.UNCOVERED
        return is_uncovered and bool(proxies.find(self._call, is_stuck=True))

    def _has_budget(self) -> bool:
        """
        Return whether a send is within the retry budget of all gateways.
        """
        if not self._tries:
            return True
        return self._core.retry_usage(self._call.service.name).has_room

    def _claim_retry(self) -> bool:
        """
        Count the next send as a retry, unless it is the first one.

        :returns: whether the request may be sent.
        """
        if not self._tries:
            return True
        self._retry = self._core.claim_retry(self._call.service.name)
        return self._retry is not None

    def _cancel_retry(self) -> None:
        if self._retry:
            self._window.cancel_retry(self._retry)
            self._retry = None

    async def _back_off(self) -> None:
        """
        Wait before engines that refused a started stream are tried again.
        """
        refused = self._call.refusals
        if self._silent_run:
            return
        if self._call.response.has_begun and refused:
            self._call.avoided.clear()
            pause_s = min(
                BACKOFF_STEP_S * (refused - 1), self._call.remaining_s()
            )
            await asyncio.sleep(max(0, pause_s))

    def _may_retry(self) -> bool:
        """
        Return whether the request may be sent again.
        """
        call = self._call
        if not call.may_retry() or self._may_crash:
            return False
        if call.response.has_begun:
            return True
        is_tried = call.refusals > MAX_REFUSALS or self._tries >= MAX_TRIES
        return not is_tried and self._has_budget()

    async def _forward_events(self, head: ResponseHead, raw: bytes) -> None:
        complete = self._pieces.feed(raw)
        if not complete:
            return
        self._end_silent_run()
        lifetimes = self._run.path.lifetimes
        target_health = self._core.fleet.health
        now = monotonic_s()
        target_health.record_progress(lifetimes, now)
        if self._run.last_event_at:
            self._pace.record(now - self._run.last_event_at)
        self._run.last_event_at = now
        if not self._run.is_accepted:
            self._run.is_accepted = True
            target_health.record_acceptance(lifetimes)
        answer = self._call.response
        if answer.has_begun:
            self._record_survival()
        else:
            self._begun_at = monotonic_s()
            self._core.meters.first_event_s.labels('stream').observe(
                self._call.age_s()
            )
            answer.begin(head.status, end_to_end_headers(head.headers))
        answer.write(complete)
        await answer.drain()

    def _record_survival(self) -> None:
        """
        Record an answer that has gone on for longer than engines take to
        crash under a part of a prompt.
        """
        if self._has_survived or monotonic_s() - self._begun_at < SURVIVAL_S:
            return
        self._has_survived = True
        self._core.suspects.record_answered(self._call.prompt_parts)
        self._core.suspects.end_trial(self._call.fields.request_id)

    def _finish(self, head: ResponseHead) -> None:
        self._core.suspects.record_answered(
            self._call.traits(), is_first=not self._has_survived
        )
        answer = self._call.response
        if not answer.has_begun:
            answer.begin(head.status, end_to_end_headers(head.headers))
        answer.finish()

    def _classify(self, head: ResponseHead, body: bytes) -> Outcome:
        """
        Distinguish a refusal from a failure.

        A refusal isn't counted as a send, and its engine is avoided.
        """
        if self._run.proxy:
            return self._classify_proxied(self._run.proxy, head, body)
        if not self._core.is_refusal(head):
            return Failed(head, body)
        response_fields = self._core.vocabulary.response_fields(head.headers)
        self._call.record_refusal()
        refusing = (
            self._core.fleet.find_by_address(response_fields.fault_address)
            if response_fields.fault_address
            else None
        )
        lifetime = (
            refusing.lifetime
            if refusing
            else self._run.path.segments[0].lifetime
        )
        self._call.avoided.add(lifetime)
        self._core.fleet.health.record_refusal(lifetime, monotonic_s())
        return Rejected(f'{head.status} at {lifetime.identity}')

    def _classify_proxied(
        self, proxy: Proxy, head: ResponseHead, body: bytes
    ) -> Outcome:
        if is_proxy_refusal(head):
            self._call.record_refusal()
            return Rejected(f'refused by {proxy.host}')
        fields = self._core.vocabulary.response_fields(head.headers)
        if is_proxy_failure(head, fields.is_genuine):
            return Interrupted(f'{head.status} of {proxy.host}')
        return Failed(head, body)

    def _log_attempt(self, reason: str) -> None:
        usage = self._core.retry_usage(self._call.service.name)
        self._core.journal.say(
            'request: path failed',
            request=self._call.fields.request_id,
            why=reason,
            path=format_path(self._run.path),
            **self._proxy_field(),
            sends=self._call.sends,
            refused=self._call.refusals,
            events=self._pieces.event_count,
            retries=usage.retries,
            retries_allowed=round(usage.allowed, 2),
            gateways=usage.routers,
            age_s=round(self._call.age_s(), 4),
        )
