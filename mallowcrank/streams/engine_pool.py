"""
The engines, and what gathers for them while messages are handled.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from itertools import count

from pykka import ActorRef

from mallowcrank.clock import Clock
from mallowcrank.ports import EnginePort, Step
from mallowcrank.refusals import Ran
from mallowcrank.streams.engine import (
    CallLimits,
    Engine,
    EngineMessage,
    EngineSettings,
    Outcome,
    StepsLost,
)
from mallowcrank.streams.timer import Timer
from mallowcrank.view import Target, View


@dataclass(frozen=True)
class PoolSettings:
    """
    How engines are called.

    :param open_engine: opens connections to a target.
    """

    open_engine: Callable[[Target], EnginePort]
    timer: Timer
    clock: Clock
    limits: CallLimits = CallLimits()


class EnginePool:
    """
    The engines that streams use; used by the driver's thread only.
    """

    def __init__(self, settings: PoolSettings, driver: ActorRef) -> None:
        self._settings = settings
        self._driver = driver
        self._view = View()
        self._numbers = count()
        self._current: dict[str, tuple[Target, Engine]] = {}
        # Those that are gone or have moved stay until their calls have ended.
        self._engines: dict[int, Engine] = {}
        self._ready: dict[int, Engine] = {}
        self._states_to_free: defaultdict[str, list[tuple[str, int]]] = (
            defaultdict(list)
        )

    def add_step(self, target: str, step: Step) -> None:
        """
        Gather a step.
        """
        engine = self._find(target)
        if engine is None:
            lost = StepsLost(target, (step,), Ran.NO, 'the target is gone')
            self._driver.tell(lost)
            return
        engine.add_step(step)
        self._ready[engine.settings.number] = engine

    def add_free(self, target: str, stream: str, attempt: int) -> None:
        """
        Gather a stream's end on a target.
        """
        self._states_to_free[target].append((stream, attempt))

    def handle(self, message: EngineMessage) -> Outcome:
        """
        Take in what became of a call.

        :returns: what its streams have to be told, if anything.
        """
        engine = self._engines.get(message.engine)
        if engine is None:
            return None
        self._ready[engine.settings.number] = engine
        return engine.handle(message)

    def flush(self) -> None:
        """
        Send what has gathered.
        """
        ready = tuple(self._ready.values())
        self._ready.clear()
        for engine in ready:
            engine.flush()
            self._drop_retired(engine)
        for target, streams in self._states_to_free.items():
            found = self._find(target)
            if found is not None:
                found.free_states(tuple(streams))
        self._states_to_free.clear()

    def apply_view(self, view: View, names: Iterable[str]) -> None:
        """
        Retire the engines that are gone or have moved.

        :param names: the targets that changed.
        """
        self._view = view
        for name in self._current.keys() & names:
            old, engine = self._current[name]
            new = view.targets.get(name)
            if new is None or _instance_of(new) != _instance_of(old):
                self._current.pop(name)
                self._drop_retired(engine)

    def stop(self) -> None:
        """
        Let go of all threads.
        """
        for engine in self._engines.values():
            engine.stop()

    def _drop_retired(self, engine: Engine) -> None:
        current = self._current.get(engine.settings.target)
        is_current = current is not None and current[1] is engine
        if engine.is_idle and not is_current:
            self._engines.pop(engine.settings.number, None)
            engine.stop()

    def _find(self, name: str) -> Engine | None:
        known = self._current.get(name)
        if known is not None:
            return known[1]
        target = self._view.targets.get(name)
        return None if target is None else self._open(target)

    def _open(self, target: Target) -> Engine:
        engine = Engine(
            EngineSettings(
                target=target.name,
                number=next(self._numbers),
                step_ms=target.step_ms,
                open_port=partial(self._settings.open_engine, target),
                limits=self._settings.limits,
            ),
            self._notify_driver,
            self._settings.timer,
            self._settings.clock,
        )
        self._current[target.name] = target, engine
        self._engines[engine.settings.number] = engine
        return engine

    def _notify_driver(self, message: EngineMessage) -> None:
        if self._driver.is_alive():
            self._driver.tell(message)


def _instance_of(target: Target) -> tuple[str, int]:
    return target.address, target.incarnation
