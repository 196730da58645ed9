"""
Measure what kept inputs cost in memory, with the bound and without.

Run `python -m scripts.measure_keeping`; it takes a second.
"""

import tracemalloc

from mallowcrank.ports import StepResult
from mallowcrank.router.ports import Route, Stage
from mallowcrank.streams.events import (
    Answered,
    InputLimitReached,
    RouteFound,
    Started,
)
from mallowcrank.streams.machine import apply_event
from mallowcrank.streams.retention import count_retained
from mallowcrank.streams.state import StreamState, Task, step_in_flight

KILOBYTE = 1000  # bytes
STREAMS = 64
PROMPT = 400
TOKENS = 100
LETTER = 97
HIDDEN = 1 << 31  # hidden states of the stand-ins fill 32 bits
STAGES = Stage('e1', 1, 0, 11), Stage('e2', 1, 12, 23)


def trace_streams(*, crowded: bool) -> tuple[int, int]:
    """
    Return the bytes of some streams' states, and the inputs that they keep.
    """
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    states = [grow_stream(crowded=crowded) for _ in range(STREAMS)]
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before, sum(map(count_retained, states))


def grow_stream(*, crowded: bool) -> StreamState:
    """
    Run a stream over two stages.

    :param crowded: whether it may not keep inputs.
    """
    task = Task('s', (LETTER,) * PROMPT, TOKENS + 1)
    state, _ = apply_event(StreamState(task), Started())
    state, _ = apply_event(state, RouteFound(Route(STAGES)))
    if crowded:
        state, _ = apply_event(state, InputLimitReached())
    for _ in range(TOKENS * len(STAGES)):
        state, _ = apply_event(state, _answer(state))
    return state


def _answer(state: StreamState) -> Answered:
    step = step_in_flight(state)
    # No two hidden states share an object, as with those read from a call.
    hidden = tuple(HIDDEN + step.token + each for each in range(step.count))
    is_last = state.active.stage is STAGES[-1]
    answer = StepResult(
        step.stream,
        step.attempt,
        step.token,
        step.first_layer,
        step.last_layer,
        (LETTER,) if is_last else hidden,
    )
    return Answered(state.active.stage.target, answer)


def main() -> None:
    """
    Measure both.
    """
    kept, inputs = trace_streams(crowded=False)
    left, _ = trace_streams(crowded=True)
    print(
        f'{STREAMS} streams of {PROMPT + TOKENS} tokens over 2 stages: '
        f'{kept / KILOBYTE:.0f} KB with their inputs, {left / KILOBYTE:.0f} KB '
        f'without; {(kept - left) / inputs:.1f} bytes an input'
    )


if __name__ == '__main__':
    main()
