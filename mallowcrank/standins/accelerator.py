"""
A simulated accelerator that queues steps and runs them in batches.
"""

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from mallowcrank.clock import Clock
from mallowcrank.ports import Step, StepResult
from mallowcrank.standins.batching import QueuedStep, batch_seconds, pick_batch

StepFunction = Callable[[Step], StepResult]


@dataclass
class _Job:
    step: Step
    queued_step: QueuedStep
    arrived_at: float
    done: threading.Event = field(default_factory=threading.Event)
    result: StepResult | None = None


class Accelerator:
    """
    Runs queued steps in batches, in a background thread.

    :param step_ms: duration of one step through all layers held, in
        milliseconds.
    :param slots: streams that a batch can hold without slowing down.
    :param run_step: runs or refuses one step.
    """

    def __init__(
        self, step_ms: float, slots: int, run_step: StepFunction, clock: Clock
    ) -> None:
        self._step_ms = step_ms
        self._slots = slots
        self._run_step = run_step
        self._clock = clock
        self._queue: dict[int, _Job] = {}
        self._last_number = 0
        self._running_count = 0
        self._free_at = float(0)
        self._queue_changed = threading.Condition()

    @property
    def load(self) -> int:
        """
        Return the number of steps waiting or running.
        """
        return len(self._queue) + self._running_count

    def start(self) -> None:
        """
        Start the background thread.
        """
        threading.Thread(target=self._run_batches, daemon=True).start()

    def run(
        self, steps: Sequence[tuple[Step, int, float]]
    ) -> tuple[StepResult, ...]:
        """
        Run steps and wait for their results.

        :param steps: each with its number of uncached tokens and its share of
            the layers held.
        :returns: the results in the order of the steps.
        """
        with self._queue_changed:
            jobs = [self._enqueue(*each) for each in steps]
            self._queue_changed.notify()
        for queued_job in jobs:
            queued_job.done.wait()
        return tuple(job.result for job in jobs)

    def _enqueue(
        self, step: Step, uncached_tokens: int, layer_share: float
    ) -> _Job:
        self._last_number += 1
        queued_step = QueuedStep(
            self._last_number, step.priority, uncached_tokens, layer_share
        )
        job = _Job(step, queued_step, self._clock.steady())
        self._queue[self._last_number] = job
        return job

    def _run_batches(self) -> None:
        while True:
            batch = self._wait_for_batch()
            started_at = max(
                self._free_at, min(job.arrived_at for job in batch)
            )
            duration_s = batch_seconds(
                [job.queued_step for job in batch], self._step_ms, self._slots
            )
            self._free_at = started_at + duration_s
            self._finish(batch)

    def _wait_for_batch(self) -> list[_Job]:
        with self._queue_changed:
            while not self._queue:
                self._queue_changed.wait()
            queued_steps = [job.queued_step for job in self._queue.values()]
            batch = [
                self._queue.pop(each.arrival_number)
                for each in pick_batch(queued_steps, self._slots)
            ]
            self._running_count = len(batch)
        return batch

    def _finish(self, batch: list[_Job]) -> None:
        results = [self._run_step(job.step) for job in batch]
        remaining_s = self._free_at - self._clock.steady()
        if remaining_s > 0:
            self._clock.sleep(remaining_s)
        for job, result in zip(batch, results, strict=True):
            job.result = result
            job.done.set()
        self._running_count = 0
