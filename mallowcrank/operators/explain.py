"""
Why a request ended as it did, from the log lines of gateways.
"""

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

CONTEXT_BEFORE_S = 5.0  # lines on beliefs that may have decided something
SHOWN_PATH_ENGINES = 3  # engines of a path at each of its ends
# Shown in the line's own columns, or the same in each line.
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

    :param at: steady seconds of its host.
    :param dropped: lines that the gateway dropped before it.
    """

    at: float
    host: str
    says: str
    fields: Mapping[str, Any]
    dropped: int = 0

    @property
    def request(self) -> str:
        """
        Return the id of the request that it tells of; empty for a belief.
        """
        return str(self.fields.get('request', ''))

    @property
    def age_s(self) -> float:
        """
        Return how old its request was.
        """
        age_s = self.fields.get('age_s', 0)
        return age_s if isinstance(age_s, int | float) else 0

    @property
    def is_end(self) -> bool:
        """
        Return whether it tells how its request ended.
        """
        return self.says.removeprefix(END_PREFIX) in OUTCOMES


@dataclass(frozen=True, slots=True)
class TimedLine:
    """
    A line with its time from the request's first byte on, in seconds.
    """

    offset_s: float
    line: LogLine


@dataclass(frozen=True, slots=True)
class Explanation:
    """
    What one gateway did with a request, and what it believed meanwhile.

    :param dropped: lines that are missing from that time.
    """

    request: str
    host: str
    timed_lines: tuple[TimedLine, ...]
    dropped: int

    @property
    def end(self) -> LogLine | None:
        """
        Return how it ended, if that was logged.
        """
        ends = [each.line for each in self.timed_lines if each.line.is_end]
        return ends[-1] if ends else None


def read_log(lines: Iterable[str]) -> Iterable[LogLine]:
    """
    Yield the lines of gateways; whatever else is there is passed over.

    A collector may have put a time or a name before each line.
    """
    for raw in lines:
        start = raw.find('{"at":')
        if start < 0:
            continue
        try:
            fields = json.loads(raw[start:])
        except ValueError:
            continue
        line = _line(fields)
        if line:
            yield line


def explain(lines: Iterable[LogLine], request: str) -> tuple[Explanation, ...]:
    """
    Return what each gateway did with a request.
    """
    by_host: dict[str, list[LogLine]] = {}
    for line in lines:
        by_host.setdefault(line.host, []).append(line)
    return tuple(
        _explain_on(host, of_host, request)
        for host, of_host in by_host.items()
        if any(each.request == request for each in of_host)
    )


def format_explanation(found: Explanation) -> str:
    """
    Lay out an explanation, a line for each moment.
    """
    rows = [f'request {found.request} at {found.host}']
    rows.extend(_moment_text(moment) for moment in found.timed_lines)
    if found.dropped:
        rows.append(f'{found.dropped} lines of that time were dropped')
    rows.append(_end_text(found.end))
    return '\n'.join(rows)


def _line(fields: Any) -> LogLine | None:
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


def _explain_on(
    host: str, lines: Sequence[LogLine], request: str
) -> Explanation:
    own = [line for line in lines if line.request == request]
    began = min(line.at - line.age_s for line in own)
    ended = max(line.at for line in own)
    targets = _targets_of(own)
    near = [
        line for line in lines if began - CONTEXT_BEFORE_S <= line.at <= ended
    ]
    shown = [
        line
        for line in near
        if line.request == request or _may_matter(line, targets)
    ]
    shown.sort(key=lambda line: line.at)
    return Explanation(
        request=request,
        host=host,
        timed_lines=tuple(TimedLine(line.at - began, line) for line in shown),
        dropped=sum(line.dropped for line in near),
    )


def _targets_of(own: Iterable[LogLine]) -> frozenset[str]:
    """
    Return the targets that a request's lines name.
    """
    names: set[str] = set()
    for line in own:
        path = str(line.fields.get('path', ''))
        names.update(part.split(':')[0] for part in path.split(',') if part)
        words = str(line.fields.get('why', '')).replace(',', ' ').split()
        names.update(words)
    return frozenset(names)


def _may_matter(line: LogLine, targets: frozenset[str]) -> bool:
    if line.request:
        return False
    if line.says.startswith(STATE_PREFIXES):
        return True
    return str(line.fields.get('target', '')) in targets


def _moment_text(moment: TimedLine) -> str:
    line = moment.line
    mark = '*' if line.request else ' '
    facts = ' '.join(
        f'{name}={_short(name, fact)}'
        for name, fact in line.fields.items()
        if name not in HIDDEN_FIELDS
    )
    return f'{mark} {moment.offset_s:+9.4f} s  {line.says}  {facts}'.rstrip()


def _short(name: str, fact: Any) -> str:
    parts = str(fact).split(',')
    if name != 'path' or len(parts) <= 2 * SHOWN_PATH_ENGINES:
        return str(fact)
    left_out = len(parts) - 2 * SHOWN_PATH_ENGINES
    ends = (
        *parts[:SHOWN_PATH_ENGINES],
        f'({left_out} more)',
        *parts[-SHOWN_PATH_ENGINES:],
    )
    return ','.join(ends)


def _end_text(end: LogLine | None) -> str:
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
