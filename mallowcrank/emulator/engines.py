"""
Emulated engines: batches, memory and layers.

An engine runs its queued items in batches. The duration of a batch follows
from its decode steps and prompt tokens; its items then go to the next engine
of their paths. When memory runs out, the newest stream is preempted; its
tokens are prefilled again once there is memory for it.
"""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass

from simpy import Environment

from mallowcrank.chains.engines import request_memory
from mallowcrank.chains.paths import PathSegment
from mallowcrank.emulator.memory import Memory
from mallowcrank.emulator.site import EngineSpec, Site
from mallowcrank.gateway.targets import HeldLayers

MS_PER_S = 1000
CONTEXT_UNIT_TOKENS = 1000


@dataclass(eq=False, slots=True)
class EmulatedStream:
    """
    A stream on one path.

    :param sequence_number: grows with the start of the stream; the highest
        one is preempted first.
    :param tokens: prompt and output tokens so far; all occupy memory.
    :param on_event: called for each event.
    :param on_abort: called when an engine of the path has crashed.
    :param generation: raised at each start and stop; items of an older
        generation are stale.
    """

    sequence_number: int
    path_segments: tuple[PathSegment, ...]
    engines: tuple['Engine', ...]
    tokens: int
    on_event: Callable[[], None]
    on_abort: Callable[[], None]
    is_over: bool = False
    generation: int = 0

    def uses(self, engine: 'Engine') -> bool:
        """
        Return whether the path of the stream includes an engine.
        """
        return engine in self.engines


@dataclass(eq=False, slots=True)
class WorkItem:
    """
    Work of a stream on one engine: a prefill chunk or the decoding of an event.

    :param generation: the stream's generation when the item was made.
    :param prompt_tokens: tokens of a prefill chunk; 0 to decode.
    :param is_last_chunk: whether it completes the prefill.
    :param segment_index: the segment of the path that it is at.
    """

    stream: EmulatedStream
    generation: int
    prompt_tokens: int = 0
    is_last_chunk: bool = True
    segment_index: int = 0

    @property
    def is_stale(self) -> bool:
        """
        Return whether its stream is over or was restarted since.
        """
        return self.stream.is_over or self.generation != self.stream.generation

    @property
    def layer_count(self) -> int:
        """
        Return the number of layers of its current segment.
        """
        return self.stream.path_segments[self.segment_index].layers

    def next_engine(self) -> 'Engine':
        """
        Return the next engine of the path; after the last comes the first.
        """
        engines = self.stream.engines
        return engines[(self.segment_index + 1) % len(engines)]


