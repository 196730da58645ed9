"""
Measures the costs of idempotency keys, shared calls and recovery.

Run `python -m scripts.measure_requests`; it takes about half a minute. Ratios
are within one run.
"""

import json
import statistics
import threading
import time
import tracemalloc
from dataclasses import replace
from functools import partial
from types import MappingProxyType
from typing import Any

from mallowcrank.calls import HttpCaller
from mallowcrank.ports import StepResult
from mallowcrank.refusals import Ran
from mallowcrank.requests.idempotency_store import (
    Answer,
    FinishKey,
    IdempotencyStore,
)
from mallowcrank.requests.keys import Claim, StoreUsage, decide_claim, finish
from mallowcrank.router.ports import Route, Stage
from mallowcrank.streams.costs import TransferSpeed
from mallowcrank.streams.engine import CallLimits
from mallowcrank.streams.events import Answered, RouteFound, Started
from mallowcrank.streams.machine import apply_event
from mallowcrank.streams.state import StreamState, Task, step_in_flight
from scripts.fleet import Fleet
from scripts.stream_trials import (
    Trial,
    collect_token_times,
    make_route,
    open_stream,
    start_engines,
)

KEYS = 10_000
MACHINE_RUNS = 30
MACHINE_PROMPT = 100
MACHINE_TOKENS = 200
TOKEN_ID = 97
STREAMS = 64
TOKENS = 64
STEP_MS = 10
RECOVERY_STEP_MS = 20
RECOVERY_TOKENS = 60
RECOVERY_SLOTS = 4
FAULT_AT_TOKEN = 30  # tokens received when the stage fails
PROMPT_TOKENS = 400
US_PER_S = 1_000_000
STEPS_REFUSED = MappingProxyType({'fault': 'refuse', 'path': '/steps'})
STEPS_PAUSED = MappingProxyType({'fault': 'pause', 'path': '/steps'})
# Too slow for an import to be estimated as faster than a new run.
SLOW_TRANSFER = TransferSpeed(bytes_per_s=1)
FREE_TRANSFER = TransferSpeed(bytes_per_token=0, overhead_s=0)


def measure_keys() -> None:
    """
    Print the cost of a key in microseconds and bytes.
    """
    claims = [
        Claim(
            f'klang/quotes\0mc1.r1.0123456789abcdef.1800000000.{number}',
            'f' * 32,
            100,
            0,
        )
        for number in range(KEYS)
    ]
    began = time.perf_counter()
    for each in claims:
        started: Any = decide_claim(None, each, StoreUsage(0))
        finish(started.entry, Ran.YES, 100)
    pure_s = time.perf_counter() - began
    store = IdempotencyStore.start()
    answer = Answer(
        200, (('Content-Type', 'application/json'),), b'{}', Ran.YES
    )
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for each in claims:
        store.ask(each)
        store.tell(FinishKey(each.key, answer))
    store.ask(claims[0])
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    store.stop()
    store = IdempotencyStore.start()
    began = time.perf_counter()
    for each in claims:
        store.ask(each)
        store.tell(FinishKey(each.key, answer))
    store.ask(claims[0])
    actor_s = time.perf_counter() - began
    store.stop()
    print(
        f'key: decisions {pure_s / KEYS * US_PER_S:.1f} us, '
        f'with the actor {actor_s / KEYS * US_PER_S:.0f} us, '
        f'{(after - before) / KEYS:.0f} bytes without its answer'
    )


def measure_machine() -> None:
    """
    Print the cost of the state machine of a stream per step.
    """
    best = min(time_machine() for _ in range(MACHINE_RUNS))
    print(
        f'stream machine: {best * US_PER_S:.1f} us a step, '
        f'{1 / best:.0f} steps/s'
    )


def time_machine() -> float:
    """
    Run a stream over two stages.

    :returns: the processor time of one step in seconds.
    """
    stages = Stage('e1', 1, 0, 11), Stage('e2', 1, 12, 23)
    task = Task('s', (TOKEN_ID,) * MACHINE_PROMPT, MACHINE_TOKENS)
    state, _ = apply_event(StreamState(task), Started())
    state, _ = apply_event(state, RouteFound(Route(stages)))
    spent_s: float = 0
    for number in range(2 * MACHINE_TOKENS):
        step = step_in_flight(state)
        outputs = (TOKEN_ID,) if number % 2 else step.inputs
        event = Answered(
            stages[number % 2].target,
            StepResult(
                step.stream,
                step.attempt,
                step.token,
                step.first_layer,
                step.last_layer,
                outputs,
            ),  # fmt: skip
        )
        began = time.thread_time()
        state, _ = apply_event(state, event)
        spent_s += time.thread_time() - began
    return spent_s / 2 / MACHINE_TOKENS


