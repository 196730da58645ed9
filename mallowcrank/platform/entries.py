"""
What replicas say of themselves: entries in the store, and reports.
"""

from collections.abc import Mapping
from typing import Any

from mallowcrank.gateway.ports import HttpCall, Unreadable
from mallowcrank.gateway.targets import (
    HeldLayers,
    Lifetime,
    Target,
    TargetReport,
)
from mallowcrank.platform.exchange import instance_headers
from mallowcrank.platform.fields import (
    MalformedError,
    as_object,
    decode_object,
    integer_field,
    list_field,
    number_field,
    text_field,
)
from mallowcrank.platform.node_settings import read_address

READY = 'ready'
DRAINING = 'draining'


def read_entry(identity: str, content: bytes) -> Target | Unreadable:
    """
    Decode the entry of a replica.

    :param identity: the entry's key, which stands nowhere else.
    """
    try:
        return _decode_target(identity, decode_object(content))
    except ValueError as error:
        return Unreadable(str(error))


def read_report(identity: str, body: bytes) -> TargetReport | Unreadable:
    """
    Decode a replica's report.
    """
    try:
        return _decode_report(identity, decode_object(body))
    except ValueError as error:
        return Unreadable(str(error))


def report_call(identity: str) -> HttpCall:
    """
    Ask a replica for its report.
    """
    return HttpCall('GET', '/report', headers=instance_headers(identity))


def _decode_target(identity: str, table: Mapping[str, Any]) -> Target:
    state = text_field(table, 'state')
    if state not in {READY, DRAINING}:
        raise MalformedError(f'no state is named {state!r}')
    return Target(
        lifetime=_decode_lifetime(identity, table),
        service=text_field(table, 'service'),
        address=read_address(text_field(table, 'address')),
        zone=text_field(table, 'zone'),
        slots=integer_field(table, 'slots'),
        leaving=state == DRAINING,
        layers=_decode_layers(table),
        kind=str(table.get('kind', '')),
    )


def _decode_report(identity: str, table: Mapping[str, Any]) -> TargetReport:
    return TargetReport(
        lifetime=_decode_lifetime(identity, table),
        pace=number_field(table, 'pace', 1),
        used=number_field(table, 'kv_used', 0),
        size=number_field(table, 'kv_total', 0),
        running=integer_field(table, 'running', 0),
        queued=integer_field(table, 'queued', 0),
        is_busy=bool(table.get('busy')),
        # In an entry, `sequence` counts writes; in a report, orders.
        orders=integer_field(table, 'sequence', 0),
        layers=_decode_layers(table),
        stalled=tuple(map(_decode_stalled, list_field(table, 'stalled'))),
    )


def _decode_stalled(row: object) -> tuple[str, str]:
    table = as_object(row, 'stalled')
    return text_field(table, 'id'), text_field(table, 'address')


def _decode_lifetime(identity: str, table: Mapping[str, Any]) -> Lifetime:
    return Lifetime(identity, integer_field(table, 'born', 0))


def _decode_layers(table: Mapping[str, Any]) -> HeldLayers | None:
    raw = table.get('layers')
    if not raw:
        return None
    held = as_object(raw, 'layers')
    first = integer_field(held, 'source')
    end = integer_field(held, 'to')
    if end <= first:
        return None
    return HeldLayers(first, end, integer_field(held, 'version', 0))
