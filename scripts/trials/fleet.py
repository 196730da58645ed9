"""
A fleet of virtual engines and routers whose reports are delayed and incomplete.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from mallowcrank.routing.bound import (
    BoundEngine,
    ThroughputBound,
    Workload,
    throughput_bound,
)
from mallowcrank.routing.strategies import Blended, SelectionStrategy
from mallowcrank.settings import HostSettings
from mallowcrank.view import (
    ModelSettings,
    Peer,
    Target,
    TargetKind,
    TargetState,
    View,
    WorkspaceSettings,
)
from scripts.trials.traffic import VirtualRouter
from scripts.trials.virtual import EventLoop, VirtualEngine

MODEL = 'm'
LAYERS = 12
ZONES = ('a', 'b', 'c')
REPORT_INTERVAL_S = 1  # between views
REPORT_DELAY_S = 1  # of the loads in a view
EVENT_LOSS = 0.1  # share of the cache events that no router receives
UNLIMITED_RATE = 1e9
UNLIMITED_STREAMS = 10**6


def unlimited_workspaces(branches: Iterable[str]) -> list[WorkspaceSettings]:
    """
    Return one workspace for each branch, with limits that are never reached.
    """
    return [
        WorkspaceSettings(
            f'{name}/w',
            name,
            request_rate=UNLIMITED_RATE,
            token_rate=UNLIMITED_RATE,
            streams=UNLIMITED_STREAMS,
        )
        for name in branches
    ]


@dataclass(frozen=True)
class FleetSettings:
    """
    Settings of a virtual fleet.

    :param strategy: selects the engines.
    :param replicas: engines of each stage.
    :param stages: layer ranges that the model is split into.
    :param step_times_ms: step times in milliseconds, assigned to the engines
        round-robin.
    :param cache_prompts: prompts that an engine's cache holds.
    :param has_budget: whether retries are limited by a budget.
    """

    strategy: SelectionStrategy = field(default_factory=Blended)
    seed: int = 1
    routers: int = 6
    replicas: int = 12
    stages: int = 2
    step_times_ms: Sequence[float] = (8, 12, 24)
    slots: int = 4
    cache_prompts: int = 8
    has_budget: bool = True
    workspaces: Sequence[WorkspaceSettings] = tuple(
        unlimited_workspaces(('b',))
    )


class VirtualFleet:
    """
    Engines, which hold equal stages of the model, and routers.
    """

    def __init__(self, settings: FleetSettings) -> None:
        self.settings = settings
        self.loop = EventLoop()
        self.random = Random(settings.seed)
        self.engines = {
            target.name: VirtualEngine(
                self.loop, target, settings.cache_prompts
            )
            for target in _targets(settings)
        }
        self.routers = [
            VirtualRouter(
                self.loop,
                HostSettings(f'r{number}', ZONES[number % len(ZONES)]),
                self.engines,
                settings.strategy,
                has_budget=settings.has_budget,
            )
            for number in range(settings.routers)
        ]
        self._suspects: frozenset[str] = frozenset()
        self._published_events: dict[str, int] = {}
        self._apply_view(self._build_view())
        self.loop.call_every(REPORT_INTERVAL_S, self._report)

    def bound(self, work: Workload) -> ThroughputBound:
        """
        Return the throughput bound of the live engines.
        """
        return throughput_bound(
            LAYERS,
            [
                BoundEngine(
                    engine.target.name,
                    engine.target.first_layer,
                    engine.target.last_layer,
                    engine.target.step_ms,
                    engine.target.slots,
                    link_ms=1,
                )
                for engine in self.engines.values()
                if not engine.dead
            ],
            work,
        )

    def crash_zone(self, zone: str) -> None:
        """
        Crash all engines of an availability zone.
        """
        for engine in self.engines.values():
            if engine.target.availability_zone == zone:
                engine.crash()
                for router in self.routers:
                    router.handle_engine_crash(engine.target.name)

    def _report(self) -> None:
        view = self._build_view()
        self.loop.call_later(REPORT_DELAY_S, lambda: self._apply_view(view))
        self._publish_events()

    def _apply_view(self, view: View) -> None:
        for router in self.routers:
            router.apply_view(view)

    def _build_view(self) -> View:
        settings = self.settings
        targets = {
            name: replace(
                engine.target,
                load=engine.load,
                state=TargetState.GONE if engine.dead else TargetState.LIVE,
            )
            for name, engine in self.engines.items()
        }
        return View(
            version=1,
            targets=targets,
            models={MODEL: ModelSettings(MODEL, LAYERS)},
            workspaces={each.name: each for each in settings.workspaces},
            peers={
                f'r{number}': Peer(f'r{number}', '', 'a', '1')
                for number in range(settings.routers)
            },
        )

    def _publish_events(self) -> None:
        published_until = self.loop.now - REPORT_DELAY_S
        for name, engine in self.engines.items():
            start = self._published_events.get(name, 0)
            due = [
                each
                for at, each in engine.events[start:]
                if at <= published_until
            ]
            self._published_events[name] = start + len(due)
            received = tuple(
                each for each in due if self.random.random() > EVENT_LOSS
            )
            for router in self.routers:
                if received:
                    router.routes.apply_cache_events(
                        name, received, received[-1].number + 1
                    )


def _targets(settings: FleetSettings) -> list[Target]:
    stage_layers = LAYERS // settings.stages
    targets: list[Target] = []
    for first in range(0, LAYERS, stage_layers):
        for number in range(settings.replicas):
            step_time_ms = settings.step_times_ms[
                number % len(settings.step_times_ms)
            ]
            zone = ZONES[(number // len(settings.step_times_ms)) % len(ZONES)]
            targets.append(
                Target(
                    name=f'e{first}-{number}',
                    kind=TargetKind.ENGINE,
                    address='',
                    availability_zone=zone,
                    serves=MODEL,
                    first_layer=first,
                    last_layer=first + stage_layers - 1,
                    step_ms=step_time_ms,
                    slots=settings.slots,
                )
            )
    return targets
