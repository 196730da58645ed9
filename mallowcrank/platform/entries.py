"""
What replicas say of themselves: entries in the store, and reports.
"""

from collections.abc import Mapping
from typing import Any

from mallowcrank.gateway.ports import DecodeFailure, HttpCall
from mallowcrank.gateway.targets import (
    HeldLayers,
    Lifetime,
    Target,
    TargetReport,
)
from mallowcrank.platform.exchange import expect
from mallowcrank.platform.fields import (
    MalformedError,
    as_table,
    decode_table,
    number_of,
    rows_of,
    text_of,
    whole_of,
)
from mallowcrank.platform.node_settings import read_address

READY = 'ready'
DRAINING = 'draining'


def read_entry(identity: str, content: bytes) -> Target | DecodeFailure:
    """
    Decode the entry of a replica.

    :param identity: the entry's key, which stands nowhere else.
    """
    try:
        return _target(identity, decode_table(content))
    except ValueError as error:
        return DecodeFailure(str(error))


def read_report(identity: str, body: bytes) -> TargetReport | DecodeFailure:
    """
    Decode a replica's report.
    """
    try:
        return _report(identity, decode_table(body))
    except ValueError as error:
        return DecodeFailure(str(error))


def report_call(identity: str) -> HttpCall:
    """
    Ask a replica for its report.
    """
    return HttpCall('GET', '/report', headers=expect(identity))


def _target(identity: str, table: Mapping[str, Any]) -> Target:
    state = text_of(table, 'state')
    if state not in {READY, DRAINING}:
        raise MalformedError(f'no state is named {state!r}')
    return Target(
        lifetime=_lifetime(identity, table),
        service=text_of(table, 'service'),
        address=read_address(text_of(table, 'address')),
        zone=text_of(table, 'zone'),
        slots=whole_of(table, 'slots'),
        leaving=state == DRAINING,
        layers=_layers(table),
        kind=str(table.get('kind', '')),
    )


def _report(identity: str, table: Mapping[str, Any]) -> TargetReport:
    return TargetReport(
        lifetime=_lifetime(identity, table),
        pace=number_of(table, 'pace', 1),
        used=number_of(table, 'kv_used', 0),
        size=number_of(table, 'kv_total', 0),
        running=whole_of(table, 'running', 0),
        queued=whole_of(table, 'queued', 0),
        is_busy=bool(table.get('busy')),
        # In an entry, `sequence` counts writes; in a report, orders.
        orders=whole_of(table, 'sequence', 0),
        layers=_layers(table),
        stalled=tuple(map(_stalled, rows_of(table, 'stalled'))),
    )


def _stalled(row: object) -> tuple[str, str]:
    table = as_table(row, 'stalled')
    return text_of(table, 'id'), text_of(table, 'address')


def _lifetime(identity: str, table: Mapping[str, Any]) -> Lifetime:
    return Lifetime(identity, whole_of(table, 'born', 0))


def _layers(table: Mapping[str, Any]) -> HeldLayers | None:
    raw = table.get('layers')
    if not raw:
        return None
    held = as_table(raw, 'layers')
    first = whole_of(held, 'source')
    end = whole_of(held, 'to')
    if end <= first:
        return None
    return HeldLayers(first, end, whole_of(held, 'version', 0))
