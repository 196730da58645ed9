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
from mallowcrank.emulator.site import Site, SiteCard
from mallowcrank.gateway.targets import HeldLayers

MILLISECONDS = 1000
THOUSAND = 1000


@dataclass(eq=False, slots=True)
class Running:
    """
    A stream on one path.

    :param order: which is the newest.
    :param tokens: read and written so far; what it holds in memory.
    :param on_event: called for each event.
    :param on_cut: called when its engines give up.
    :param round: raised when it begins again; older work is void then.
    """

    order: int
    parts: tuple[PathSegment, ...]
    engines: tuple['Engine', ...]
    tokens: int
    on_event: Callable[[], None]
    on_cut: Callable[[], None]
    is_over: bool = False
    round: int = 0

    def passes(self, engine: 'Engine') -> bool:
        """
        Return whether its path has an engine.
        """
        return engine in self.engines


@dataclass(eq=False, slots=True)
class Work:
    """
    What a stream wants of one engine: to read some tokens, or to write.

    :param round: of the stream, when it began.
    :param is_last: whether reading ends with it.
    """

    stream: Running
    round: int
    reads: int = 0
    is_last: bool = True
    place: int = 0

    @property
    def is_void(self) -> bool:
        """
        Return whether its stream is over, or began again meanwhile.
        """
        return self.stream.is_over or self.round != self.stream.round

    @property
    def layers(self) -> int:
        """
        Return how many layers it runs through.
        """
        return self.stream.parts[self.place].layers

    def following(self) -> 'Engine':
        """
        Return the engine after this one: the first again after the last.
        """
        engines = self.stream.engines
        return engines[(self.place + 1) % len(engines)]


