"""
Checks of a desired state that can be read, but may not work.
"""

from collections import Counter
from collections.abc import Hashable, Iterable

from mallowcrank.gateway.desired import Desired, RouteRule, ServiceRule

POSITIVE_ENGINE_FIELDS = ('layers', 'layer_mb', 'token_bytes')


def find_problem(desired: Desired) -> str:
    """
    Return why a desired state can't be in force; empty if it can.
    """
    routes = [route for host in desired.routes.values() for route in host]
    problems = [
        _find_repeated('route', (route.name for route in routes)),
        _find_repeated('prefix', ((each.host, each.prefix) for each in routes)),
        *(_find_route_problem(route, desired) for route in routes),
        *map(_find_engine_problem, desired.services.values()),
    ]
    return next(filter(None, problems), '')


def _find_route_problem(route: RouteRule, desired: Desired) -> str:
    for share in route.shares:
        if share.service not in desired.services:
            return f'route {route.name} leads to no service: {share.service}'
    if any(each.weight > 0 for each in route.shares):
        return ''
    return f'route {route.name} has no weight above 0'


def _find_engine_problem(service: ServiceRule) -> str:
    engine = service.engine
    if engine is None:
        return ''
    for name in POSITIVE_ENGINE_FIELDS:
        if getattr(engine, name) <= 0:
            return f'service {service.name} has engines with no {name}'
    return ''


def _find_repeated(kind: str, names: Iterable[Hashable]) -> str:
    counts = Counter(names)
    repeated = [name for name, count in counts.items() if count > 1]
    return f'{kind} {repeated[0]} is given twice' if repeated else ''
