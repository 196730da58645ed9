"""
One run: a site, a policy, a load and a seed in virtual time.
"""

from collections.abc import Generator, Sequence
from dataclasses import replace
from random import Random

from simpy import Environment, Event

from mallowcrank.emulator.engines import Engine
from mallowcrank.emulator.figures import Figures, figures_of
from mallowcrank.emulator.load import Job, Load, Trouble
from mallowcrank.emulator.policies import Policy, as_card
from mallowcrank.emulator.routers import Fleet, Outcome, Router, gossip
from mallowcrank.emulator.site import Site
from mallowcrank.gateway.placing import (
    IN_USE_MEMORY_SHARE,
    PLANNING_INTERVAL_S,
    UNRESPONSIVE_GRACE_S,
)
from mallowcrank.gateway.targets import HeldLayers, Lifetime
from mallowcrank.gateway.waiting import WAKE_INTERVAL_S

LEAST_RETURN_S = 0.3  # before a refused caller comes back
MOST_RETURN_S = 1.5


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
                for card in site.cards()
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
        self._loading: dict[Engine, HeldLayers] = {}
        self._shown: dict[Engine, HeldLayers] = {}
        self._missed: set[Lifetime] = set()

    def play(self) -> Figures:
        """
        Play it to its end.
        """
        for engine, held in self._due():
            engine.hold(held)
            self._shown[engine] = held
        env = self._env
        env.process(self._arrive())
        env.process(gossip(env, self._routers))
        env.process(self._keep_placed())
        for trouble in self._load.troubles:
            env.process(self._strike(trouble))
        env.run(until=self._load.seconds + 20)
        return figures_of(
            self._outcomes,
            preempted=sum(each.preempted for each in self._engines()),
        )

    def _engines(self) -> Sequence[Engine]:
        return tuple(self._fleet.engines.values())

    def _arrive(self) -> Generator[Event]:
        stride = self._site.times.stride
        for job in self._load.jobs(self._arrivals, stride):
            yield self._env.timeout(max(0, job.at - self._env.now))
            outcome = Outcome(job)
            self._outcomes.append(outcome)
            self._env.process(self._call(job, outcome))

    def _call(self, job: Job, outcome: Outcome) -> Generator[Event]:
        """
        Ask a router, and once more after a refusal.
        """
        near = [each for each in self._routers if each.zone == job.zone]
        yield from self._random.choice(near).serve(job, outcome)
        if outcome.refused:
            outcome.refused = False
            pause_s = self._random.uniform(LEAST_RETURN_S, MOST_RETURN_S)
            yield self._env.timeout(pause_s)
            yield from self._random.choice(near).serve(job, outcome)

    def _due(self) -> list[tuple[Engine, HeldLayers]]:
        """
        Return the layers that engines should take now.
        """
        cards = []
        for engine in self._engines():
            if engine.card.lifetime in self._missed:
                continue
            card = as_card(self._site.rule, self._policy, engine.card)
            loading = self._loading.get(engine)
            held = loading or self._shown.get(engine)
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

    def _keep_placed(self) -> Generator[Event]:
        while True:
            yield self._env.timeout(PLANNING_INTERVAL_S)
            for engine, held in self._due():
                self._env.process(self._load_layers(engine, held))

    def _load_layers(
        self, engine: Engine, held: HeldLayers
    ) -> Generator[Event]:
        """
        Load what an engine does not hold yet.
        """
        before = engine.held or HeldLayers(0, 0, 0)
        first = max(before.first, held.first)
        kept = HeldLayers(first, max(first, min(before.end, held.end)), 0)
        share = (held.count - kept.count) / self._site.rule.layers
        self._loading[engine] = held
        life = engine.lives
        engine.hold(kept if kept.count else None)
        while kept.count < before.count and engine.memory.owners:
            yield self._env.timeout(WAKE_INTERVAL_S)
        yield self._env.timeout(self._site.times.load_s * share)
        self._loading.pop(engine, None)
        if engine.lives == life:
            engine.hold(held)
            self._shown[engine] = held

    def _strike(self, trouble: Trouble) -> Generator[Event]:
        yield self._env.timeout(trouble.at)
        engine = self._busiest(trouble.zone)
        if trouble.how == 'slow':
            engine.slowness = trouble.strength
            yield self._env.timeout(trouble.for_s)
            engine.slowness = 1
            return
        yield from self._kill(engine)
        if trouble.how == 'dies':
            yield self._env.timeout(trouble.for_s)
            engine.is_alive = True
            self._fleet.known_dead.discard(engine.card.lifetime)
            self._missed.discard(engine.card.lifetime)

    def _kill(self, engine: Engine) -> Generator[Event]:
        engine.die()
        lifetime = engine.card.lifetime
        yield self._env.timeout(self._policy.notices_s)
        for stream in self._fleet.through(lifetime):
            stream.on_cut()
        # Streams move at once; the plan allows for a slow answer.
        self._fleet.known_dead.add(lifetime)
        yield self._env.timeout(UNRESPONSIVE_GRACE_S)
        self._missed.add(lifetime)
        self._shown.pop(engine, None)
        self._loading.pop(engine, None)

    def _busiest(self, zone: str) -> Engine:
        able = [
            each
            for each in self._engines()
            if each.is_alive and zone in {'', each.card.zone}
        ]
        return max(able, key=lambda each: (each.passed, each.card.lifetime))
