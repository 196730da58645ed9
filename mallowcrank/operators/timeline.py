"""
The timeline over all processes: their event rings merged into one list.
"""

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any
from urllib.parse import urlencode

from cattrs import BaseValidationError

from mallowcrank.calls import fetch_json
from mallowcrank.codec import from_plain, to_plain
from mallowcrank.findings import Finding
from mallowcrank.hlc import MICROS_PER_S
from mallowcrank.operators.concurrent_calls import call_each
from mallowcrank.ports import Failure
from mallowcrank.timeline import Event, Filter, merge_rings

FETCH_TIMEOUT_S = 3


@dataclass(frozen=True)
class CollectedTimeline:
    """
    The merged timeline.

    :param events: ordered by hybrid logical time.
    :param findings: processes whose events are missing, each with the reason.
    """

    events: tuple[Event, ...]
    findings: tuple[Finding, ...]


def collect_timeline(
    processes: Sequence[str], event_filter: Filter
) -> CollectedTimeline:
    """
    Fetch the events of each process and merge them.

    :param processes: admin addresses, `IP:PORT`.
    """
    rings: list[tuple[Event, ...]] = []
    findings: list[Finding] = []
    results = call_each(
        processes, lambda address: _fetch(address, event_filter)
    )
    for ring in results.values():
        if isinstance(ring, Finding):
            findings.append(ring)
        else:
            rings.append(ring)
    return CollectedTimeline(merge_rings(rings), tuple(findings))


def _fetch(address: str, event_filter: Filter) -> tuple[Event, ...] | Finding:
    query = urlencode(to_plain(event_filter))
    answer = fetch_json(address, f'/admin/timeline?{query}', FETCH_TIMEOUT_S)
    advice = 'its events are missing; retry when it is reachable'
    if isinstance(answer, Failure):
        return Finding(address, answer.reason, advice)
    try:
        return read_events(answer)
    except (TypeError, KeyError, BaseValidationError):
        return Finding(address, 'the response is malformed', advice)


def read_events(answer: Any) -> tuple[Event, ...]:
    """
    Parse the response of `/admin/timeline`.

    :raises TypeError: when the response is not an object.
    :raises KeyError: when the response has no events.
    :raises cattrs.BaseValidationError: when an event is malformed.
    """
    return tuple(from_plain(fields, Event) for fields in answer['events'])


def format_text(events: Iterable[Event]) -> str:
    """
    Format events as one line each, with UTC times to the microsecond.
    """
    return '\n'.join(_format_line(event) for event in events)


def format_json(events: Iterable[Event]) -> str:
    """
    Format events as JSON objects, one per line.
    """
    return '\n'.join(json.dumps(to_plain(event)) for event in events)


def _format_line(event: Event) -> str:
    seconds = event.stamp.micros / MICROS_PER_S
    time = datetime.fromtimestamp(seconds, UTC).strftime('%H:%M:%S.%f')
    about = ' '.join(name for name in (event.request, event.target) if name)
    tail = f'  [{about}]' if about else ''
    return f'{time}+{event.stamp.count} {event.host} {event.part}: {event.what}{tail}'
