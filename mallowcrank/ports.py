"""
The ports towards the platform and the targets.

Adapters stand behind each; tests put fakes in their place. No method raises
for an outside failure: each returns a `Failure` with what is known.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from mallowcrank.refusals import Ran


@dataclass(frozen=True, slots=True)
class Failure:
    """
    The sentinel for a call that brought no answer.

    :param reason: a short sentence.
    :param ran: whether the called action took effect.
    """

    reason: str
    ran: Ran


@dataclass(frozen=True, slots=True)
class LogRecord:
    """
    One record of the platform's log.

    :param offset: its place; offsets grow by one.
    :param time: seconds since the epoch, by the log's clock.
    :param body: the record itself, a map with an `id` and a `type`.
    """

    offset: int
    time: float
    body: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class LogPage:
    """
    Records read from an offset on.

    :param first: the oldest offset still kept.
    :param next: the offset that the next record will get.
    """

    first: int
    next: int
    records: tuple[LogRecord, ...]


class LogPort(Protocol):
    """
    The platform's append-only log.
    """

    def append(self, body: Mapping[str, Any]) -> int | Failure:
        """
        Append a record and return its offset.
        """

    def read(self, offset: int, limit: int, wait_s: float) -> LogPage | Failure:
        """
        Return records from an offset on, waiting for the first one.
        """


@dataclass(frozen=True, slots=True)
class ListedHost:
    """
    One entry of the platform's host list, which lags.
    """

    name: str
    address: str
    availability_zone: str
    kind: str
    leaving: bool = False


class HostListPort(Protocol):
    """
    The platform's list of live and leaving hosts.
    """

    def read(self) -> tuple[ListedHost, ...] | Failure:
        """
        Return the list as the platform has it.
        """


@dataclass(frozen=True, slots=True)
class Step:
    """
    One step of one stream on one engine.

    :param stream: the stream's id.
    :param attempt: the attempt at building its KV state, from 1.
    :param token: index of the first token of this step.
    :param count: tokens in this step: the prompt's length at first, then 1.
    :param first_layer: the first layer to run.
    :param last_layer: the last layer to run, inclusive.
    :param inputs: token ids where `first_layer` is 0, else the hidden states
        that the stage before gave, one for each token.
    :param priority: a higher number is more urgent.
    """

    stream: str
    attempt: int
    token: int
    count: int
    first_layer: int
    last_layer: int
    inputs: tuple[int, ...]
    priority: int = 0


@dataclass(frozen=True, slots=True)
class StepResult:
    """
    An engine's answer to one step; it repeats the step's numbers.

    :param outputs: hidden states, one for each token, or after the model's
        last layer the one next token id.
    :param state: the KV state that the step extended.
    :param refused: an empty string, or why the engine did not run the step.
    """

    stream: str
    attempt: int
    token: int
    first_layer: int
    last_layer: int
    outputs: tuple[int, ...] = ()
    state: str = ''
    refused: str = ''


class EnginePort(Protocol):
    """
    A model engine.
    """

    def run(
        self, steps: Sequence[Step], timeout_s: float
    ) -> tuple[StepResult, ...] | Failure:
        """
        Run the steps of many streams in one call.
        """

    def cancel(self, streams: Sequence[tuple[str, int]]) -> Failure | None:
        """
        Forget the KV states of streams, each with its last attempt.
        """

    def export(
        self, stream: str, attempt: int, layers: tuple[int, int]
    ) -> bytes | Failure:
        """
        Return the KV state of a stream for a range of layers.
        """

    def import_(
        self, stream: str, attempt: int, exported: bytes
    ) -> Failure | None:
        """
        Take over an exported KV state.
        """
