"""
Measures the memory of retained inputs, below and at the input limit.

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

BYTES_PER_KB = 1000
STREAMS = 64
PROMPT_TOKENS = 400
TOKENS = 100
TOKEN_ID = 97
HIDDEN_STATE_BASE = 1 << 31  # the stand-ins use 32-bit hidden states
STAGES = Stage('e1', 1, 0, 11), Stage('e2', 1, 12, 23)


def measure_states(*, at_limit: bool) -> tuple[int, int]:
    """
    Return the memory of the states of some streams.

    :param at_limit: whether the streams may not retain inputs.
    :returns: the bytes, and the number of inputs retained.
    """
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    states = [run_stream(at_limit=at_limit) for _ in range(STREAMS)]
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before, sum(map(count_retained, states))


def run_stream(*, at_limit: bool) -> StreamState:
    """
    Run a stream over two stages.

    :param at_limit: whether the stream may not retain inputs.
    """
    task = Task('s', (TOKEN_ID,) * PROMPT_TOKENS, TOKENS + 1)
    state, _ = apply_event(StreamState(task), Started())
    state, _ = apply_event(state, RouteFound(Route(STAGES)))
    if at_limit:
        state, _ = apply_event(state, InputLimitReached())
    for _ in range(TOKENS * len(STAGES)):
        state, _ = apply_event(state, _answer(state))
    return state


def _answer(state: StreamState) -> Answered:
    step = step_in_flight(state)
    # Hidden states are distinct objects, as when they are read from a call.
    hidden = tuple(
        HIDDEN_STATE_BASE + step.token + each for each in range(step.count)
    )
    is_last = state.active.stage is STAGES[-1]
    answer = StepResult(
        step.stream,
        step.attempt,
        step.token,
        step.first_layer,
        step.last_layer,
        (TOKEN_ID,) if is_last else hidden,
    )
    return Answered(state.active.stage.target, answer)


def main() -> None:
    """
    Measure streams with and without retained inputs.
    """
    with_inputs, inputs = measure_states(at_limit=False)
    without_inputs, _ = measure_states(at_limit=True)
    print(
        f'{STREAMS} streams of {PROMPT_TOKENS + TOKENS} tokens over 2 stages: '
        f'{with_inputs / BYTES_PER_KB:.0f} KB with their inputs, '
        f'{without_inputs / BYTES_PER_KB:.0f} KB without; '
        f'{(with_inputs - without_inputs) / inputs:.1f} bytes an input'
    )


if __name__ == '__main__':
    main()
