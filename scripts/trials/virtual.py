"""
Simulated engines and the event loop that runs them in virtual time.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import count

from mallowcrank.clock import FakeClock
from mallowcrank.routing.hints import CacheEvent
from mallowcrank.view import Target

PROMPT_TOKENS_PER_STEP = 16  # as the stand-in engine's
BATCH_SLOTS = 2  # ratio of a batch's capacity to the slots


class EventLoop:
    """
    Runs actions in the order of their virtual times, without waiting.
    """

    def __init__(self) -> None:
        self.clock = FakeClock(0)
        self._numbers = count()
        self._actions: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> float:
        """
        Return the virtual time in seconds.
        """
        return self.clock.seconds

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        """
        Run an action after a delay in seconds.
        """
        entry = (self.now + seconds, next(self._numbers), action)
        heapq.heappush(self._actions, entry)

    def call_every(self, seconds: float, action: Callable[[], None]) -> None:
        """
        Run an action periodically.
        """

        def run_and_reschedule() -> None:
            action()
            self.call_later(seconds, run_and_reschedule)

        self.call_later(seconds, run_and_reschedule)

    def run(self, until: float) -> None:
        """
        Run all actions up to a virtual time in seconds.
        """
        while self._actions and self._actions[0][0] <= until:
            at, _, action = heapq.heappop(self._actions)
            self.clock.seconds = at
            action()
        self.clock.seconds = until


@dataclass(order=True)
class EngineStep:
    """
    A step that waits for a batch.

    :param order: sorts by priority, then by arrival.
    :param cost: 1 for one token through all layers that the engine holds.
    :param share: part of the engine's layers that the step runs.
    :param on_done: called when its batch has finished.
    """

    order: tuple[int, int]
    cost: float = field(compare=False)
    share: float = field(compare=False)
    on_done: Callable[[], None] = field(compare=False)


class VirtualEngine:
    """
    Simulates the continuous batching and prompt cache of the stand-in engine.

    :param cache_prompts: prompts that its cache holds.
    """

    def __init__(
        self, loop: EventLoop, target: Target, cache_prompts: int
    ) -> None:
        self.target = target
        self.dead = False
        self.hits = 0
        self.prompts = 0
        self.events: list[tuple[float, CacheEvent]] = []
        self._loop = loop
        self._cache_prompts = cache_prompts
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._waiting: list[EngineStep] = []
        self._busy = False
        self._numbers = count(1)
        self._events = count(1)
        self._running = 0

    @property
    def layers(self) -> int:
        """
        Return the number of layers that it holds.
        """
        return self.target.last_layer - self.target.first_layer + 1

    @property
    def load(self) -> int:
        """
        Return the number of steps that wait or run.
        """
        return len(self._waiting) + self._running

    def prompt_cost(self, prefix: Sequence[str], tokens: int) -> float:
        """
        Return the extra cost of a prompt and add the prompt to the cache.
        """
        self.prompts += 1
        name = prefix[-1]
        if name in self._cache:
            self.hits += 1
            self._cache.move_to_end(name)
            return 0
        self._cache[name] = None
        self._record_event('stored', name)
        if len(self._cache) > self._cache_prompts:
            evicted, _ = self._cache.popitem(last=False)
            self._record_event('evicted', evicted)
        return tokens / PROMPT_TOKENS_PER_STEP

    def submit(
        self,
        cost: float,
        share: float,
        priority: int,
        on_done: Callable[[], None],
    ) -> None:
        """
        Queue a step for a batch; a dead engine never answers.
        """
        if self.dead:
            return
        order = (-priority, next(self._numbers))
        heapq.heappush(
            self._waiting, EngineStep(order, cost * share, share, on_done)
        )
        if not self._busy:
            self._busy = True
            self._loop.call_later(0, self._run_batch)

    def crash(self) -> None:
        """
        Stop answering and clear the queue and the cache.
        """
        self.dead = True
        self._waiting.clear()
        self._cache.clear()

    def _run_batch(self) -> None:
        capacity = float(self.target.slots * BATCH_SLOTS)
        batch: list[EngineStep] = []
        while self._waiting and (
            not batch or self._waiting[0].cost <= capacity
        ):
            step = heapq.heappop(self._waiting)
            capacity -= step.cost
            batch.append(step)
        if not batch or self.dead:
            self._busy = False
            return
        cost = sum(step.cost for step in batch) / self.target.slots
        factor = max(cost, *(step.share for step in batch), 0)
        self._running = len(batch)
        seconds = factor * self.target.step_ms / 1000
        self._loop.call_later(seconds, lambda: self._finish(batch))

    def _finish(self, batch: list[EngineStep]) -> None:
        self._running = 0
        if self.dead:
            return
        for step in batch:
            step.on_done()
        self._run_batch()

    def _record_event(self, kind: str, prefix: str) -> None:
        event = CacheEvent(next(self._events), kind, prefix)
        self.events.append((self._loop.now, event))
