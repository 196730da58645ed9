"""
The state of one stream, as frozen data.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum, unique
from typing import Any, Self

from mallowcrank.ports import Step
from mallowcrank.refusals import Ran
from mallowcrank.router.ports import Stage


@unique
class Phase(StrEnum):
    """
    What a stream waits for.
    """

    NEW = 'new'
    ROUTING = 'routing'
    WAITING = 'waiting'
    RUNNING = 'running'
    TRANSFERRING = 'transferring'
    ENDED = 'ended'


@dataclass(frozen=True, slots=True)
class Task:
    """
    What a stream has to do.

    :param stream: the stream's id.
    :param prompt: token ids.
    :param max_tokens: the bound on the answer.
    :param priority: a higher number is more urgent.
    """

    stream: str
    prompt: tuple[int, ...]
    max_tokens: int
    priority: int = 0


@dataclass(frozen=True, slots=True)
class StageState:
    """
    A stage and the KV state that the stream has there.

    :param attempt: the number of that state.
    :param held: tokens that the state holds.
    """

    stage: Stage
    attempt: int
    token_count: int = 0


@dataclass(frozen=True)
class StreamState:
    """
    All that decides a stream's next action.

    :param attempt: the highest number of a KV state so far.
    :param stages: the path; while it is being replaced, the stages that can
        go on.
    :param position: index of the stage whose step is in flight.
    :param inputs: each boundary's inputs by the layer they go into; token ids
        for layer 0, hidden states above.
    :param answer: tokens given to the caller.
    :param ran: what is known to have run; a step in flight is not counted.
    :param doubts: calls in a row without an answer for the step in flight.
    :param rebuilds: fresh states in a row without a token run.
    :param recoveries: how often a stage was replaced or rebuilt.
    :param avoid: targets that failed this stream.
    :param moving: targets that the stream should move off.
    :param source: a stage given up whose target may still export its state.
    :param fallback: the path to stay on where no other one is found.
    :param used: targets that may hold states of the stream.
    :param keeps: whether inputs above layer 0 are kept once they have run.
    """

    task: Task
    phase: Phase = Phase.NEW
    attempt: int = 0
    stages: tuple[StageState, ...] = ()
    position: int = 0
    inputs: Mapping[int, tuple[int, ...]] = field(default_factory=dict)
    answer: tuple[int, ...] = ()
    ran: Ran = Ran.NO
    lost_calls: int = 0
    rebuilds: int = 0
    recoveries: int = 0
    avoid: frozenset[str] = frozenset()
    leaving_targets: frozenset[str] = frozenset()
    source: StageState | None = None
    fallback: tuple[StageState, ...] = ()
    used_targets: frozenset[str] = frozenset()
    retains_inputs: bool = True

    @property
    def total_tokens(self) -> int:
        """
        Return the count of tokens that each layer has to have run.
        """
        return len(self.task.prompt) + len(self.answer)

    @property
    def active(self) -> StageState:
        """
        Return the stage whose step is in flight.
        """
        return self.stages[self.position]

    def evolve(self, **changes: Any) -> Self:
        """
        Return a copy with some fields changed.

        It is made for each token of each stage: `dataclasses.replace` would
        set every field anew, which takes ten times as long.
        """
        after = object.__new__(type(self))
        vars(after).update(vars(self), **changes)
        return after


def step_in_flight(state: StreamState) -> Step:
    """
    Return the step that the active stage has to run.
    """
    active = state.active
    stage = active.stage
    missing = state.total_tokens - active.token_count
    # Where inputs are not kept, only the last ones are there.
    pending = state.inputs[stage.first_layer][-missing:]
    return Step(
        stream=state.task.stream,
        attempt=active.attempt,
        token=active.token_count,
        count=len(pending),
        first_layer=stage.first_layer,
        last_layer=stage.last_layer,
        inputs=pending,
        priority=state.task.priority,
    )
