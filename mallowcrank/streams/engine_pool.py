"""
The engines in use, and the steps collected for them while the driver handles
messages.
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

    :param open_engine: opens a connection to a target.
    """

    open_engine: Callable[[Target], EnginePort]
    timer: Timer
    clock: Clock
    limits: CallLimits = CallLimits()


class EnginePool:
    """
    The engines of all streams; accessed by the driver's thread only.
    """

    def __init__(self, settings: PoolSettings, driver: ActorRef) -> None:
        self._settings = settings
        self._driver = driver
        self._view = View()
        self._numbers = count()
        self._current: dict[str, tuple[Target, Engine]] = {}
        # Also engines that were removed or moved, until their calls have ended.
        self._engines: dict[int, Engine] = {}
        self._ready: dict[int, Engine] = {}
        self._states_to_free: defaultdict[str, list[tuple[str, int]]] = (
            defaultdict(list)
        )

    def add_step(self, target: str, step: Step) -> None:
        """
        Add a step to the next call to a target.
        """
        engine = self._get_or_open(target)
        if engine is None:
            lost = StepsLost(target, (step,), Ran.NO, 'the target is gone')
            self._driver.tell(lost)
            return
        engine.add_step(step)
        self._ready[engine.settings.number] = engine

    def add_free(self, target: str, stream: str, attempt: int) -> None:
        """
        Free a stream's KV states on a target with the next flush, up to an
        attempt number.
        """
        self._states_to_free[target].append((stream, attempt))

    def handle(self, message: EngineMessage) -> Outcome:
        """
        Handle the outcome of a call.

        :returns: what to report to the streams, if anything.
        """
        engine = self._engines.get(message.engine)
        if engine is None:
            return None
        self._ready[engine.settings.number] = engine
        return engine.handle(message)

    def flush(self) -> None:
        """
        Send all collected steps and requests to free states.
        """
        ready = tuple(self._ready.values())
        self._ready.clear()
        for engine in ready:
            engine.flush()
            self._stop_if_retired(engine)
        for target, streams in self._states_to_free.items():
            current = self._get_or_open(target)
            if current is not None:
                current.free_states(tuple(streams))
        self._states_to_free.clear()

    def apply_view(self, view: View, names: Iterable[str]) -> None:
        """
        Retire engines whose target was removed, has moved or restarted.

        :param names: names of the targets that changed.
        """
        self._view = view
        for name in self._current.keys() & names:
            old, engine = self._current[name]
            new = view.targets.get(name)
            if new is None or _instance_of(new) != _instance_of(old):
                self._current.pop(name)
                self._stop_if_retired(engine)

    def stop(self) -> None:
        """
        Release all threads.
        """
        for engine in self._engines.values():
            engine.stop()

    def _stop_if_retired(self, engine: Engine) -> None:
        current = self._current.get(engine.settings.target)
        is_current = current is not None and current[1] is engine
        if engine.is_idle and not is_current:
            self._engines.pop(engine.settings.number, None)
            engine.stop()

    def _get_or_open(self, name: str) -> Engine | None:
        current = self._current.get(name)
        if current is not None:
            return current[1]
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
