"""
The operator's desired state, as it lies in the store.
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
    as_table,
    decode_table,
    number_of,
    rows_of,
    text_of,
    whole_of,
)

MILLISECONDS = 1000
LOWEST_PRIORITY = 9
NO_GAP_MS = 0


def read_desired(body: bytes) -> Desired | DecodeFailure:
    """
    Decode one version of the desired state.
    """
    try:
        return _desired(decode_table(body))
    except MalformedError as error:
        return DecodeFailure(str(error))


def _desired(table: Mapping[str, Any]) -> Desired:
    services = [
        _service(as_table(row, 'service')) for row in rows_of(table, 'services')
    ]
    return Desired(
        version=whole_of(table, 'version'),
        routes=_routes(table),
        services={service.name: service for service in services},
        limits=_limits(as_table(table.get('limits', {}), 'limits')),
        workspaces=_workspaces(table),
    )


def _routes(table: Mapping[str, Any]) -> Mapping[str, tuple[RouteRule, ...]]:
    by_host: dict[str, list[RouteRule]] = defaultdict(list)
    for row in rows_of(table, 'routes'):
        route = _route(as_table(row, 'route'))
        by_host[route.host].append(route)
    return {
        host: tuple(sorted(routes, key=_shortness))
        for host, routes in by_host.items()
    }


def _shortness(route: RouteRule) -> int:
    return -len(route.prefix)


def _route(row: Mapping[str, Any]) -> RouteRule:
    kind = text_of(row, 'kind')
    return RouteRule(
        name=text_of(row, 'name'),
        host=text_of(row, 'hostname').lower(),
        prefix=text_of(row, 'path_prefix'),
        repeat=_repeat(kind, bool(row.get('stream_resume'))),
        streams=kind == 'streaming',
        timeout_s=number_of(row, 'timeout_ms') / MILLISECONDS,
        latency_objective_s=number_of(row, 'target_latency_ms', 0)
        / MILLISECONDS,
        event_gap_objective_s=number_of(row, 'gap_target_ms', NO_GAP_MS)
        / MILLISECONDS,
        priority=whole_of(row, 'priority', LOWEST_PRIORITY),
        shares=_shares(row),
        max_sends=max(1, whole_of(row, 'max_attempts', 1)),
        allows_anonymous=bool(row.get('auth_exempt')),
    )


def _repeat(kind: str, resumes: bool) -> Repeat:
    if kind == 'safe':
        return Repeat.ANY
    if kind == 'streaming' and resumes:
        return Repeat.RESUMED
    return Repeat.ONCE


def _shares(row: Mapping[str, Any]) -> tuple[Share, ...]:
    split = rows_of(row, 'traffic_split')
    if not split:
        return (Share(text_of(row, 'service'), 1),)
    tables = [as_table(each, 'traffic_split') for each in split]
    return tuple(
        Share(text_of(each, 'service'), number_of(each, 'weight'))
        for each in tables
    )


def _service(row: Mapping[str, Any]) -> ServiceRule:
    engine = row.get('engine')
    return ServiceRule(
        name=text_of(row, 'name'),
        health_path=text_of(row, 'health_path'),
        max_connections=whole_of(row, 'max_connections', 0),
        engine=_engine(as_table(engine, 'engine')) if engine else None,
    )


def _engine(row: Mapping[str, Any]) -> EngineRule | None:
    if 'layers' not in row:
        return None
    usual = as_table(row.get('usual', {}), 'usual')
    kinds = [as_table(each, 'kind') for each in rows_of(row, 'kinds')]
    return EngineRule(
        layers=whole_of(row, 'layers'),
        layer_mb=number_of(row, 'layer_mb'),
        token_bytes=number_of(row, 'kv_token_bytes'),
        step_ms=number_of(row, 'step_ms'),
        sequence_ms=number_of(row, 'per_seq_ms', 0),
        read_per_s=number_of(row, 'read_per_s'),
        typical_prompt_tokens=number_of(usual, 'prompt', 0),
        mean_output_tokens=number_of(usual, 'answer', 0),
        hop_bytes=number_of(row, 'activation_bytes', 0),
        pipe_mbps=number_of(row, 'pipe_mbps', 0),
        slots=whole_of(row, 'slots', 0),
        kinds={text_of(each, 'name'): _kind(each) for each in kinds},
    )


def _kind(row: Mapping[str, Any]) -> Accelerator:
    return Accelerator(
        size_mb=number_of(row, 'size_mb'),
        pace=number_of(row, 'pace', 1),
        read_factor=number_of(row, 'read_factor', 1),
    )


def _limits(row: Mapping[str, Any]) -> Limits:
    usual = Limits()
    return Limits(
        header_bytes=whole_of(row, 'max_header_bytes', usual.header_bytes),
        body_bytes=whole_of(row, 'max_body_bytes', usual.body_bytes),
        header_s=_limit_s(row, 'header_timeout_ms', usual.header_s),
        idle_s=_limit_s(row, 'idle_timeout_ms', usual.idle_s),
    )


def _limit_s(row: Mapping[str, Any], name: str, usual_s: float) -> float:
    return number_of(row, name, usual_s * MILLISECONDS) / MILLISECONDS


def _workspaces(table: Mapping[str, Any]) -> Mapping[str, Workspace] | None:
    if 'tenants' not in table:
        return None
    found: dict[str, Workspace] = {}
    for row in rows_of(table, 'tenants'):
        tenant = as_table(row, 'tenant')
        priority = tenant.get('priority')
        workspace = Workspace(
            text_of(tenant, 'name'),
            priority if isinstance(priority, int) else None,
        )
        for key in rows_of(tenant, 'api_keys'):
            found[str(key)] = workspace
    return found
