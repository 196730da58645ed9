"""
Reads the traces of engines and services; docs/TRACE.md describes the format.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class StepLine:
    """
    A step run by an engine.

    :param state: the KV state that the step extended.
    :param input_value: the hidden state or token id given as input for the
        last token; `input` in the trace.
    :param output: the hidden state or token id computed for the last token.
    """

    time: float
    target: str
    stream: str
    token: int
    count: int
    first_layer: int
    last_layer: int
    state: str
    input_value: str
    output: str

    @property
    def last_token(self) -> int:
        """
        Return the index of the last token of the step.
        """
        return self.token + self.count - 1


@dataclass(frozen=True, slots=True)
class ImportLine:
    """
    A KV state imported by an engine.

    :param count: the number of tokens in the state.
    :param parent: the exported state.
    """

    time: float
    target: str
    stream: str
    count: int
    first_layer: int
    last_layer: int
    state: str
    parent: str


@dataclass(frozen=True, slots=True)
class CallLine:
    """
    A call run by a service.

    :param body: the hash of the call's body.
    """

    time: float
    target: str
    request: str
    key: str
    body: str


@dataclass(frozen=True, slots=True)
class TargetEventLine:
    """
    A target's start, announcement of leaving, or stop.
    """

    time: float
    target: str
    event: str


@dataclass(frozen=True)
class Trace:
    """
    All lines by kind, in the order of the targets' files.
    """

    steps: tuple[StepLine, ...] = ()
    imports: tuple[ImportLine, ...] = ()
    calls: tuple[CallLine, ...] = ()
    target_events: tuple[TargetEventLine, ...] = ()


def read_traces(paths: Iterable[Path]) -> Trace:
    """
    Read the traces of all targets.

    :raises OSError: when a file can't be read.
    :raises ValueError: when a line is not JSON.
    """
    lines = [
        fields
        for path in paths
        for fields in read_lines(path.read_text(encoding='utf-8'))
    ]
    return parse_lines(lines)


def read_lines(text: str) -> list[dict[str, Any]]:
    """
    Read the complete lines of a file; a crash may have truncated the last one.

    :raises ValueError: when a line is not JSON.
    """
    complete = text[: text.rfind('\n') + 1]
    return [json.loads(line) for line in complete.splitlines()]


def parse_lines(lines: Iterable[Mapping[str, Any]]) -> Trace:
    """
    Group lines by kind.
    """
    steps: list[StepLine] = []
    imports: list[ImportLine] = []
    calls: list[CallLine] = []
    target_events: list[TargetEventLine] = []
    for fields in lines:
        match fields['event']:
            case 'step':
                steps.append(_make_line(StepLine, fields))
            case 'import':
                imports.append(_make_line(ImportLine, fields))
            case 'call':
                calls.append(_make_line(CallLine, fields))
            case _:
                target_events.append(_make_line(TargetEventLine, fields))
    return Trace(
        tuple(steps), tuple(imports), tuple(calls), tuple(target_events)
    )


def _make_line(line_type: Any, fields: Mapping[str, Any]) -> Any:
    renamed = {'input_value': fields.get('input'), **fields}
    return line_type(**{name: renamed[name] for name in line_type.__slots__})