def run_streams(trial: Trial) -> tuple[float, float]:
    """
    Run many streams at the same time.

    :returns: tokens per second, and the processor time of this process per
        token in milliseconds.
    """
    driver = trial.start()
    time.sleep(0.2)
    began, cpu = time.perf_counter(), time.process_time()
    outlets = [open_stream(driver, 8, TOKENS) for _ in range(STREAMS)]
    threads = [
        threading.Thread(target=collect_token_times, args=(each,))
        for each in outlets
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    count = STREAMS * TOKENS
    rate = count / (time.perf_counter() - began)
    cpu_ms = (time.process_time() - cpu) * 1000 / count
    driver.stop()
    return rate, cpu_ms


def measure_sharing(fleet: Fleet) -> None:
    """
    Compare shared calls with one call per step.
    """
    targets = start_engines(fleet, STEP_MS, STREAMS, (0, 11), (12, 23))
    base = Trial(targets, (make_route(*targets),))
    cases = (
        ('one call a step', CallLimits(max_calls=STREAMS, max_steps=1)),
        ('shared, 1 call in flight', CallLimits(max_calls=1)),
        ('shared, 2 calls in flight', CallLimits(max_calls=2)),
        ('shared, 4 calls in flight', CallLimits(max_calls=4)),
    )
    baseline = None
    for name, limits in cases:
        rate, cpu_ms = run_streams(replace(base, limits=limits))
        baseline = baseline or (rate, cpu_ms)
        print(
            f'{STREAMS} streams over 2 stages, {name}: {rate:.0f} tokens/s '
            f'({rate / baseline[0]:.2f} x), {cpu_ms:.3f} ms of CPU a token '
            f'({cpu_ms / baseline[1]:.2f} x)'
        )


def measure_recovery(fleet: Fleet) -> None:
    """
    Print how long a stream is interrupted when a stage fails, in steps.
    """
    targets = start_engines(
        fleet,
        RECOVERY_STEP_MS,
        RECOVERY_SLOTS,
        (0, 11),
        (12, 23),
        (12, 23),
        (0, 7),
        (8, 23),
        (12, 23),
    )
    same_first_stage = make_route(targets[0], targets[2])
    other_stages = make_route(targets[3], targets[4])
    victims = (*(targets[1],) * 4, targets[5])
    cases = (
        ('import of an export', same_first_stage, FREE_TRANSFER, STEPS_REFUSED),
        (
            'run again, stage alone',
            same_first_stage,
            SLOW_TRANSFER,
            STEPS_REFUSED,
        ),
        ('run again, all stages', other_stages, SLOW_TRANSFER, STEPS_REFUSED),
        (
            'silent for good, stage alone',
            same_first_stage,
            SLOW_TRANSFER,
            STEPS_PAUSED,
        ),
        (
            'crash, stage alone',
            same_first_stage,
            SLOW_TRANSFER,
            {'fault': 'crash'},
        ),
    )
    for victim, (name, route, speed, fault) in zip(victims, cases, strict=True):
        old = make_route(targets[0], victim)
        trial = Trial(targets, (old, route), speed=speed)
        set_fault = partial(post_fault, victim.address)
        gap_s, usual_s = interrupt_stream(
            trial, partial(set_fault, dict(fault))
        )
        print(
            f'{name}: {gap_s * 1000:.0f} ms without a token, '
            f'{(gap_s - usual_s) * 1000 / RECOVERY_STEP_MS:.1f} steps '
            f'more than the usual {usual_s * 1000:.0f} ms'
        )
        if fault['fault'] != 'crash':
            set_fault({'fault': 'none'})


def post_fault(address: str, fault: dict[str, str]) -> None:
    """
    Set the fault of a stand-in.

    A failure is ignored, because a process that crashes does not answer.
    """
    HttpCaller(address).call('POST', '/control', json.dumps(fault).encode())


def interrupt_stream(trial: Trial, fault: Any) -> tuple[float, float]:
    """
    Make a stage fail in the middle of a stream.

    :returns: the longest and the median time between tokens in seconds.
    """
    driver = trial.start()
    time.sleep(0.2)
    outlet = open_stream(driver, PROMPT_TOKENS, RECOVERY_TOKENS)
    times = collect_token_times(outlet, FAULT_AT_TOKEN, fault)
    driver.stop()
    gaps = [
        later - sooner for sooner, later in zip(times, times[1:], strict=False)
    ]
    return max(gaps), statistics.median(gaps)


def main() -> None:
    """
    Run all measurements.
    """
    measure_keys()
    measure_machine()
    with Fleet() as fleet:
        measure_sharing(fleet)
        measure_recovery(fleet)


if __name__ == '__main__':
    main()
