"""
One run: a site, a policy, a load and a seed in virtual time.
"""

from collections.abc import Generator, Sequence
from dataclasses import replace
from random import Random

from simpy import Environment, Event

from mallowcrank.emulator.engines import Engine
from mallowcrank.emulator.figures import Figures, compute_figures
from mallowcrank.emulator.load import EngineFault, Job, Load
from mallowcrank.emulator.policies import Policy, placement_engine
from mallowcrank.emulator.routers import (
    Fleet,
    Outcome,
    Router,
    exchange_reservations,
)
from mallowcrank.emulator.site import Site
from mallowcrank.gateway.placing import (
    IN_USE_MEMORY_SHARE,
    PLANNING_INTERVAL_S,
    UNRESPONSIVE_GRACE_S,
)
from mallowcrank.gateway.targets import HeldLayers, Lifetime
from mallowcrank.gateway.waiting import WAKE_INTERVAL_S

MIN_RETRY_DELAY_S = 0.3  # before a refused caller comes back
MAX_RETRY_DELAY_S = 1.5


class Run:
    """
    One run.
    """

    def __init__(
        self, site: Site, policy: Policy, load: Load, seed: int
    ) -> None:
        self._site = site
        self._policy = policy
        self._load = load
        self._arrivals = Random(seed)
        self._random = Random(seed + 1)
        self._env = Environment()
        self._fleet = Fleet(
            {
                card.lifetime: Engine(self._env, site, card)
                for card in site.engine_specs()
            }
        )
        self._routers = [
            Router(
                self._env,
                site,
                policy,
                self._fleet,
                named,
                Random(self._random.random()),
            )
            for named in site.router_names()
        ]
        self._outcomes: list[Outcome] = []
        self._loading_layers: dict[Engine, HeldLayers] = {}
        self._reported_layers: dict[Engine, HeldLayers] = {}
        self._unplannable: set[Lifetime] = set()

    def simulate(self) -> Figures:
        """
        Play it to its end.
        """
        for engine, held in self._plan_changes():
            engine.set_layers(held)
            self._reported_layers[engine] = held
        env = self._env
        env.process(self._generate_requests())
        env.process(exchange_reservations(env, self._routers))
        env.process(self._place_periodically())
        for trouble in self._load.faults:
            env.process(self._inject_fault(trouble))
        env.run(until=self._load.duration_s + 20)
        return compute_figures(
            self._outcomes,
            preempted=sum(each.preemptions for each in self._engines()),
        )

    def _engines(self) -> Sequence[Engine]:
        return tuple(self._fleet.engines.values())

    def _generate_requests(self) -> Generator[Event]:
        stride = self._site.timings.tokens_per_event
        for job in self._load.jobs(self._arrivals, stride):
            yield self._env.timeout(max(0, job.arrival_s - self._env.now))
            outcome = Outcome(job)
            self._outcomes.append(outcome)
            self._env.process(self._send_request(job, outcome))

    def _send_request(self, job: Job, outcome: Outcome) -> Generator[Event]:
        """
        Ask a router, and once more after a refusal.
        """
        near = [each for each in self._routers if each.zone == job.zone]
        yield from self._random.choice(near).serve(job, outcome)
        if outcome.refused:
            outcome.refused = False
            pause_s = self._random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
            yield self._env.timeout(pause_s)
            yield from self._random.choice(near).serve(job, outcome)

    def _plan_changes(self) -> list[tuple[Engine, HeldLayers]]:
        """
        Return the layers that engines should take now.
        """
        cards = []
        for engine in self._engines():
            if engine.spec.lifetime in self._unplannable:
                continue
            card = placement_engine(self._site.rule, self._policy, engine.spec)
            loading = self._loading_layers.get(engine)
            held = loading or self._reported_layers.get(engine)
            if held:
                card = replace(
                    card,
                    first=held.first,
                    end=held.end,
                    is_loading=loading is not None,
                    is_used=engine.memory.used
                    > IN_USE_MEMORY_SHARE * engine.memory.size,
                )
            cards.append(card)
        placings = self._policy.plan(self._site.rule.layers, cards)
        return [
            (
                self._fleet.engines[placing.lifetime],
                HeldLayers(placing.first, placing.end, 0),
            )
            for placing in placings
        ]

    def _place_periodically(self) -> Generator[Event]:
        while True:
            yield self._env.timeout(PLANNING_INTERVAL_S)
            for engine, held in self._plan_changes():
                self._env.process(self._load_layers(engine, held))

    def _load_layers(
        self, engine: Engine, held: HeldLayers
    ) -> Generator[Event]:
        """
        Load what an engine does not hold yet.
        """
        before = engine.held_layers or HeldLayers(0, 0, 0)
        first = max(before.first, held.first)
        kept = HeldLayers(first, max(first, min(before.end, held.end)), 0)
        share = (held.count - kept.count) / self._site.rule.layers
        self._loading_layers[engine] = held
        life = engine.crash_count
        engine.set_layers(kept if kept.count else None)
        while kept.count < before.count and engine.memory.owners:
            yield self._env.timeout(WAKE_INTERVAL_S)
        yield self._env.timeout(self._site.timings.load_s * share)
        self._loading_layers.pop(engine, None)
        if engine.crash_count == life:
            engine.set_layers(held)
            self._reported_layers[engine] = held

    def _inject_fault(self, trouble: EngineFault) -> Generator[Event]:
        yield self._env.timeout(trouble.start_s)
        engine = self._busiest(trouble.zone)
        if trouble.kind == 'slow':
            engine.slow_factor = trouble.slowdown
            yield self._env.timeout(trouble.duration_s)
            engine.slow_factor = 1
            return
        yield from self._crash_engine(engine)
        if trouble.kind == 'dies':
            yield self._env.timeout(trouble.duration_s)
            engine.is_alive = True
            self._fleet.known_dead.discard(engine.spec.lifetime)
            self._unplannable.discard(engine.spec.lifetime)

    def _crash_engine(self, engine: Engine) -> Generator[Event]:
        engine.crash()
        lifetime = engine.spec.lifetime
        yield self._env.timeout(self._policy.detection_s)
        for stream in self._fleet.streams_using(lifetime):
            stream.on_abort()
        # Streams move at once; the plan allows for a slow answer.
        self._fleet.known_dead.add(lifetime)
        yield self._env.timeout(UNRESPONSIVE_GRACE_S)
        self._unplannable.add(lifetime)
        self._reported_layers.pop(engine, None)
        self._loading_layers.pop(engine, None)

    def _busiest(self, zone: str) -> Engine:
        able = [
            each
            for each in self._engines()
            if each.is_alive and zone in {'', each.spec.zone}
        ]
        return max(
            able, key=lambda each: (each.processed_items, each.spec.lifetime)
        )
