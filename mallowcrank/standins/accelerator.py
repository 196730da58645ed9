"""
One simulated accelerator: steps wait for it and run in batches.
"""

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from mallowcrank.clock import Clock
from mallowcrank.ports import Step, StepResult
from mallowcrank.standins.batching import QueuedStep, batch_seconds, pick_batch

RunStep = Callable[[Step], StepResult]


@dataclass
class _Job:
    step: Step
    waiting: QueuedStep
    arrived: float
    done: threading.Event = field(default_factory=threading.Event)
    outcome: StepResult | None = None


class Accelerator:
    """
    Runs waiting steps in batches, in a thread of its own.

    :param run_step: runs or refuses one step.
    """

    def __init__(
        self, step_ms: float, slots: int, run_step: RunStep, clock: Clock
    ) -> None:
        self._step_ms = step_ms
        self._slots = slots
        self._run_step = run_step
        self._clock = clock
        self._jobs: dict[int, _Job] = {}
        self._number = 0
        self._running = 0
        self._free_at = float(0)
        self._ready = threading.Condition()

    @property
    def load(self) -> int:
        """
        Return the steps that wait or run.
        """
        return len(self._jobs) + self._running

    def start(self) -> None:
        """
        Start the thread.
        """
        threading.Thread(target=self._loop, daemon=True).start()

    def run(
        self, steps: Sequence[tuple[Step, int, float]]
    ) -> tuple[StepResult, ...]:
        """
        Run steps and wait for their results.

        :param steps: each with its uncached tokens and its share of layers.
        """
        with self._ready:
            jobs = [self._add(*each) for each in steps]
            self._ready.notify()
        for waited in jobs:
            waited.done.wait()
        return tuple(job.outcome for job in jobs)

    def _add(self, step: Step, tokens: int, share: float) -> _Job:
        self._number += 1
        waiting = QueuedStep(self._number, step.priority, tokens, share)
        job = _Job(step, waiting, self._clock.steady())
        self._jobs[self._number] = job
        return job

    def _loop(self) -> None:
        while True:
            batch = self._take_batch()
            begun = max(self._free_at, min(job.arrived for job in batch))
            seconds = batch_seconds(
                [job.waiting for job in batch], self._step_ms, self._slots
            )
            self._free_at = begun + seconds
            self._finish(batch)

    def _take_batch(self) -> list[_Job]:
        with self._ready:
            while not self._jobs:
                self._ready.wait()
            waiting = [job.waiting for job in self._jobs.values()]
            batch = [
                self._jobs.pop(each.arrival_number)
                for each in pick_batch(waiting, self._slots)
            ]
            self._running = len(batch)
        return batch

    def _finish(self, batch: list[_Job]) -> None:
        outcomes = [self._run_step(job.step) for job in batch]
        left = self._free_at - self._clock.steady()
        if left > 0:
            self._clock.sleep(left)
        for job, outcome in zip(batch, outcomes, strict=True):
            job.outcome = outcome
            job.done.set()
        self._running = 0
