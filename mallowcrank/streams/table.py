"""
The streams in flight and what they work with.
"""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial

from pykka import ActorRef

from mallowcrank.metrics import Metrics
from mallowcrank.ports import EnginePort, Failure
from mallowcrank.router.ports import RoutePort
from mallowcrank.streams.actions import Transfer
from mallowcrank.streams.costs import TransferSpeed
from mallowcrank.streams.engine_pool import EnginePool, PoolSettings
from mallowcrank.streams.keeping import (
    KEEPING_LIMITS,
    InputLedger,
    KeepingLimits,
)
from mallowcrank.streams.orders import Open, TransferEnded
from mallowcrank.streams.outlet import Ended
from mallowcrank.streams.silence import Pace, first_pace
from mallowcrank.streams.state import StreamState
from mallowcrank.timeline import Timeline
from mallowcrank.view import View

TRANSFER_THREADS = 4
PART = 'stream'


@dataclass
class Running:
    """
    One stream.

    :param waiting_since: steady time since when it has had no path.
    """

    opened: Open
    state: StreamState
    waiting_since: float | None = None


@dataclass(frozen=True)
class DriverPorts:
    """
    What the driver works with.

    :param speed: of transfers of KV state, to start from.
    :param keeping: the bound on kept inputs.
    """

    pool: PoolSettings
    routes: RoutePort
    timeline: Timeline
    metrics: Metrics
    speed: TransferSpeed = TransferSpeed()
    keeping: KeepingLimits = KEEPING_LIMITS


class StreamTable:
    """
    Holds the streams; used by the driver's thread only.
    """

    def __init__(self, ports: DriverPorts, driver: ActorRef) -> None:
        self.ports = ports
        self.pool = EnginePool(ports.pool, driver)
        self.view = View()
        self.speed = ports.speed
        self.paces: dict[str, Pace] = {}
        self.inputs = InputLedger(ports.keeping)
        self._driver = driver
        self._streams: dict[str, Running] = {}
        self._transfers = ThreadPoolExecutor(TRANSFER_THREADS)

    @property
    def now(self) -> float:
        """
        Return steady time in seconds.
        """
        return self.ports.pool.clock.steady()

    @property
    def running(self) -> tuple[Running, ...]:
        """
        Return all streams.
        """
        return tuple(self._streams.values())

    def get(self, stream: str) -> Running | None:
        """
        Return a stream that has not ended.
        """
        return self._streams.get(stream)

    def pace_of(self, target: str) -> Pace:
        """
        Return a target's measured pace, or the one that it states.
        """
        known = self.view.targets.get(target)
        step_ms = known.step_ms if known else 1
        return self.paces.get(target) or first_pace(step_ms)

    def add(self, opened: Open) -> None:
        """
        Take in a new stream.
        """
        self._streams[opened.task.stream] = Running(
            opened, StreamState(opened.task)
        )

    def end(self, running: Running, ended: Ended) -> None:
        """
        Take out a stream and tell its caller.
        """
        stream = running.opened.task.stream
        self._streams.pop(stream, None)
        self.inputs.drop(stream)
        self.ports.routes.release_path(stream)
        running.opened.outlet.put(ended)

    def ring(self, delay_s: float, message: object) -> None:
        """
        Send the driver a message after some seconds.
        """
        self.ports.pool.alarm.ring(delay_s, partial(self._tell, message))

    def note(self, request: str, what: str, target: str = '') -> None:
        """
        Put an event on the time line.
        """
        self.ports.timeline.record(PART, what, request, target)

    def start_transfer(self, stream: str, transfer: Transfer) -> None:
        """
        Move KV state between two targets, in a thread of its own.
        """
        source = self.view.targets.get(transfer.source)
        sink = self.view.targets.get(transfer.stage.target)
        if source is None or sink is None:
            self._tell(TransferEnded(stream, transfer.new_attempt, done=False))
            return
        open_engine = self.ports.pool.open_engine
        self._transfers.submit(
            self._move_state,
            (open_engine(source), open_engine(sink)),
            stream,
            transfer,
        )

    def stop(self) -> None:
        """
        Let go of the engines and the threads.
        """
        self.pool.stop()
        self._transfers.shutdown(wait=False, cancel_futures=True)

    def _move_state(
        self,
        engines: tuple[EnginePort, EnginePort],
        stream: str,
        transfer: Transfer,
    ) -> None:
        source, sink = engines
        began = self.now
        layers = (transfer.stage.first_layer, transfer.stage.last_layer)
        exported = source.export(stream, transfer.attempt, layers)
        done = not isinstance(exported, Failure) and (
            sink.import_(stream, transfer.new_attempt, exported) is None
        )
        self._tell(
            TransferEnded(
                stream,
                transfer.new_attempt,
                done=done,
                size=0 if isinstance(exported, Failure) else len(exported),
                seconds=self.now - began,
            )
        )

    def _tell(self, message: object) -> None:
        if self._driver.is_alive():
            self._driver.tell(message)
