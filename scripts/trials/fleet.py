"""
A fleet of virtual engines and routers with lagging, gappy reports.
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
REPORT_S = 1  # between views
LAG_S = 1  # of the loads in a view
GAP = 0.1  # of cache events that are never told
WIDE = 1e9
WIDE_STREAMS = 10**6


def unlimited_workspaces(branches: Iterable[str]) -> list[WorkspaceSettings]:
    """
    Return one workspace a branch, with limits that are never reached.
    """
    return [
        WorkspaceSettings(
            f'{name}/w',
            name,
            request_rate=WIDE,
            token_rate=WIDE,
            streams=WIDE_STREAMS,
        )
        for name in branches
    ]


@dataclass(frozen=True)
class FleetSettings:
    """
    What a trial runs on.

    :param speeds: milliseconds of a step, in turn by engine.
    :param replicas: engines of each part of the model.
    :param parts: layer ranges that the model is split into.
    :param cache_prompts: prompts that an engine's cache holds.
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
    Engines in equal parts of the model, and routers.
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
        self._told: dict[str, int] = {}
        self._show(self._view())
        self.loop.call_every(REPORT_S, self._report)

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
        view = self._view()
        self.loop.call_later(LAG_S, lambda: self._show(view))
        self._tell_events()

    def _show(self, view: View) -> None:
        for router in self.routers:
            router.apply_view(view)

    def _view(self) -> View:
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

    def _tell_events(self) -> None:
        late = self.loop.now - LAG_S
        for name, engine in self.engines.items():
            start = self._told.get(name, 0)
            due = [each for at, each in engine.events[start:] if at <= late]
            self._told[name] = start + len(due)
            told = tuple(each for each in due if self.random.random() > GAP)
            for router in self.routers:
                if told:
                    router.routes.apply_cache_events(
                        name, told, told[-1].number + 1
                    )


def _targets(settings: FleetSettings) -> list[Target]:
    size = LAYERS // settings.stages
    targets: list[Target] = []
    for first in range(0, LAYERS, size):
        for number in range(settings.replicas):
            speed = settings.step_times_ms[number % len(settings.step_times_ms)]
            zone = ZONES[(number // len(settings.step_times_ms)) % len(ZONES)]
            targets.append(
                Target(
                    name=f'e{first}-{number}',
                    kind=TargetKind.ENGINE,
                    address='',
                    availability_zone=zone,
                    serves=MODEL,
                    first_layer=first,
                    last_layer=first + size - 1,
                    step_ms=speed,
                    slots=settings.slots,
                )
            )
    return targets
