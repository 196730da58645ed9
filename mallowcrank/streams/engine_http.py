"""
Engine port over HTTP with msgpack bodies.
"""

from collections.abc import Sequence
from operator import index
from typing import Any

import msgpack

from mallowcrank.codec import to_plain
from mallowcrank.ports import Failure, Step, StepResult
from mallowcrank.refusals import Ran
from mallowcrank.streams.engine_link import EngineLink

HTTP_OK = 200
CONTROL_TIMEOUT_S = 2
MSGPACK = 'application/msgpack'
MAX_IDLE_S = 2  # a connection idle for longer may have gone silent


class HttpEngine:
    """
    An engine that is called over persistent connections.
    """

    def __init__(self, address: str) -> None:
        self._link = EngineLink(address, MSGPACK, MAX_IDLE_S)

    def run(
        self, steps: Sequence[Step], timeout_s: float
    ) -> tuple[StepResult, ...] | Failure:
        """
        Run the steps of many streams in one call.
        """
        packed = msgpack.packb({'steps': [to_plain(step) for step in steps]})
        reply = self._link.post('/steps', packed, timeout_s)
        if isinstance(reply, Failure):
            return reply
        if reply.status == HTTP_OK:
            return _read_results(reply.body)
        if reply.headers.get('X-Ran') == Ran.NO:
            # The engine still answers, so that its KV states can be exported.
            return tuple(_refuse_step(step) for step in steps)
        return Failure(f'/steps answered {reply.status}', Ran.UNKNOWN)

    def cancel(self, streams: Sequence[tuple[str, int]]) -> Failure | None:
        """
        Free KV states of streams, each up to an attempt number.
        """
        packed = msgpack.packb({'streams': list(streams)})
        answer = self._post('/cancel', packed, CONTROL_TIMEOUT_S)
        return answer if isinstance(answer, Failure) else None

    def export(
        self, stream: str, attempt: int, layers: tuple[int, int]
    ) -> bytes | Failure:
        """
        Return the KV state of a stream for a range of layers.
        """
        payload = {
            'stream': stream,
            'attempt': attempt,
            'first_layer': layers[0],
            'last_layer': layers[1],
        }
        return self._post('/export', msgpack.packb(payload), CONTROL_TIMEOUT_S)

    def import_(
        self, stream: str, attempt: int, exported: bytes
    ) -> Failure | None:
        """
        Import an exported KV state.
        """
        packed = msgpack.packb(
            {'stream': stream, 'attempt': attempt, 'exported': exported}
        )
        answer = self._post('/import', packed, CONTROL_TIMEOUT_S)
        return answer if isinstance(answer, Failure) else None

    def _post(
        self, path: str, packed: bytes, timeout_s: float
    ) -> bytes | Failure:
        reply = self._link.post(path, packed, timeout_s)
        if isinstance(reply, Failure):
            return reply
        if reply.status != HTTP_OK:
            return Failure(f'{path} answered {reply.status}', Ran.UNKNOWN)
        return reply.body


def _read_results(packed: bytes) -> tuple[StepResult, ...] | Failure:
    try:
        answer: Any = msgpack.unpackb(packed)
    except (ValueError, msgpack.UnpackException) as error:
        return Failure(f'the answer is malformed: {error}', Ran.UNKNOWN)
    try:
        return tuple(_read_result(fields) for fields in answer['results'])
    except (KeyError, TypeError) as error:
        return Failure(f'the answer is malformed: {error}', Ran.UNKNOWN)


def _read_result(fields: dict[str, Any]) -> StepResult:
    """
    Decode one answer without the codec, which takes three times as long: there
    is an answer for each token of each stage.

    :raises TypeError: if fields are missing, unknown or of the wrong type.
    """
    outputs = tuple(map(index, fields.pop('outputs', ())))
    return StepResult(**fields, outputs=outputs)


def _refuse_step(step: Step) -> StepResult:
    return StepResult(
        step.stream,
        step.attempt,
        step.token,
        step.first_layer,
        step.last_layer,
        refused='the engine takes no calls',
    )
