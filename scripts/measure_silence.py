"""
Measures how soon call timeouts detect a silent engine, and false detections.

A false detection is a busy engine whose step times out or which is given up.
Run `python -m scripts.measure_silence`; it takes about three minutes. All
figures of one step time come from the same engines in one run.
"""

import threading
import time
from collections import Counter
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from mallowcrank.router.ports import Route
from mallowcrank.streams.call_timeouts import CallTimeouts
from mallowcrank.streams.costs import TransferSpeed
from mallowcrank.streams.engine import CallLimits
from scripts.fleet import Fleet
from scripts.measure_requests import STEPS_PAUSED, interrupt_stream, post_fault
from scripts.stream_trials import (
    FixedRoutes,
    Trial,
    collect_token_times,
    make_route,
    open_stream,
    start_engines,
)

STEPS_MS = 5, 20, 50
SLOTS = 4
LOADS = 1, 8, 32  # concurrent; more than the slots wait in batches
TOKENS = 40
PROMPTS = 8, 200, 40, 400  # tokens; assigned to the streams in turn
STAGGER_S = 0.05  # so that long prompts overlap with single tokens
SILENT_RUNS = 3
SLOW_TRANSFER = TransferSpeed(bytes_per_s=1)
TIMEOUTS = (
    CallTimeouts(min_s=0.1, latency_factor=4),
    CallTimeouts(min_s=0.05, latency_factor=2),
    CallTimeouts(min_s=0.03, latency_factor=1.5),
    CallTimeouts(min_s=0.02, latency_factor=1),
)


@dataclass(frozen=True)
class CountingMetrics:
    """
    Counts the metrics of the driver.
    """

    counters: Counter[str] = field(default_factory=Counter)

    def incr(self, stat: str, count: int = 1) -> None:
        """
        Add to a counter.
        """
        self.counters[stat] += count

    def gauge(self, stat: str, value: float) -> None:
        """
        Do nothing.
        """

    def timing(self, stat: str, delta: float) -> None:
        """
        Do nothing.
        """


class CountedRoutes(FixedRoutes):
    """
    Counts answered calls and failed targets.
    """

    def __init__(
        self, routes: tuple[Route, ...], counts: CountingMetrics
    ) -> None:
        super().__init__(routes)
        self._counts = counts

    def record_success(self, target: str, seconds: float) -> None:
        """
        Count an answered call.
        """
        self._counts.incr('answered')

    def record_failure(
        self, target: str, incarnation: int, reason: str
    ) -> None:
        """
        Count a target that a stream gave up.
        """
        self._counts.incr('given up')


def run_load(trial: Trial, streams: int) -> CountingMetrics:
    """
    Run streams on healthy engines.

    :returns: the counters of the driver and the routes.
    """
    counts = CountingMetrics()
    routes = CountedRoutes(trial.routes, counts)
    driver = trial.start(routes, counts)
    time.sleep(0.2)
    threads = []
    for number in range(streams):
        outlet = open_stream(driver, PROMPTS[number % len(PROMPTS)], TOKENS)
        thread = threading.Thread(target=collect_token_times, args=(outlet,))
        thread.start()
        threads.append(thread)
        time.sleep(STAGGER_S)
    for thread in threads:
        thread.join()
    driver.stop()
    return counts


def print_load(trial: Trial, streams: int) -> None:
    """
    Print the false detections under one load.
    """
    counters = run_load(trial, streams).counters
    print(
        f'  {streams} streams: {counters["answered"]} calls answered, '
        f'{counters["steps_lost"]} steps doubted, '
        f'{counters["given up"]} given up',
        flush=True,
    )


def print_silence(trial: Trial, spare: Route, step_ms: float) -> None:
    """
    Print how long a stream is interrupted when its second stage goes silent.

    :param spare: route to use when the second stage has failed.
    """
    victim = trial.targets[1].address
    silent = replace(trial, routes=(*trial.routes, spare), speed=SLOW_TRANSFER)
    for _ in range(SILENT_RUNS):
        fault = partial(post_fault, victim, dict(STEPS_PAUSED))
        gap_s, usual_s = interrupt_stream(silent, fault)
        post_fault(victim, {'fault': 'none'})
        print(
            f'  silent for good: {gap_s * 1000:.0f} ms without a token, '
            f'{(gap_s - usual_s) * 1000 / step_ms:.1f} steps more than usual',
            flush=True,
        )


def measure(fleet: Fleet, step_ms: float) -> None:
    """
    Measure all call timeouts for one step time.
    """
    ranges: Any = (0, 11), (12, 23), (12, 23)
    targets = start_engines(fleet, step_ms, SLOTS, *ranges)
    for call_timeouts in TIMEOUTS:
        print(
            f'steps of {step_ms} ms, limit of {call_timeouts.min_s} s, '
            f'{call_timeouts.latency_factor} usual calls',
            flush=True,
        )
        trial = Trial(
            targets,
            (make_route(*targets[:2]),),
            limits=CallLimits(timeouts=call_timeouts),
        )
        for streams in LOADS:
            print_load(trial, streams)
        print_silence(trial, make_route(targets[0], targets[2]), step_ms)


def main() -> None:
    """
    Run all measurements.
    """
    with Fleet() as fleet:
        for step_ms in STEPS_MS:
            measure(fleet, step_ms)


if __name__ == '__main__':
    main()