class Engine:
    """
    An emulated engine.
    """

    def __init__(self, env: Environment, site: Site, spec: EngineSpec) -> None:
        self.spec = spec
        self.crash_count = 0
        self.is_alive = True
        self.slow_factor: float = 1
        self.preemptions = 0
        self.processed_items = 0
        self.held_layers: HeldLayers | None = None
        self.memory: Memory[EmulatedStream] = Memory()
        self._env = env
        self._site = site
        self._accelerator = site.rule.kinds[spec.kind]
        self._queue: deque[WorkItem] = deque()
        self._preempted: deque[EmulatedStream] = deque()
        self._is_running = False

    def set_layers(self, layers: HeldLayers | None) -> None:
        """
        Change the held layers, and with them the memory left for requests.
        """
        self.held_layers = layers
        count = layers.count if layers else 0
        self.memory.size = request_memory(
            self._site.rule, self._accelerator, count
        )

    def can_run(self, segment: PathSegment) -> bool:
        """
        Return whether it is alive and holds all layers of a segment.
        """
        layers = self.held_layers
        if not self.is_alive or layers is None:
            return False
        return layers.first <= segment.first and segment.end <= layers.end

    def release(self, stream: EmulatedStream) -> None:
        """
        Free the memory of a stream and restart preempted streams that fit.
        """
        self.memory.release(stream)
        while self._preempted:
            candidate = self._preempted[0]
            if not candidate.is_over:
                if find_blocking_engine(candidate):
                    return
                start_stream(candidate, self._site.timings.chunk_tokens)
            self._preempted.popleft()

    def extend(self, stream: EmulatedStream, amount: float) -> None:
        """
        Allocate memory for generated tokens; preempt the newest streams if
        there is too little.
        """
        if not self.memory.is_owner(stream):
            return
        self.memory.allocate(stream, amount)
        while self.memory.free < 0:
            owners = self.memory.owners
            if len(owners) == 1:
                return
            newest = max(owners, key=lambda each: each.sequence_number)
            self.preemptions += 1
            stop_stream(newest)
            self._preempted.append(newest)

    def crash(self) -> None:
        """
        Lose all items, streams and layers without notice.
        """
        self.is_alive = False
        self.crash_count += 1
        self.set_layers(None)
        self.memory.clear()
        self._queue.clear()
        self._preempted.clear()

    def enqueue(self, work_items: list[WorkItem]) -> None:
        """
        Queue items and start a batch if none runs. A crashed engine drops
        them.
        """
        if self.is_alive:
            self._queue.extend(work_items)
            self._start_batch()

    def _start_batch(self) -> None:
        if self._is_running:
            return
        batch = self._take_batch()
        if batch:
            self._is_running = True
            self.processed_items += len(batch)
            completion = self._env.timeout(self._batch_duration_s(batch))
            completion.callbacks.append(lambda _: self._finish_batch(batch))

    def _take_batch(self) -> list[WorkItem]:
        token_budget = (
            self._site.timings.chunk_tokens
            * self._site.timings.tokens_per_event
        )
        batch: list[WorkItem] = []
        deferred: list[WorkItem] = []
        for item in self._queue:
            if item.is_stale:
                continue
            if item.prompt_tokens > token_budget:
                deferred.append(item)
            else:
                token_budget -= item.prompt_tokens
                batch.append(item)
        self._queue = deque(deferred)
        return batch

    def _batch_duration_s(self, batch: list[WorkItem]) -> float:
        rule = self._site.rule
        decoding = [each for each in batch if not each.prompt_tokens]
        decode_ms = self._decode_ms(decoding) * self._accelerator.pace
        prefill_layer_tokens = sum(
            each.layer_count * each.prompt_tokens for each in batch
        )
        prefill_ms = prefill_layer_tokens * MS_PER_S / rule.read_per_s
        batch_ms = decode_ms + prefill_ms * self._accelerator.read_factor
        return batch_ms / rule.layers * self.slow_factor / MS_PER_S

    def _decode_ms(self, decoding: list[WorkItem]) -> float:
        rule = self._site.rule
        timings = self._site.timings
        max_layers = max((each.layer_count for each in decoding), default=0)
        step_ms = rule.step_ms * max_layers
        for each in decoding:
            context_ms = (
                each.stream.tokens / CONTEXT_UNIT_TOKENS * timings.context_ms
            )
            step_ms += each.layer_count * (rule.sequence_ms + context_ms)
        return step_ms * timings.tokens_per_event

    def _finish_batch(self, batch: list[WorkItem]) -> None:
        self._is_running = False
        if not self.is_alive:
            return
        by_engine: dict[Engine, list[WorkItem]] = defaultdict(list)
        for item in batch:
            if not item.is_stale:
                by_engine[item.next_engine()].append(item)
        for receiver, work_items in by_engine.items():
            self._forward(receiver, work_items)
        self._start_batch()

    def _forward(self, receiver: 'Engine', work_items: list[WorkItem]) -> None:
        timings = self._site.timings
        is_near = receiver.spec.zone == self.spec.zone
        arrived = self._env.timeout(
            timings.hop_s if is_near else timings.remote_hop_s
        )
        arrived.callbacks.append(lambda _: self._deliver(receiver, work_items))

    def _deliver(self, receiver: 'Engine', work_items: list[WorkItem]) -> None:
        """
        Queue items at the next engine; emit the event of those that have
        passed their whole path.
        """
        remaining: list[WorkItem] = []
        for item in work_items:
            item.segment_index += 1
            if item.segment_index < len(item.stream.path_segments):
                remaining.append(item)
            elif item.is_last_chunk and not item.is_stale:
                _emit_event(item, self._site.timings.tokens_per_event)
        receiver.enqueue(remaining)


def find_blocking_engine(stream: EmulatedStream) -> Engine | None:
    """
    Return the first engine of a stream's path that lacks the memory for it or
    the layers of its segment.
    """
    for segment, engine in zip(
        stream.path_segments, stream.engines, strict=True
    ):
        needed = stream.tokens * segment.layers
        if not engine.can_run(segment) or engine.memory.free < needed:
            return engine
    return None


def start_stream(stream: EmulatedStream, chunk_tokens: int) -> None:
    """
    Allocate memory for a stream and queue its prefill in chunks.
    """
    stream.generation += 1
    for segment, engine in zip(
        stream.path_segments, stream.engines, strict=True
    ):
        engine.memory.allocate(stream, stream.tokens * segment.layers)
    work_items = []
    remaining = stream.tokens
    while remaining > 0:
        size = min(chunk_tokens, remaining)
        remaining -= size
        work_items.append(
            WorkItem(
                stream, stream.generation, size, is_last_chunk=not remaining
            )
        )
    stream.engines[0].enqueue(work_items)


def stop_stream(stream: EmulatedStream) -> None:
    """
    Make a stream's items stale and free its memory.
    """
    stream.generation += 1
    for engine in stream.engines:
        engine.release(stream)


def _emit_event(item: WorkItem, tokens_per_event: int) -> None:
    """
    Deliver an event to the caller and queue the decoding of the next one.
    """
    stream = item.stream
    stream.on_event()
    if stream.is_over:
        return
    for segment, engine in zip(
        stream.path_segments, stream.engines, strict=True
    ):
        engine.extend(stream, tokens_per_event * segment.layers)
    stream.tokens += tokens_per_event
    if not item.is_stale:
        stream.engines[0].enqueue([WorkItem(stream, stream.generation)])
