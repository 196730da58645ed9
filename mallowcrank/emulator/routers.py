"""
Emulated routers. Each knows its own memory reservations at once, and those of
its peers after a delay.
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
from mallowcrank.gateway.status_rounds import (
    BROADCAST_INTERVAL_S,
    plan_rounds,
)
from mallowcrank.gateway.streams import MAX_TRIES
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.gateway.waiting import WAKE_INTERVAL_S

TIMEOUT_S = 20.0


@dataclass(slots=True)
class Outcome:
    """
    The response to a request.

    :param events: virtual times of the delivered events, in seconds.
    """

    job: Job
    refused: bool = False
    is_complete: bool = False
    attempts: int = 0
    events: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Fleet:
    """
    The engines of a run, and what routers know of them.

    :param known_dead: engines whose crash the routers have detected.
    :param sequence_numbers: source of the streams' numbers.
    """

    engines: dict[Lifetime, Engine]
    known_dead: set[Lifetime] = field(default_factory=set)
    running_streams: set[EmulatedStream] = field(default_factory=set)
    sequence_numbers: count = field(default_factory=count)

    def streams_using(self, lifetime: Lifetime) -> list[EmulatedStream]:
        """
        Return the running streams whose path includes an engine.
        """
        return [
            stream
            for stream in self.running_streams
            if stream.uses(self.engines[lifetime])
        ]


class Router:
    """
    An emulated router.
    """

    def __init__(
        self,
        env: Environment,
        site: Site,
        policy: Policy,
        fleet: Fleet,
        name_and_zone: tuple[str, str],
        random: Random,
    ) -> None:
        self.name = name_and_zone[0]
        self.zone = name_and_zone[1]
        self.ledger = MemoryLedger()
        in_zone = site.routers[self.zone]
        self.rounds = plan_rounds(
            in_zone - 1, sum(site.routers.values()) - in_zone
        )
        self._env = env
        self._site = site
        self._policy = policy
        self._fleet = fleet
        self._random = random

    def serve(self, job: Job, outcome: Outcome) -> Generator[Event]:
        """
        Serve a request, and retry over peer paths within the limits.
        """
        deadline_s = self._env.now + TIMEOUT_S
        excluded: set[Lifetime] = set()
        while outcome.attempts < MAX_TRIES and self._env.now < deadline_s:
            path = yield from self._find_path(job, outcome, excluded)
            if path is None:
                outcome.refused = not outcome.events
                return
            outcome.attempts += 1
            yield from self._run(job, outcome, path, excluded)
            if outcome.is_complete:
                return
            if outcome.events and not self._policy.resumes:
                return

    def _find_path(
        self, job: Job, outcome: Outcome, excluded: set[Lifetime]
    ) -> Generator[Event, None, ChainPath | None]:
        deadline_s = self._env.now + self._policy.max_wait_s
        while True:
            path_request = PathRequest(
                self._site.rule,
                self._token_need(job),
                self.zone,
                self.rounds.zone_delay_s,
            )
            found = self._policy.choose(
                path_request, self._usable_engines(excluded), self._random
            )
            if not isinstance(found, NoPath):
                return found
            if self._env.now >= deadline_s:
                return None
            yield self._env.timeout(WAKE_INTERVAL_S)

    def _run(
        self,
        job: Job,
        outcome: Outcome,
        path: ChainPath,
        excluded: set[Lifetime],
    ) -> Generator[Event]:
        tokens = self._token_need(job).total
        self.ledger.reserve(path.segments, tokens)
        end_event = self._env.event()
        stream = self._make_stream(job, outcome, path, end_event)
        blocking = find_blocking_engine(stream)
        if blocking is None:
            self._fleet.running_streams.add(stream)
            start_stream(stream, self._site.timings.chunk_tokens)
            yield end_event
            self._fleet.running_streams.discard(stream)
            stream.is_over = True
            stop_stream(stream)
        else:
            excluded.add(blocking.spec.lifetime)
            yield self._env.timeout(self._site.timings.hop_s)
        self.ledger.release(path.segments, tokens)

    def _make_stream(
        self, job: Job, outcome: Outcome, path: ChainPath, end_event: Event
    ) -> EmulatedStream:
        delivered = len(outcome.events) * self._site.timings.tokens_per_event

        def on_event() -> None:
            outcome.events.append(self._env.now)
            if len(outcome.events) >= job.event_count:
                outcome.is_complete = True
                stream.is_over = True
                end_event.succeed()

        def abort() -> None:
            if not end_event.triggered:
                end_event.succeed()

        stream = EmulatedStream(
            sequence_number=next(self._fleet.sequence_numbers),
            path_segments=path.segments,
            engines=tuple(
                self._fleet.engines[segment.lifetime]
                for segment in path.segments
            ),
            tokens=job.prompt_tokens + delivered,
            on_event=on_event,
            on_abort=abort,
        )
        return stream

    def _token_need(self, job: Job) -> RequestTokens:
        return RequestTokens(
            job.prompt_tokens, job.output_hint * OUTPUT_ESTIMATE_FACTOR
        )

    def _usable_engines(self, excluded: set[Lifetime]) -> list[ChainEngine]:
        now = self._env.now
        found = []
        for lifetime, engine in self._fleet.engines.items():
            held = engine.held_layers
            if held is None or lifetime in excluded:
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
    Periodically send the reservations of each router to its peers, without
    end.

    Peers in its zone and those in others are reached once a round; the routers'
    rounds begin at different intervals.
    """
    for interval in count():
        yield env.timeout(BROADCAST_INTERVAL_S)
        for number, router in enumerate(routers):
            _tell_peers(env, router, routers, interval + number)


def _tell_peers(
    env: Environment, router: Router, routers: Sequence[Router], interval: int
) -> None:
    """
    Send the reservations of a router to the peers whose turn it is.

    :param interval: number of intervals since its rounds began.
    """
    reservations = PeerReservations(
        env.now,
        dict(router.ledger.own_reservations()),
        router.rounds.other.liveness_timeout_s,
    )
    is_zone_due = interval % router.rounds.zone.intervals == 0
    is_other_due = interval % router.rounds.other.intervals == 0
    for peer in routers:
        is_due = is_zone_due if peer.zone == router.zone else is_other_due
        if is_due and peer is not router:
            peer.ledger.update_peer(router.name, reservations)
