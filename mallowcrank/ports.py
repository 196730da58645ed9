"""
Interfaces to the platform and the targets.

Adapters implement them, and tests use fakes. No method raises an exception for
an external failure: each returns a `Failure` instead.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from mallowcrank.refusals import Ran


@dataclass(frozen=True, slots=True)
class Failure:
    """
    The result of a call that got no answer.

    :param reason: a short sentence.
    :param ran: whether the call took effect.
    """

    reason: str
    ran: Ran


@dataclass(frozen=True, slots=True)
class LogRecord:
    """
    One record of the platform's log.

    :param offset: the position in the log; offsets grow by one.
    :param time: seconds since the epoch by the log's clock.
    :param body: the record itself, a dict with an `id` and a `type`.
    """

    offset: int
    time: float
    body: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class LogPage:
    """
    Consecutive records of the log.

    :param first: the oldest offset that the log retains.
    :param next: the offset of the next record to be appended.
    :param records: the records, in the order of their offsets.
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
        Append a record.

        :returns: the offset of the record.
        """

    def read(self, offset: int, limit: int, wait_s: float) -> LogPage | Failure:
        """
        Read records, waiting for the first one if there is none yet.

        :param offset: the first offset to read.
        :param limit: the maximum of records.
        :param wait_s: seconds to wait for a record.
        """


@dataclass(frozen=True, slots=True)
class ListedHost:
    """
    One entry of the platform's host list, which may be out of date.
    """

    name: str
    address: str
    availability_zone: str
    kind: str
    leaving: bool = False


class HostListPort(Protocol):
    """
    The platform's list of hosts that are live or shutting down.
    """

    def read(self) -> tuple[ListedHost, ...] | Failure:
        """
        Return the platform's current list.
        """


@dataclass(frozen=True, slots=True)
class Step:
    """
    One step of one stream on one engine.

    :param stream: the stream's id.
    :param attempt: the number of the attempt to build its KV state, from 1.
    :param token: index of the step's first token.
    :param count: tokens in the step: the prompt's length at first, then 1.
    :param first_layer: the first layer to run.
    :param last_layer: the last layer to run, inclusive.
    :param inputs: token ids where `first_layer` is 0, else the hidden states
        that the previous stage returned, one per token.
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
    An engine's answer to one step, with the step's identifying fields.

    :param outputs: hidden states, one per token, or the next token's id after
        the model's last layer.
    :param state: the KV state that the step extended.
    :param refused: why the engine did not run the step, or an empty string.
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
        Run steps of several streams in one call.

        :param timeout_s: seconds without progress until the call fails.
        """

    def cancel(self, streams: Sequence[tuple[str, int]]) -> Failure | None:
        """
        Delete the KV states of streams.

        :param streams: the id and the last attempt of each stream.
        """

    def export(
        self, stream: str, attempt: int, layers: tuple[int, int]
    ) -> bytes | Failure:
        """
        Return the KV state of a stream for a range of layers.

        :param layers: the first and the last layer, inclusive.
        """

    def import_(
        self, stream: str, attempt: int, exported: bytes
    ) -> Failure | None:
        """
        Load an exported KV state of a stream.
        """
