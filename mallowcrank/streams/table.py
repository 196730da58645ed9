"""
The streams in flight, and the resources that they share.
"""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial

from pykka import ActorRef

from mallowcrank.metrics import Metrics
from mallowcrank.ports import EnginePort, Failure
from mallowcrank.router.ports import RoutePort
from mallowcrank.streams.actions import Transfer
from mallowcrank.streams.call_timeouts import EngineLatency, initial_latency
from mallowcrank.streams.costs import TransferSpeed
from mallowcrank.streams.driver_messages import OpenStream, TransferEnded
from mallowcrank.streams.engine_pool import EnginePool, PoolSettings
from mallowcrank.streams.retention import (
    RETENTION_LIMITS,
    InputCounter,
    RetentionLimits,
)
from mallowcrank.streams.state import StreamState
from mallowcrank.streams.token_queue import StreamEnd
from mallowcrank.timeline import Timeline
from mallowcrank.view import View

TRANSFER_THREADS = 4
PART = 'stream'


@dataclass
class ActiveStream:
    """
    A stream that has not ended.

    :param opened: the message that opened the stream.
    :param waiting_since: steady time in seconds since which the stream has had
        no path, or `None`.
    """

    opened: OpenStream
    state: StreamState
    waiting_since: float | None = None


@dataclass(frozen=True)
class DriverPorts:
    """
    Ports and settings of the driver.

    :param transfer_speed: initial estimate of the speed of KV transfers.
    :param retention: bound on retained inputs.
    """

    pool: PoolSettings
    routes: RoutePort
    timeline: Timeline
    metrics: Metrics
    transfer_speed: TransferSpeed = TransferSpeed()
    retention: RetentionLimits = RETENTION_LIMITS


class StreamTable:
    """
    Table of all streams; accessed by the driver's thread only.
    """

    def __init__(self, ports: DriverPorts, driver: ActorRef) -> None:
        self.ports = ports
        self.pool = EnginePool(ports.pool, driver)
        self.view = View()
        self.transfer_speed = ports.transfer_speed
        self.latencies: dict[str, EngineLatency] = {}
        self.input_counter = InputCounter(ports.retention)
        self._driver = driver
        self._streams: dict[str, ActiveStream] = {}
        self._transfers = ThreadPoolExecutor(TRANSFER_THREADS)

    @property
    def now(self) -> float:
        """
        Return steady time in seconds.
        """
        return self.ports.pool.clock.steady()

    @property
    def streams(self) -> tuple[ActiveStream, ...]:
        """
        Return all streams that have not ended.
        """
        return tuple(self._streams.values())

    def get(self, stream: str) -> ActiveStream | None:
        """
        Return a stream by its id, or `None` if it has ended.
        """
        return self._streams.get(stream)

    def latency_of(self, target: str) -> EngineLatency:
        """
        Return a target's measured latency, or a default from the step time that
        it announces.
        """
        announced = self.view.targets.get(target)
        step_ms = announced.step_ms if announced else 1
        return self.latencies.get(target) or initial_latency(step_ms)

    def add(self, opened: OpenStream) -> None:
        """
        Add a new stream.
        """
        self._streams[opened.task.stream] = ActiveStream(
            opened, StreamState(opened.task)
        )

    def end(self, active: ActiveStream, ended: StreamEnd) -> None:
        """
        Remove a stream and report its end to the caller.
        """
        stream = active.opened.task.stream
        self._streams.pop(stream, None)
        self.input_counter.remove(stream)
        self.ports.routes.release_path(stream)
        active.opened.token_queue.put(ended)

    def schedule(self, delay_s: float, message: object) -> None:
        """
        Send the driver a message after a delay.

        :param delay_s: seconds from now.
        """
        self.ports.pool.timer.schedule(
            delay_s, partial(self._notify_driver, message)
        )

    def record_event(self, request: str, what: str, target: str = '') -> None:
        """
        Record an event in the timeline.
        """
        self.ports.timeline.record(PART, what, request, target)

    def start_transfer(self, stream: str, transfer: Transfer) -> None:
        """
        Transfer KV state between two targets, in another thread.
        """
        source = self.view.targets.get(transfer.source)
        destination = self.view.targets.get(transfer.stage.target)
        if source is None or destination is None:
            self._notify_driver(
                TransferEnded(stream, transfer.new_attempt, done=False)
            )
            return
        open_engine = self.ports.pool.open_engine
        self._transfers.submit(
            self._transfer_state,
            (open_engine(source), open_engine(destination)),
            stream,
            transfer,
        )

    def stop(self) -> None:
        """
        Release the engines and the threads.
        """
        self.pool.stop()
        self._transfers.shutdown(wait=False, cancel_futures=True)

    def _transfer_state(
        self,
        engines: tuple[EnginePort, EnginePort],
        stream: str,
        transfer: Transfer,
    ) -> None:
        source, destination = engines
        started = self.now
        layers = (transfer.stage.first_layer, transfer.stage.last_layer)
        exported = source.export(stream, transfer.attempt, layers)
        done = not isinstance(exported, Failure) and (
            destination.import_(stream, transfer.new_attempt, exported) is None
        )
        self._notify_driver(
            TransferEnded(
                stream,
                transfer.new_attempt,
                done=done,
                size=0 if isinstance(exported, Failure) else len(exported),
                seconds=self.now - started,
            )
        )

    def _notify_driver(self, message: object) -> None:
        if self._driver.is_alive():
            self._driver.tell(message)
