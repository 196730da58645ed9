"""
Simulates one run of an experiment in virtual time.
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

MIN_RETRY_DELAY_S = 0.3  # of a caller whose request was refused
MAX_RETRY_DELAY_S = 1.5


class Run:
    """
    A run of one policy under one load, on a site.

    :param seed: the same seed repeats the run.
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
                spec.lifetime: Engine(self._env, site, spec)
                for spec in site.engine_specs()
            }
        )
        self._routers = [
            Router(
                self._env,
                site,
                policy,
                self._fleet,
                name_and_zone,
                Random(self._random.random()),
            )
            for name_and_zone in site.router_names()
        ]
        self._outcomes: list[Outcome] = []
        self._loading_layers: dict[Engine, HeldLayers] = {}
        self._reported_layers: dict[Engine, HeldLayers] = {}
        self._unplannable: set[Lifetime] = set()

    def simulate(self) -> Figures:
        """
        Run to the end of the load and 20 s beyond, and return the figures.
        """
        for engine, new_layers in self._plan_changes():
            engine.set_layers(new_layers)
            self._reported_layers[engine] = new_layers
        env = self._env
        env.process(self._generate_requests())
        env.process(exchange_reservations(env, self._routers))
        env.process(self._place_periodically())
        for fault in self._load.faults:
            env.process(self._inject_fault(fault))
        env.run(until=self._load.duration_s + 20)
        return compute_figures(
            self._outcomes,
            preempted=sum(each.preemptions for each in self._engines()),
        )

    def _engines(self) -> Sequence[Engine]:
        return tuple(self._fleet.engines.values())

    def _generate_requests(self) -> Generator[Event]:
        tokens_per_event = self._site.timings.tokens_per_event
        for job in self._load.jobs(self._arrivals, tokens_per_event):
            yield self._env.timeout(max(0, job.arrival_s - self._env.now))
            outcome = Outcome(job)
            self._outcomes.append(outcome)
            self._env.process(self._send_request(job, outcome))

    def _send_request(self, job: Job, outcome: Outcome) -> Generator[Event]:
        """
        Send a request to a router in the caller's zone, and once more after a
        refusal.
        """
        routers = [each for each in self._routers if each.zone == job.zone]
        yield from self._random.choice(routers).serve(job, outcome)
        if outcome.refused:
            outcome.refused = False
            pause_s = self._random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
            yield self._env.timeout(pause_s)
            yield from self._random.choice(routers).serve(job, outcome)

    def _plan_changes(self) -> list[tuple[Engine, HeldLayers]]:
        """
        Return the layers that the plan places now, by engine.
        """
        planned_engines = []
        for engine in self._engines():
            if engine.spec.lifetime in self._unplannable:
                continue
            planned = placement_engine(
                self._site.rule, self._policy, engine.spec
            )
            loading = self._loading_layers.get(engine)
            new_layers = loading or self._reported_layers.get(engine)
            if new_layers:
                planned = replace(
                    planned,
                    first=new_layers.first,
                    end=new_layers.end,
                    is_loading=loading is not None,
                    is_used=engine.memory.used
                    > IN_USE_MEMORY_SHARE * engine.memory.size,
                )
            planned_engines.append(planned)
        orders = self._policy.plan(self._site.rule.layers, planned_engines)
        return [
            (
                self._fleet.engines[order.lifetime],
                HeldLayers(order.first, order.end, 0),
            )
            for order in orders
        ]

    def _place_periodically(self) -> Generator[Event]:
        while True:
            yield self._env.timeout(PLANNING_INTERVAL_S)
            for engine, new_layers in self._plan_changes():
                self._env.process(self._load_layers(engine, new_layers))

    def _load_layers(
        self, engine: Engine, new_layers: HeldLayers
    ) -> Generator[Event]:
        """
        Load the layers that an engine does not hold yet. If it drops layers,
        its streams end first.
        """
        previous = engine.held_layers or HeldLayers(0, 0, 0)
        first = max(previous.first, new_layers.first)
        kept_layers = HeldLayers(
            first, max(first, min(previous.end, new_layers.end)), 0
        )
        loaded_share = (
            new_layers.count - kept_layers.count
        ) / self._site.rule.layers
        self._loading_layers[engine] = new_layers
        crashes_before = engine.crash_count
        engine.set_layers(kept_layers if kept_layers.count else None)
        while kept_layers.count < previous.count and engine.memory.owners:
            yield self._env.timeout(WAKE_INTERVAL_S)
        yield self._env.timeout(self._site.timings.load_s * loaded_share)
        self._loading_layers.pop(engine, None)
        if engine.crash_count == crashes_before:
            engine.set_layers(new_layers)
            self._reported_layers[engine] = new_layers

    def _inject_fault(self, fault: EngineFault) -> Generator[Event]:
        yield self._env.timeout(fault.start_s)
        engine = self._busiest(fault.zone)
        if fault.kind == 'slow':
            engine.slow_factor = fault.slowdown
            yield self._env.timeout(fault.duration_s)
            engine.slow_factor = 1
            return
        yield from self._crash_engine(engine)
        if fault.kind == 'dies':
            yield self._env.timeout(fault.duration_s)
            engine.is_alive = True
            self._fleet.known_dead.discard(engine.spec.lifetime)
            self._unplannable.discard(engine.spec.lifetime)

    def _crash_engine(self, engine: Engine) -> Generator[Event]:
        engine.crash()
        lifetime = engine.spec.lifetime
        yield self._env.timeout(self._policy.detection_s)
        for stream in self._fleet.streams_using(lifetime):
            stream.on_abort()
        # Streams move as soon as the crash is detected. The plan keeps the
        # engine for a grace period, in which it could be merely slow.
        self._fleet.known_dead.add(lifetime)
        yield self._env.timeout(UNRESPONSIVE_GRACE_S)
        self._unplannable.add(lifetime)
        self._reported_layers.pop(engine, None)
        self._loading_layers.pop(engine, None)

    def _busiest(self, zone: str) -> Engine:
        candidates = [
            each
            for each in self._engines()
            if each.is_alive and zone in {'', each.spec.zone}
        ]
        return max(
            candidates,
            key=lambda each: (each.processed_items, each.spec.lifetime),
        )
