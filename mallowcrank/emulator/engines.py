"""
Emulated engines: passes over waiting work, memory, layers.

An engine works in passes. A pass takes all work that waits, and lasts as
long as its writing steps and the prompt tokens that it reads. Work then goes
to the next engine of its path. Where memory runs out, the newest stream is
thrown out and read again when there is room.
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

MILLISECONDS = 1000
THOUSAND = 1000


@dataclass(eq=False, slots=True)
class EmulatedStream:
    """
    A stream on one path.

    :param order: which is the newest.
    :param tokens: read and written so far; what it holds in memory.
    :param on_event: called for each event.
    :param on_cut: called when its engines give up.
    :param round: raised when it begins again; older work is void then.
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
        Return whether its path has an engine.
        """
        return engine in self.engines


@dataclass(eq=False, slots=True)
class WorkItem:
    """
    What a stream wants of one engine: to read some tokens, or to write.

    :param round: of the stream, when it began.
    :param is_last: whether reading ends with it.
    """

    stream: EmulatedStream
    generation: int
    prompt_tokens: int = 0
    is_last_chunk: bool = True
    segment_index: int = 0

    @property
    def is_stale(self) -> bool:
        """
        Return whether its stream is over, or began again meanwhile.
        """
        return self.stream.is_over or self.generation != self.stream.generation

    @property
    def layer_count(self) -> int:
        """
        Return how many layers it runs through.
        """
        return self.stream.path_segments[self.segment_index].layers

    def next_engine(self) -> 'Engine':
        """
        Return the engine after this one: the first again after the last.
        """
        engines = self.stream.engines
        return engines[(self.segment_index + 1) % len(engines)]


class Engine:
    """
    One engine.
    """

    def __init__(self, env: Environment, site: Site, card: EngineSpec) -> None:
        self.spec = card
        self.crash_count = 0
        self.is_alive = True
        self.slow_factor: float = 1
        self.preemptions = 0
        self.processed_items = 0
        self.held_layers: HeldLayers | None = None
        self.memory: Memory[EmulatedStream] = Memory()
        self._env = env
        self._site = site
        self._accelerator = site.rule.kinds[card.kind]
        self._queue: deque[WorkItem] = deque()
        self._preempted: deque[EmulatedStream] = deque()
        self._is_running = False

    def set_layers(self, held: HeldLayers | None) -> None:
        """
        Change the layers that it holds, and so the memory for requests.
        """
        self.held_layers = held
        count = held.count if held else 0
        self.memory.size = request_memory(
            self._site.rule, self._accelerator, count
        )

    def can_run(self, part: PathSegment) -> bool:
        """
        Return whether it lives and holds the layers of a part.
        """
        held = self.held_layers
        if not self.is_alive or held is None:
            return False
        return held.first <= part.first and part.end <= held.end

    def release(self, stream: EmulatedStream) -> None:
        """
        Give the memory of a stream back, and let those who wait for it in.
        """
        self.memory.release(stream)
        while self._preempted:
            waiting = self._preempted[0]
            if not waiting.is_over:
                if find_blocking_engine(waiting):
                    return
                start_stream(waiting, self._site.timings.chunk_tokens)
            self._preempted.popleft()

    def extend(self, stream: EmulatedStream, amount: float) -> None:
        """
        Take memory for what a stream wrote, from the newest one if need be.
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
        Lose all work and all layers, silently.
        """
        self.is_alive = False
        self.crash_count += 1
        self.set_layers(None)
        self.memory.clear()
        self._queue.clear()
        self._preempted.clear()

    def enqueue(self, works: list[WorkItem]) -> None:
        """
        Take work in; a pass begins with all of it.
        """
        if self.is_alive:
            self._queue.extend(works)
            self._start_batch()

    def _start_batch(self) -> None:
        if self._is_running:
            return
        batch = self._take_batch()
        if batch:
            self._is_running = True
            self.processed_items += len(batch)
            ended = self._env.timeout(self._batch_duration_s(batch))
            ended.callbacks.append(lambda _: self._finish_batch(batch))

    def _take_batch(self) -> list[WorkItem]:
        to_read = (
            self._site.timings.chunk_tokens
            * self._site.timings.tokens_per_event
        )
        batch: list[WorkItem] = []
        later: list[WorkItem] = []
        for work in self._queue:
            if work.is_stale:
                continue
            if work.prompt_tokens > to_read:
                later.append(work)
            else:
                to_read -= work.prompt_tokens
                batch.append(work)
        self._queue = deque(later)
        return batch

    def _batch_duration_s(self, batch: list[WorkItem]) -> float:
        rule = self._site.rule
        writing = [each for each in batch if not each.prompt_tokens]
        written_ms = self._decode_ms(writing) * self._accelerator.pace
        reads = sum(each.layer_count * each.prompt_tokens for each in batch)
        read_ms = reads * MILLISECONDS / rule.read_per_s
        pass_ms = written_ms + read_ms * self._accelerator.read_factor
        return pass_ms / rule.layers * self.slow_factor / MILLISECONDS

    def _decode_ms(self, writing: list[WorkItem]) -> float:
        rule = self._site.rule
        times = self._site.timings
        most = max((each.layer_count for each in writing), default=0)
        step_ms = rule.step_ms * most
        for each in writing:
            context_ms = each.stream.tokens / THOUSAND * times.context_ms
            step_ms += each.layer_count * (rule.sequence_ms + context_ms)
        return step_ms * times.tokens_per_event

    def _finish_batch(self, batch: list[WorkItem]) -> None:
        self._is_running = False
        if not self.is_alive:
            return
        going: dict[Engine, list[WorkItem]] = defaultdict(list)
        for work in batch:
            if not work.is_stale:
                going[work.next_engine()].append(work)
        for following, works in going.items():
            self._forward(following, works)
        self._start_batch()

    def _forward(self, following: 'Engine', works: list[WorkItem]) -> None:
        times = self._site.timings
        is_near = following.spec.zone == self.spec.zone
        arrived = self._env.timeout(
            times.hop_s if is_near else times.remote_hop_s
        )
        arrived.callbacks.append(lambda _: self._deliver(following, works))

    def _deliver(self, following: 'Engine', works: list[WorkItem]) -> None:
        """
        Give work to the next engine, or end its round.
        """
        staying: list[WorkItem] = []
        for work in works:
            work.segment_index += 1
            if work.segment_index < len(work.stream.path_segments):
                staying.append(work)
            elif work.is_last_chunk and not work.is_stale:
                _emit_event(work, self._site.timings.tokens_per_event)
        following.enqueue(staying)


def find_blocking_engine(stream: EmulatedStream) -> Engine | None:
    """
    Return the first engine of a stream's path that has no memory for it, or
    does not hold its part.
    """
    for part, engine in zip(stream.path_segments, stream.engines, strict=True):
        needed = stream.tokens * part.layers
        if not engine.can_run(part) or engine.memory.free < needed:
            return engine
    return None


def start_stream(stream: EmulatedStream, chunk: int) -> None:
    """
    Take memory for a stream and read its prompt, chunk after chunk.
    """
    stream.generation += 1
    for part, engine in zip(stream.path_segments, stream.engines, strict=True):
        engine.memory.allocate(stream, stream.tokens * part.layers)
    works = []
    left = stream.tokens
    while left > 0:
        reads = min(chunk, left)
        left -= reads
        works.append(
            WorkItem(stream, stream.generation, reads, is_last_chunk=not left)
        )
    stream.engines[0].enqueue(works)


def stop_stream(stream: EmulatedStream) -> None:
    """
    Take a stream's work and memory off its engines.
    """
    stream.generation += 1
    for engine in stream.engines:
        engine.release(stream)


def _emit_event(work: WorkItem, stride: int) -> None:
    """
    Pass an event on to the caller, and begin the next one.
    """
    stream = work.stream
    stream.on_event()
    if stream.is_over:
        return
    for part, engine in zip(stream.path_segments, stream.engines, strict=True):
        engine.extend(stream, stride * part.layers)
    stream.tokens += stride
    if not work.is_stale:
        stream.engines[0].enqueue([WorkItem(stream, stream.generation)])
