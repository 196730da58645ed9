"""
Decodes the operator's desired state from its record in the store.
"""

from collections import defaultdict
from collections.abc import Mapping
from typing import Any

from mallowcrank.gateway.desired import (
    Accelerator,
    Desired,
    EngineRule,
    Limits,
    Repeat,
    RouteRule,
    ServiceRule,
    Share,
    Workspace,
)
from mallowcrank.gateway.ports import DecodeFailure
from mallowcrank.platform.fields import (
    MalformedError,
    as_object,
    decode_object,
    integer_field,
    list_field,
    number_field,
    text_field,
)

MS_PER_S = 1000
LOWEST_PRIORITY = 9
NO_GAP_OBJECTIVE_MS = 0


def read_desired(body: bytes) -> Desired | DecodeFailure:
    """
    Decode a version of the desired state.

    :returns: `DecodeFailure` with the first error if it is malformed.
    """
    try:
        return _decode_desired(decode_object(body))
    except MalformedError as error:
        return DecodeFailure(str(error))


def _decode_desired(body: Mapping[str, Any]) -> Desired:
    services = [
        _decode_service(as_object(row, 'service'))
        for row in list_field(body, 'services')
    ]
    return Desired(
        version=integer_field(body, 'version'),
        routes=_decode_routes(body),
        services={service.name: service for service in services},
        limits=_decode_limits(as_object(body.get('limits', {}), 'limits')),
        workspaces=_decode_workspaces(body),
    )


def _decode_routes(
    body: Mapping[str, Any],
) -> Mapping[str, tuple[RouteRule, ...]]:
    by_host: dict[str, list[RouteRule]] = defaultdict(list)
    for row in list_field(body, 'routes'):
        route = _decode_route(as_object(row, 'route'))
        by_host[route.host].append(route)
    return {
        host: tuple(sorted(routes, key=_longest_prefix_first))
        for host, routes in by_host.items()
    }


def _longest_prefix_first(route: RouteRule) -> int:
    return -len(route.prefix)


def _decode_route(row: Mapping[str, Any]) -> RouteRule:
    kind = text_field(row, 'kind')
    return RouteRule(
        name=text_field(row, 'name'),
        host=text_field(row, 'hostname').lower(),
        prefix=text_field(row, 'path_prefix'),
        repeat=_repeat_rule(kind, bool(row.get('stream_resume'))),
        streams=kind == 'streaming',
        timeout_s=number_field(row, 'timeout_ms') / MS_PER_S,
        latency_objective_s=number_field(row, 'target_latency_ms', 0)
        / MS_PER_S,
        event_gap_objective_s=number_field(
            row, 'gap_target_ms', NO_GAP_OBJECTIVE_MS
        )
        / MS_PER_S,
        priority=integer_field(row, 'priority', LOWEST_PRIORITY),
        shares=_decode_shares(row),
        max_sends=max(1, integer_field(row, 'max_attempts', 1)),
        allows_anonymous=bool(row.get('auth_exempt')),
    )


def _repeat_rule(kind: str, resumes: bool) -> Repeat:
    if kind == 'safe':
        return Repeat.ANY
    if kind == 'streaming' and resumes:
        return Repeat.RESUMED
    return Repeat.ONCE


def _decode_shares(row: Mapping[str, Any]) -> tuple[Share, ...]:
    split_rows = list_field(row, 'traffic_split')
    if not split_rows:
        return (Share(text_field(row, 'service'), 1),)
    shares = [as_object(each, 'traffic_split') for each in split_rows]
    return tuple(
        Share(text_field(each, 'service'), number_field(each, 'weight'))
        for each in shares
    )


def _decode_service(row: Mapping[str, Any]) -> ServiceRule:
    engine = row.get('engine')
    return ServiceRule(
        name=text_field(row, 'name'),
        health_path=text_field(row, 'health_path'),
        max_connections=integer_field(row, 'max_connections', 0),
        engine=_decode_engine(as_object(engine, 'engine')) if engine else None,
    )


def _decode_engine(row: Mapping[str, Any]) -> EngineRule | None:
    if 'layers' not in row:
        return None
    usage = as_object(row.get('usual', {}), 'usual')
    kinds = [as_object(each, 'kind') for each in list_field(row, 'kinds')]
    return EngineRule(
        layers=integer_field(row, 'layers'),
        layer_mb=number_field(row, 'layer_mb'),
        token_bytes=number_field(row, 'kv_token_bytes'),
        step_ms=number_field(row, 'step_ms'),
        sequence_ms=number_field(row, 'per_seq_ms', 0),
        read_per_s=number_field(row, 'read_per_s'),
        typical_prompt_tokens=number_field(usage, 'prompt', 0),
        mean_output_tokens=number_field(usage, 'answer', 0),
        hop_bytes=number_field(row, 'activation_bytes', 0),
        pipe_mbps=number_field(row, 'pipe_mbps', 0),
        slots=integer_field(row, 'slots', 0),
        kinds={
            text_field(each, 'name'): _decode_accelerator(each)
            for each in kinds
        },
    )


def _decode_accelerator(row: Mapping[str, Any]) -> Accelerator:
    return Accelerator(
        size_mb=number_field(row, 'size_mb'),
        pace=number_field(row, 'pace', 1),
        read_factor=number_field(row, 'read_factor', 1),
    )


def _decode_limits(row: Mapping[str, Any]) -> Limits:
    defaults = Limits()
    return Limits(
        header_bytes=integer_field(
            row, 'max_header_bytes', defaults.header_bytes
        ),
        body_bytes=integer_field(row, 'max_body_bytes', defaults.body_bytes),
        header_s=_decode_timeout_s(row, 'header_timeout_ms', defaults.header_s),
        idle_s=_decode_timeout_s(row, 'idle_timeout_ms', defaults.idle_s),
    )


def _decode_timeout_s(
    row: Mapping[str, Any], name: str, default_s: float
) -> float:
    return number_field(row, name, default_s * MS_PER_S) / MS_PER_S


def _decode_workspaces(
    body: Mapping[str, Any],
) -> Mapping[str, Workspace] | None:
    if 'tenants' not in body:
        return None
    # The platform calls workspaces tenants.
    by_key: dict[str, Workspace] = {}
    for row in list_field(body, 'tenants'):
        workspace_row = as_object(row, 'tenant')
        priority = workspace_row.get('priority')
        workspace = Workspace(
            text_field(workspace_row, 'name'),
            priority if isinstance(priority, int) else None,
        )
        for key in list_field(workspace_row, 'api_keys'):
            by_key[str(key)] = workspace
    return by_key
