"""
Measure how soon a silent engine is given up, and how often one that is only
busy is doubted or given up, by each limit of silence.

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
from scripts.measure_requests import (
    STEPS_PAUSED,
    break_stream,
    post_fault,
)
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
LOADS = 1, 8, 32  # streams at a time; more than the slots wait in batches
TOKENS = 40
PROMPTS = 8, 200, 40, 400  # tokens, in turn
STAGGER_S = 0.05  # so that long prompts come beside single tokens
SILENT_RUNS = 3
NEVER = TransferSpeed(bytes_per_s=1)
LIMITS = (
    CallTimeouts(min_s=0.1, latency_factor=4),
    CallTimeouts(min_s=0.05, latency_factor=2),
    CallTimeouts(min_s=0.03, latency_factor=1.5),
    CallTimeouts(min_s=0.02, latency_factor=1),
)


@dataclass(frozen=True)
class Counts:
    """
    Counts what the driver reports.
    """

    seen: Counter[str] = field(default_factory=Counter)

    def incr(self, stat: str, count: int = 1) -> None:
        """
        Add to a counter.
        """
        self.seen[stat] += count

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
    Counts answered calls and targets given up.
    """

    def __init__(self, routes: tuple[Route, ...], counts: Counts) -> None:
        super().__init__(routes)
        self._counts = counts

    def succeeded(self, target: str, seconds: float) -> None:
        """
        Count an answered call.
        """
        self._counts.incr('answered')

    def failed(self, target: str, incarnation: int, reason: str) -> None:
        """
        Count a stream that gave up a target.
        """
        self._counts.incr('given up')


def run_load(trial: Trial, streams: int) -> Counts:
    """
    Run streams on sound engines; return what was counted.
    """
    counts = Counts()
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
    Print the false alarms of one load.
    """
    seen = run_load(trial, streams).seen
    print(
        f'  {streams} streams: {seen["answered"]} calls answered, '
        f'{seen["steps_lost"]} steps doubted, {seen["given up"]} given up',
        flush=True,
    )


def print_silence(trial: Trial, spare: Route, step_ms: float) -> None:
    """
    Print how long a stream stands still when its second stage goes silent.
    """
    victim = trial.targets[1].address
    silent = replace(trial, routes=(*trial.routes, spare), speed=NEVER)
    for _ in range(SILENT_RUNS):
        fault = partial(post_fault, victim, dict(STEPS_PAUSED))
        gap, usual = break_stream(silent, fault)
        post_fault(victim, {'fault': 'none'})
        print(
            f'  silent for good: {gap * 1000:.0f} ms without a token, '
            f'{(gap - usual) * 1000 / step_ms:.1f} steps more than usual',
            flush=True,
        )


def measure(fleet: Fleet, step_ms: float) -> None:
    """
    Print all limits for one step time.
    """
    ranges: Any = (0, 11), (12, 23), (12, 23)
    targets = start_engines(fleet, step_ms, SLOTS, *ranges)
    for limits in LIMITS:
        print(
            f'steps of {step_ms} ms, limit of {limits.min_s} s, '
            f'{limits.latency_factor} usual calls',
            flush=True,
        )
        trial = Trial(
            targets,
            (make_route(*targets[:2]),),
            limits=CallLimits(timeouts=limits),
        )
        for streams in LOADS:
            print_load(trial, streams)
        print_silence(trial, make_route(targets[0], targets[2]), step_ms)


def main() -> None:
    """
    Measure everything.
    """
    with Fleet() as fleet:
        for step_ms in STEPS_MS:
            measure(fleet, step_ms)


if __name__ == '__main__':
    main()