class Engine:
    """
    One engine.
    """

    def __init__(self, env: Environment, site: Site, card: SiteCard) -> None:
        self.card = card
        self.lives = 0
        self.is_alive = True
        self.slowness: float = 1
        self.preempted = 0
        self.passed = 0
        self.held: HeldLayers | None = None
        self.memory: Memory[Running] = Memory()
        self._env = env
        self._site = site
        self._kind = site.rule.kinds[card.kind]
        self._waiting: deque[Work] = deque()
        self._thrown_out: deque[Running] = deque()
        self._in_pass = False

    def hold(self, held: HeldLayers | None) -> None:
        """
        Change the layers that it holds, and so the memory for requests.
        """
        self.held = held
        count = held.count if held else 0
        self.memory.size = request_memory(self._site.rule, self._kind, count)

    def holds(self, part: PathSegment) -> bool:
        """
        Return whether it lives and holds the layers of a part.
        """
        held = self.held
        if not self.is_alive or held is None:
            return False
        return held.first <= part.first and part.end <= held.end

    def leave(self, stream: Running) -> None:
        """
        Give the memory of a stream back, and let those who wait for it in.
        """
        self.memory.give_back(stream)
        while self._thrown_out:
            waiting = self._thrown_out[0]
            if not waiting.is_over:
                if first_full(waiting):
                    return
                start(waiting, self._site.times.chunk)
            self._thrown_out.popleft()

    def grow(self, stream: Running, amount: float) -> None:
        """
        Take memory for what a stream wrote, from the newest one if need be.
        """
        if not self.memory.holds(stream):
            return
        self.memory.take(stream, amount)
        while self.memory.room < 0:
            owners = self.memory.owners
            if len(owners) == 1:
                return
            newest = max(owners, key=lambda each: each.order)
            self.preempted += 1
            stop(newest)
            self._thrown_out.append(newest)

    def die(self) -> None:
        """
        Lose all work and all layers, silently.
        """
        self.is_alive = False
        self.lives += 1
        self.hold(None)
        self.memory.clear()
        self._waiting.clear()
        self._thrown_out.clear()

    def take(self, works: list[Work]) -> None:
        """
        Take work in; a pass begins with all of it.
        """
        if self.is_alive:
            self._waiting.extend(works)
            self._begin_pass()

    def _begin_pass(self) -> None:
        if self._in_pass:
            return
        batch = self._gather()
        if batch:
            self._in_pass = True
            self.passed += len(batch)
            ended = self._env.timeout(self._pass_s(batch))
            ended.callbacks.append(lambda _: self._end_pass(batch))

    def _gather(self) -> list[Work]:
        to_read = self._site.times.chunk * self._site.times.stride
        batch: list[Work] = []
        later: list[Work] = []
        for work in self._waiting:
            if work.is_void:
                continue
            if work.reads > to_read:
                later.append(work)
            else:
                to_read -= work.reads
                batch.append(work)
        self._waiting = deque(later)
        return batch

    def _pass_s(self, batch: list[Work]) -> float:
        rule = self._site.rule
        writing = [each for each in batch if not each.reads]
        written_ms = self._written_ms(writing) * self._kind.pace
        reads = sum(each.layers * each.reads for each in batch)
        read_ms = reads * MILLISECONDS / rule.read_per_s
        pass_ms = written_ms + read_ms * self._kind.read_factor
        return pass_ms / rule.layers * self.slowness / MILLISECONDS

    def _written_ms(self, writing: list[Work]) -> float:
        rule = self._site.rule
        times = self._site.times
        most = max((each.layers for each in writing), default=0)
        step_ms = rule.step_ms * most
        for each in writing:
            context_ms = each.stream.tokens / THOUSAND * times.context_ms
            step_ms += each.layers * (rule.sequence_ms + context_ms)
        return step_ms * times.stride

    def _end_pass(self, batch: list[Work]) -> None:
        self._in_pass = False
        if not self.is_alive:
            return
        going: dict[Engine, list[Work]] = defaultdict(list)
        for work in batch:
            if not work.is_void:
                going[work.following()].append(work)
        for following, works in going.items():
            self._pass_on(following, works)
        self._begin_pass()

    def _pass_on(self, following: 'Engine', works: list[Work]) -> None:
        times = self._site.times
        is_near = following.card.zone == self.card.zone
        arrived = self._env.timeout(times.hop_s if is_near else times.away_s)
        arrived.callbacks.append(lambda _: self._hand_over(following, works))

    def _hand_over(self, following: 'Engine', works: list[Work]) -> None:
        """
        Give work to the next engine, or end its round.
        """
        staying: list[Work] = []
        for work in works:
            work.place += 1
            if work.place < len(work.stream.parts):
                staying.append(work)
            elif work.is_last and not work.is_void:
                _finish(work, self._site.times.stride)
        following.take(staying)


def first_full(stream: Running) -> Engine | None:
    """
    Return the first engine of a stream's path that has no memory for it, or
    does not hold its part.
    """
    for part, engine in zip(stream.parts, stream.engines, strict=True):
        needed = stream.tokens * part.layers
        if not engine.holds(part) or engine.memory.room < needed:
            return engine
    return None


def start(stream: Running, chunk: int) -> None:
    """
    Take memory for a stream and read its prompt, chunk after chunk.
    """
    stream.round += 1
    for part, engine in zip(stream.parts, stream.engines, strict=True):
        engine.memory.take(stream, stream.tokens * part.layers)
    works = []
    left = stream.tokens
    while left > 0:
        reads = min(chunk, left)
        left -= reads
        works.append(Work(stream, stream.round, reads, is_last=not left))
    stream.engines[0].take(works)


def stop(stream: Running) -> None:
    """
    Take a stream's work and memory off its engines.
    """
    stream.round += 1
    for engine in stream.engines:
        engine.leave(stream)


def _finish(work: Work, stride: int) -> None:
    """
    Pass an event on to the caller, and begin the next one.
    """
    stream = work.stream
    stream.on_event()
    if stream.is_over:
        return
    for part, engine in zip(stream.parts, stream.engines, strict=True):
        engine.grow(stream, stride * part.layers)
    stream.tokens += stride
    if not work.is_void:
        stream.engines[0].take([Work(stream, stream.round)])
