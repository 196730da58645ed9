"""
Explains the outcome of a request from gateways' logs.
"""

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

CONTEXT_BEFORE_S = 5.0  # earlier state changes may explain a decision
SHOWN_PATH_ENGINES = 3  # at each end of a path
# Shown in columns of their own, or equal in all lines.
HIDDEN_FIELDS = frozenset(
    ('at', 'wall_ms', 'host', 'says', 'request', 'dropped_before')
)
STATE_PREFIXES = ('placing:', 'duty:', 'store:', 'gateway:', 'desired:')
END_PREFIX = 'request: '
OUTCOMES = frozenset(('served', 'failed', 'refused', 'cut', 'rejected'))


@dataclass(frozen=True, slots=True)
class LogLine:
    """
    One line of a gateway's log.

    :param at: steady time of the host, in seconds.
    :param says: the message with its prefix.
    :param dropped: the number of lines that the gateway dropped before this
        one.
    """

    at: float
    host: str
    says: str
    fields: Mapping[str, Any]
    dropped: int = 0

    @property
    def request(self) -> str:
        """
        Return the id of the line's request; empty for a change of state.
        """
        return str(self.fields.get('request', ''))

    @property
    def age_s(self) -> float:
        """
        Return the age of the line's request, in seconds.
        """
        age_s = self.fields.get('age_s', 0)
        return age_s if isinstance(age_s, int | float) else 0

    @property
    def is_end(self) -> bool:
        """
        Return whether the line reports the outcome of a request.
        """
        return self.says.removeprefix(END_PREFIX) in OUTCOMES


@dataclass(frozen=True, slots=True)
class TimedLine:
    """
    A line with its time relative to the request's first byte.

    :param offset_s: negative for a line before the first byte.
    """

    offset_s: float
    line: LogLine


@dataclass(frozen=True, slots=True)
class Explanation:
    """
    What one gateway logged about a request, with its changes of state.

    :param dropped: the number of lines that the gateway dropped meanwhile.
    """

    request: str
    host: str
    timed_lines: tuple[TimedLine, ...]
    dropped: int

    @property
    def end(self) -> LogLine | None:
        """
        Return the last line with an outcome, or `None` if there is none.
        """
        ends = [each.line for each in self.timed_lines if each.line.is_end]
        return ends[-1] if ends else None


def read_log(lines: Iterable[str]) -> Iterable[LogLine]:
    """
    Yield the lines of gateways, skipping everything else.

    Text before the JSON object of a line, such as a log collector's time or
    name, is ignored.
    """
    for raw in lines:
        start = raw.find('{"at":')
        if start < 0:
            continue
        try:
            fields = json.loads(raw[start:])
        except ValueError:
            continue
        line = _parse_line(fields)
        if line:
            yield line


def explain(lines: Iterable[LogLine], request: str) -> tuple[Explanation, ...]:
    """
    Return an explanation from each gateway that logged the request.
    """
    by_host: dict[str, list[LogLine]] = {}
    for line in lines:
        by_host.setdefault(line.host, []).append(line)
    return tuple(
        _explain_host(host, host_lines, request)
        for host, host_lines in by_host.items()
        if any(each.request == request for each in host_lines)
    )


def format_explanation(explanation: Explanation) -> str:
    """
    Format an explanation as text, one log line per line.
    """
    rows = [f'request {explanation.request} at {explanation.host}']
    rows.extend(_format_line(each) for each in explanation.timed_lines)
    if explanation.dropped:
        rows.append(f'{explanation.dropped} lines of that time were dropped')
    rows.append(_format_end(explanation.end))
    return '\n'.join(rows)


def _parse_line(fields: Any) -> LogLine | None:
    if not isinstance(fields, dict):
        return None
    at = fields.get('at')
    if not isinstance(at, int | float):
        return None
    dropped = fields.get('dropped_before', 0)
    return LogLine(
        at=at,
        host=str(fields.get('host', '')),
        says=str(fields.get('says', '')),
        fields=fields,
        dropped=dropped if isinstance(dropped, int) else 0,
    )


def _explain_host(
    host: str, lines: Sequence[LogLine], request: str
) -> Explanation:
    request_lines = [line for line in lines if line.request == request]
    start = min(line.at - line.age_s for line in request_lines)
    end = max(line.at for line in request_lines)
    targets = _named_targets(request_lines)
    window = [
        line for line in lines if start - CONTEXT_BEFORE_S <= line.at <= end
    ]
    shown = [
        line
        for line in window
        if line.request == request or _is_relevant(line, targets)
    ]
    shown.sort(key=lambda line: line.at)
    return Explanation(
        request=request,
        host=host,
        timed_lines=tuple(TimedLine(line.at - start, line) for line in shown),
        dropped=sum(line.dropped for line in window),
    )


def _named_targets(lines: Iterable[LogLine]) -> frozenset[str]:
    """
    Return the words of a request's lines that may be names of targets.
    """
    names: set[str] = set()
    for line in lines:
        path = str(line.fields.get('path', ''))
        names.update(part.split(':')[0] for part in path.split(',') if part)
        words = str(line.fields.get('why', '')).replace(',', ' ').split()
        names.update(words)
    return frozenset(names)


def _is_relevant(line: LogLine, targets: frozenset[str]) -> bool:
    if line.request:
        return False
    if line.says.startswith(STATE_PREFIXES):
        return True
    return str(line.fields.get('target', '')) in targets


def _format_line(timed_line: TimedLine) -> str:
    line = timed_line.line
    mark = '*' if line.request else ' '
    field_texts = ' '.join(
        f'{name}={_shorten(name, field_value)}'
        for name, field_value in line.fields.items()
        if name not in HIDDEN_FIELDS
    )
    return f'{mark} {timed_line.offset_s:+9.4f} s  {line.says}  {field_texts}'.rstrip()


def _shorten(name: str, field_value: Any) -> str:
    parts = str(field_value).split(',')
    if name != 'path' or len(parts) <= 2 * SHOWN_PATH_ENGINES:
        return str(field_value)
    left_out = len(parts) - 2 * SHOWN_PATH_ENGINES
    ends = (
        *parts[:SHOWN_PATH_ENGINES],
        f'({left_out} more)',
        *parts[-SHOWN_PATH_ENGINES:],
    )
    return ','.join(ends)


def _format_end(end: LogLine | None) -> str:
    if end is None:
        return 'its end was not logged'
    outcome = end.says.removeprefix(END_PREFIX)
    fields = end.fields
    why = fields.get('why')
    cause = f': {why}' if why else ''
    sends = fields.get('sends', 0)
    ran = 'was not sent' if not sends else f'was sent {sends} times'
    refused = fields.get('refused', 0)
    return (
        f'{outcome} after {end.age_s:.3f} s{cause}; it {ran} and refused '
        f'{refused} times'
    )
