"""
Reads the traces of engines and services. docs/TRACE.md has the format.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class StepLine:
    """
    A step that an engine ran.

    :param state: the KV state that it extended.
    :param given: the hidden state or token id that its last token came with.
    :param output: the hidden state or token id that its last token gave.
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
        Return the index of the last token that the step ran.
        """
        return self.token + self.count - 1


@dataclass(frozen=True, slots=True)
class ImportLine:
    """
    A KV state that an engine took over.

    :param count: tokens that it held.
    :param parent: the state that was exported.
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
    A call that a service ran.

    :param body: the hash of its body.
    """

    time: float
    target: str
    request: str
    key: str
    body: str


@dataclass(frozen=True, slots=True)
class TargetEventLine:
    """
    A target's start, its word that it is leaving, or its stop.
    """

    time: float
    target: str
    event: str


@dataclass(frozen=True)
class Trace:
    """
    All lines, each kind in the order of its target's file.
    """

    steps: tuple[StepLine, ...] = ()
    imports: tuple[ImportLine, ...] = ()
    calls: tuple[CallLine, ...] = ()
    target_events: tuple[TargetEventLine, ...] = ()


def read_traces(paths: Iterable[Path]) -> Trace:
    """
    Read the traces of all targets.
    """
    lines = [
        fields
        for path in paths
        for fields in read_lines(path.read_text(encoding='utf-8'))
    ]
    return parse_lines(lines)


def read_lines(text: str) -> list[dict[str, Any]]:
    """
    Read one file's whole lines; a crash may have cut the last one.
    """
    whole = text[: text.rfind('\n') + 1]
    return [json.loads(line) for line in whole.splitlines()]


def parse_lines(lines: Iterable[Mapping[str, Any]]) -> Trace:
    """
    Sort lines by kind.
    """
    steps: list[StepLine] = []
    imports: list[ImportLine] = []
    calls: list[CallLine] = []
    marks: list[TargetEventLine] = []
    for fields in lines:
        match fields['event']:
            case 'step':
                steps.append(_make_line(StepLine, fields))
            case 'import':
                imports.append(_make_line(ImportLine, fields))
            case 'call':
                calls.append(_make_line(CallLine, fields))
            case _:
                marks.append(_make_line(TargetEventLine, fields))
    return Trace(tuple(steps), tuple(imports), tuple(calls), tuple(marks))


def _make_line(kind: Any, fields: Mapping[str, Any]) -> Any:
    renamed = {'input_value': fields.get('input'), **fields}
    return kind(**{name: renamed[name] for name in kind.__slots__})
