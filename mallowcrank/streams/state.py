"""
Immutable state of one stream.
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
    Phase of a stream.
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
    Task of a stream.

    :param stream: the stream's id.
    :param prompt: token ids.
    :param max_tokens: maximum number of tokens in the answer.
    :param priority: a higher number is more urgent.
    """

    stream: str
    prompt: tuple[int, ...]
    max_tokens: int
    priority: int = 0


@dataclass(frozen=True, slots=True)
class StageState:
    """
    A stage, with the KV state that the stream has on its target.

    :param attempt: attempt number of the state.
    :param token_count: number of tokens in the state.
    """

    stage: Stage
    attempt: int
    token_count: int = 0


@dataclass(frozen=True)
class StreamState:
    """
    Everything that determines a stream's next action.

    :param attempt: highest attempt number of a KV state so far.
    :param stages: the path; while it is being replaced, the stages that keep
        their state.
    :param position: index of the stage whose step is in flight.
    :param inputs: retained inputs by the layer that they enter: token ids for
        layer 0, hidden states for others.
    :param answer: tokens sent to the caller.
    :param ran: whether the request ran, without the step in flight.
    :param lost_calls: consecutive calls that left the step in flight
        unanswered.
    :param rebuilds: consecutive rebuilds of KV states without a token run.
    :param recoveries: number of times that a stage was replaced or rebuilt.
    :param avoid: targets that failed this stream.
    :param leaving_targets: targets that the stream should leave.
    :param source: a replaced stage whose target may still export its state.
    :param fallback: the path to keep if no other one is found.
    :param used_targets: targets that may hold KV states of the stream.
    :param retains_inputs: whether inputs above layer 0 are retained after they
        have run.
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
        Return the number of tokens of prompt and answer so far.
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

        Copies are made for each token of each stage; `dataclasses.replace` sets
        every field and takes ten times as long.
        """
        after = object.__new__(type(self))
        vars(after).update(vars(self), **changes)
        return after


def step_in_flight(state: StreamState) -> Step:
    """
    Return the step for the active stage to run.
    """
    active = state.active
    stage = active.stage
    missing = state.total_tokens - active.token_count
    # If inputs are not retained, only the last ones are available.
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
