"""
Runs steps on an engine's KV states, with prefix caches.
"""

import threading
from collections.abc import Sequence
from dataclasses import replace

from mallowcrank.clock import Clock
from mallowcrank.ports import Step, StepResult
from mallowcrank.standins.accelerator import Accelerator
from mallowcrank.standins.kv import ExportedKv, KvStates
from mallowcrank.standins.loaded_model import OrderExecutor
from mallowcrank.standins.prefix_cache import (
    HIDDEN_STRUCT_CODE,
    CacheEvent,
    PrefixCache,
)
from mallowcrank.standins.settings import EngineSettings
from mallowcrank.standins.trace import Trace

STATE_IDLE_TIMEOUT_S = 60
QUIET_S = 2  # time without a step after which a leaving engine may stop


class StepRunner:
    """
    Manages the KV states, prefix caches and accelerator of one engine.

    :param prefix: prefix of the states' names.
    """

    def __init__(
        self,
        settings: EngineSettings,
        order_executor: OrderExecutor,
        trace: Trace,
        prefix: str,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._order_executor = order_executor
        self._trace = trace
        self._clock = clock
        self._lock = threading.Lock()
        self._states = KvStates(prefix)
        self._cache = PrefixCache(
            settings.cache_blocks, settings.cache_event_delay_s
        )
        self._hidden_cache = PrefixCache(
            settings.cache_blocks,
            settings.cache_event_delay_s,
            HIDDEN_STRUCT_CODE,
        )
        self._last_step_at = clock.steady()
        self._accelerator = Accelerator(
            settings.step_ms, settings.slots, self._run_step, clock
        )

    @property
    def load(self) -> int:
        """
        Return the number of steps waiting or running.
        """
        return self._accelerator.load

    @property
    def is_quiet(self) -> bool:
        """
        Return whether no step has run for a while and none is waiting.
        """
        idle_s = self._clock.steady() - self._last_step_at
        return idle_s > QUIET_S and not self.load

    def cache_events(self, number: int) -> tuple[int, tuple[CacheEvent, ...]]:
        """
        Return the published cache events from a number on.

        :returns: the number to request next, and the events.
        """
        with self._lock:
            return self._cache.events_from(number, self._clock.steady())

    def export(
        self, stream: str, attempt: int, layers: range
    ) -> ExportedKv | None:
        """
        Return a copy of some layers of a state.

        :returns: `None` if the state lacks any of the layers.
        """
        with self._lock:
            return self._states.export(stream, attempt, layers)

    def start(self) -> None:
        """
        Start the accelerator.
        """
        self._accelerator.start()

    def run(self, steps: Sequence[Step]) -> tuple[StepResult, ...]:
        """
        Run steps and wait for their results.

        :returns: the results in the order of the steps.
        """
        return self._accelerator.run([self._with_cost(step) for step in steps])

    def import_(self, stream: str, attempt: int, exported: ExportedKv) -> bool:
        """
        Import a state; return whether the import succeeded.
        """
        now = self._clock.steady()
        with self._lock:
            state = self._states.import_(stream, attempt, exported, now)
            if state is None:
                return False
            self._trace.record_import(stream, attempt, state.name, exported)
        return True

    def cancel(self, stream: str, last_attempt: int) -> None:
        """
        Free a stream's states and refuse further steps of these attempts.

        :param last_attempt: the highest attempt to cancel.
        """
        with self._lock:
            self._states.cancel(stream, last_attempt)

    def drop_events(self, count: int) -> None:
        """
        Drop the next cache events.

        :param count: number of events.
        """
        with self._lock:
            self._cache.drop_events(count)

    def expire(self) -> None:
        """
        Free idle states.
        """
        with self._lock:
            self._states.expire(self._clock.steady() - STATE_IDLE_TIMEOUT_S)

    def _with_cost(self, step: Step) -> tuple[Step, int, float]:
        layers = step.last_layer - step.first_layer + 1
        share = layers / self._order_executor.loaded_model.layer_count
        if step.token:
            return step, step.count, share
        # Cache events cover only the first layers, whose inputs are token ids.
        cache = self._hidden_cache if step.first_layer else self._cache
        with self._lock:
            cached = cache.cached_tokens(step.inputs)
            cache.store(step.inputs, self._clock.steady())
        return step, max(1, step.count - cached), share

    def _run_step(self, step: Step) -> StepResult:
        result = StepResult(
            step.stream,
            step.attempt,
            step.token,
            step.first_layer,
            step.last_layer,
        )
        held = self._order_executor.loaded_model.layers
        now = self._clock.steady()
        with self._lock:
            refusal = self._states.find_refusal(step, held)
            if refusal:
                return replace(result, refused=refusal)
            self._last_step_at = now
            outputs, state = self._states.run(
                step, self._settings.total_layers, now
            )
            self._trace.record_step(step, outputs, state)
        return replace(result, outputs=outputs, state=state)
