"""
Decodes what replicas publish: their entries in the store, and their reports.
"""

from collections.abc import Mapping
from typing import Any

from mallowcrank.gateway.addresses import parse_address
from mallowcrank.gateway.ports import DecodeFailure, HttpCall
from mallowcrank.gateway.targets import (
    HeldLayers,
    Lifetime,
    Target,
    TargetReport,
)
from mallowcrank.platform.fields import (
    MalformedError,
    as_object,
    decode_object,
    integer_field,
    list_field,
    number_field,
    text_field,
)
from mallowcrank.platform.forwarding import instance_headers

READY = 'ready'
DRAINING = 'draining'
MAX_LAYERS = 10_000  # of a model
SHOWN_CHARACTERS = 80  # of an unknown state


def read_entry(identity: str, content: bytes) -> Target | DecodeFailure:
    """
    Decode the entry of a replica.

    :param identity: the entry's key; the entry itself doesn't contain it.
    :returns: `DecodeFailure` with the first error if it is malformed.
    """
    try:
        return _decode_target(identity, decode_object(content))
    except ValueError as error:
        return DecodeFailure(str(error))


def read_report(identity: str, body: bytes) -> TargetReport | DecodeFailure:
    """
    Decode the report of a replica.

    :returns: `DecodeFailure` with the first error if it is malformed.
    """
    try:
        return _decode_report(identity, decode_object(body))
    except ValueError as error:
        return DecodeFailure(str(error))


def report_call(identity: str) -> HttpCall:
    """
    Return the request for a replica's report.
    """
    return HttpCall('GET', '/report', headers=instance_headers(identity))


def _decode_target(identity: str, body: Mapping[str, Any]) -> Target:
    state = text_field(body, 'state')
    if state not in {READY, DRAINING}:
        raise MalformedError(f'unknown state {state[:SHOWN_CHARACTERS]!r}')
    return Target(
        lifetime=_decode_lifetime(identity, body),
        service=text_field(body, 'service'),
        address=parse_address(text_field(body, 'address')),
        zone=text_field(body, 'zone'),
        slots=integer_field(body, 'slots'),
        leaving=state == DRAINING,
        layers=_decode_layers(body),
        kind=str(body.get('kind', '')),
        # In an entry, `sequence` counts writes of the entry.
        writes=_decode_writes(body.get('sequence')),
    )


def _decode_report(identity: str, body: Mapping[str, Any]) -> TargetReport:
    return TargetReport(
        lifetime=_decode_lifetime(identity, body),
        pace=number_field(body, 'pace', 1),
        used=number_field(body, 'kv_used', 0),
        size=number_field(body, 'kv_total', 0),
        running=integer_field(body, 'running', 0),
        queued=integer_field(body, 'queued', 0),
        is_busy=bool(body.get('busy')),
        # In a report, `sequence` counts placement orders.
        orders=integer_field(body, 'sequence', 0),
        layers=_decode_layers(body),
        stalled=tuple(map(_decode_stalled, list_field(body, 'stalled'))),
    )


def _decode_writes(raw: object) -> int:
    is_count = isinstance(raw, int) and not isinstance(raw, bool)
    return max(0, raw) if is_count else 0


def _decode_stalled(row: object) -> tuple[str, str]:
    stream = as_object(row, 'stalled')
    return text_field(stream, 'id'), text_field(stream, 'address')


def _decode_lifetime(identity: str, body: Mapping[str, Any]) -> Lifetime:
    return Lifetime(identity, integer_field(body, 'born', 0))


def _decode_layers(body: Mapping[str, Any]) -> HeldLayers | None:
    raw = body.get('layers')
    if not raw:
        return None
    layers = as_object(raw, 'layers')
    first = integer_field(layers, 'source')
    end = integer_field(layers, 'to')
    if end <= first:
        return None
    if end > MAX_LAYERS:
        raise MalformedError(f'no model has {end} layers')
    return HeldLayers(first, end, integer_field(layers, 'version', 0))
