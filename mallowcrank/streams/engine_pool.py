"""
The engines' actors, and what gathers for them while a message is handled.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

from pykka import ActorRef

from mallowcrank.clock import Clock
from mallowcrank.ports import EnginePort, Step
from mallowcrank.refusals import Ran
from mallowcrank.streams.alarm import Alarm
from mallowcrank.streams.engine_actor import (
    CallLimits,
    EngineActor,
    EngineSettings,
    ForgetStreams,
    Retire,
    RunSteps,
    StepsLost,
)
from mallowcrank.view import Target, View


@dataclass(frozen=True)
class PoolSettings:
    """
    How engines are called.

    :param open_engine: opens connections to a target.
    """

    open_engine: Callable[[Target], EnginePort]
    alarm: Alarm
    clock: Clock
    limits: CallLimits = CallLimits()


class EnginePool:
    """
    One actor for each engine that streams use.
    """

    def __init__(self, settings: PoolSettings, driver: ActorRef) -> None:
        self._settings = settings
        self._driver = driver
        self._view = View()
        self._engines: dict[str, tuple[Target, ActorRef]] = {}
        self._steps: defaultdict[str, list[Step]] = defaultdict(list)
        self._forgets: defaultdict[str, list[tuple[str, int]]] = defaultdict(
            list
        )

    def add_step(self, target: str, step: Step) -> None:
        """
        Gather a step.
        """
        self._steps[target].append(step)

    def add_forget(self, target: str, stream: str, attempt: int) -> None:
        """
        Gather a stream's end on a target.
        """
        self._forgets[target].append((stream, attempt))

    def flush(self) -> None:
        """
        Hand what has gathered to the engines' actors.
        """
        for target, steps in self._steps.items():
            self._send(target, tuple(steps))
        self._steps.clear()
        for target, streams in self._forgets.items():
            engine = self._find(target)
            if engine is not None:
                engine.tell(ForgetStreams(tuple(streams)))
        self._forgets.clear()

    def apply_view(self, view: View, names: Iterable[str]) -> None:
        """
        Retire the actors of engines that are gone or have moved.

        :param names: the targets that changed.
        """
        self._view = view
        for name in self._engines.keys() & names:
            old, engine = self._engines[name]
            new = view.targets.get(name)
            if new is None or _place(new) != _place(old):
                self._engines.pop(name)
                engine.tell(Retire())

    def stop(self) -> None:
        """
        Stop all actors.
        """
        for _, engine in self._engines.values():
            engine.stop(block=False)

    def _send(self, target: str, steps: tuple[Step, ...]) -> None:
        engine = self._find(target)
        if engine is None:
            lost = StepsLost(target, steps, Ran.NO, 'the target is gone')
            self._driver.tell(lost)
            return
        engine.tell(RunSteps(steps))

    def _find(self, name: str) -> ActorRef | None:
        known = self._engines.get(name)
        if known is not None:
            return known[1]
        target = self._view.targets.get(name)
        if target is None:
            return None
        engine = EngineActor.start(
            EngineSettings(
                target=name,
                step_ms=target.step_ms,
                open_port=partial(self._settings.open_engine, target),
                limits=self._settings.limits,
            ),
            self._driver,
            self._settings.alarm,
            self._settings.clock,
        )
        self._engines[name] = target, engine
        return engine


def _place(target: Target) -> tuple[str, int]:
    return target.address, target.incarnation
