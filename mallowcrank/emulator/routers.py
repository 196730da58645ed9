"""
Emulated routers: each knows its own reservations, and those of others late.
"""

from collections.abc import Generator, Sequence
from dataclasses import dataclass, field
from itertools import count
from random import Random

from simpy import Environment, Event

from mallowcrank.chains.engines import ChainEngine, RequestTokens
from mallowcrank.chains.memory import MemoryLedger, PeerReservations
from mallowcrank.chains.paths import ChainPath, NoPath, PathRequest
from mallowcrank.emulator.engines import (
    EmulatedStream,
    Engine,
    find_blocking_engine,
    start_stream,
    stop_stream,
)
from mallowcrank.emulator.load import Job
from mallowcrank.emulator.policies import Policy
from mallowcrank.emulator.site import Site
from mallowcrank.gateway.path_finder import OUTPUT_ESTIMATE_FACTOR
from mallowcrank.gateway.peers import BROADCAST_INTERVAL_S
from mallowcrank.gateway.streams import MAX_TRIES
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.gateway.waiting import WAKE_INTERVAL_S

TIMEOUT_S = 20.0


@dataclass(slots=True)
class Outcome:
    """
    What a caller got.

    :param events: passed on, with their virtual times.
    """

    job: Job
    refused: bool = False
    is_complete: bool = False
    attempts: int = 0
    events: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Fleet:
    """
    All engines, and what routers have noticed of them.

    :param known_dead: engines that routers know to be dead.
    """

    engines: dict[Lifetime, Engine]
    known_dead: set[Lifetime] = field(default_factory=set)
    running_streams: set[EmulatedStream] = field(default_factory=set)
    sequence_numbers: count = field(default_factory=count)

    def streams_using(self, lifetime: Lifetime) -> list[EmulatedStream]:
        """
        Return the streams that pass an engine.
        """
        return [
            stream
            for stream in self.running_streams
            if stream.uses(self.engines[lifetime])
        ]


class Router:
    """
    One router.
    """

    def __init__(
        self,
        env: Environment,
        site: Site,
        policy: Policy,
        fleet: Fleet,
        named: tuple[str, str],
        random: Random,
    ) -> None:
        self.name = named[0]
        self.zone = named[1]
        self.ledger = MemoryLedger()
        self._env = env
        self._site = site
        self._policy = policy
        self._fleet = fleet
        self._random = random

    def serve(self, job: Job, outcome: Outcome) -> Generator[Event]:
        """
        Serve one request, path after path.
        """
        until = self._env.now + TIMEOUT_S
        avoided: set[Lifetime] = set()
        while outcome.attempts < MAX_TRIES and self._env.now < until:
            path = yield from self._find_path(job, outcome, avoided)
            if path is None:
                outcome.refused = not outcome.events
                return
            outcome.attempts += 1
            yield from self._run(job, outcome, path, avoided)
            if outcome.is_complete:
                return
            if outcome.events and not self._policy.resumes:
                return

    def _find_path(
        self, job: Job, outcome: Outcome, avoided: set[Lifetime]
    ) -> Generator[Event, None, ChainPath | None]:
        until = self._env.now + self._policy.max_wait_s
        while True:
            choosing = PathRequest(
                self._site.rule, self._token_need(job), self.zone
            )
            found = self._policy.choose(
                choosing, self._usable_engines(avoided), self._random
            )
            if not isinstance(found, NoPath):
                return found
            if self._env.now >= until:
                return None
            yield self._env.timeout(WAKE_INTERVAL_S)

    def _run(
        self,
        job: Job,
        outcome: Outcome,
        path: ChainPath,
        avoided: set[Lifetime],
    ) -> Generator[Event]:
        tokens = self._token_need(job).total
        self.ledger.reserve(path.segments, tokens)
        ended = self._env.event()
        stream = self._make_stream(job, outcome, path, ended)
        full = find_blocking_engine(stream)
        if full is None:
            self._fleet.running_streams.add(stream)
            start_stream(stream, self._site.timings.chunk_tokens)
            yield ended
            self._fleet.running_streams.discard(stream)
            stream.is_over = True
            stop_stream(stream)
        else:
            avoided.add(full.spec.lifetime)
            yield self._env.timeout(self._site.timings.hop_s)
        self.ledger.release(path.segments, tokens)

    def _make_stream(
        self, job: Job, outcome: Outcome, path: ChainPath, ended: Event
    ) -> EmulatedStream:
        done = len(outcome.events) * self._site.timings.tokens_per_event

        def on_event() -> None:
            outcome.events.append(self._env.now)
            if len(outcome.events) >= job.event_count:
                outcome.is_complete = True
                stream.is_over = True
                ended.succeed()

        def on_cut() -> None:
            if not ended.triggered:
                ended.succeed()

        stream = EmulatedStream(
            sequence_number=next(self._fleet.sequence_numbers),
            path_segments=path.segments,
            engines=tuple(
                self._fleet.engines[part.lifetime] for part in path.segments
            ),
            tokens=job.prompt_tokens + done,
            on_event=on_event,
            on_abort=on_cut,
        )
        return stream

    def _token_need(self, job: Job) -> RequestTokens:
        return RequestTokens(
            job.prompt_tokens, job.output_hint * OUTPUT_ESTIMATE_FACTOR
        )

    def _usable_engines(self, avoided: set[Lifetime]) -> list[ChainEngine]:
        now = self._env.now
        found = []
        for lifetime, engine in self._fleet.engines.items():
            held = engine.held_layers
            if held is None or lifetime in avoided:
                continue
            if lifetime in self._fleet.known_dead:
                continue
            used = self.ledger.reserved(lifetime, now)
            found.append(
                ChainEngine(
                    lifetime=lifetime,
                    zone=engine.spec.zone,
                    held=held,
                    kind=self._site.rule.kinds[engine.spec.kind],
                    slowdown=engine.slow_factor,
                    free_memory=engine.memory.size - used,
                    total_memory=engine.memory.size,
                )
            )
        return found


def exchange_reservations(
    env: Environment, routers: Sequence[Router]
) -> Generator[Event]:
    """
    Tell all routers of each other's reservations, for good.
    """
    while True:
        yield env.timeout(BROADCAST_INTERVAL_S)
        for router in routers:
            told = PeerReservations(
                env.now, dict(router.ledger.own_reservations())
            )
            for other in routers:
                if other is not router:
                    other.ledger.update_peer(router.name, told)
