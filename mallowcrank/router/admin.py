"""
The router's admin interface.
"""

from collections.abc import Callable

from mallowcrank.codec import to_plain
from mallowcrank.router.parts import RouterParts
from mallowcrank.timeline import Filter
from mallowcrank.web import Request, Response, Routes, json_response


def admin_routes(parts: RouterParts, drain: Callable[[], None]) -> Routes:
    """
    Return the handlers of the admin paths.

    :param drain: starts a graceful stop.
    """

    def status(_request: Request) -> Response:
        return json_response(router_status(parts))

    def timeline(request: Request) -> Response:
        event_filter = Filter(
            **{
                name: request.query.get(name, '')
                for name in ('request', 'host', 'target', 'part')
            }
        )
        events = parts.timeline.events(event_filter)
        return json_response({'events': to_plain(list(events))})

    def start_drain(_request: Request) -> Response:
        drain()
        return json_response({'leaving': True})

    routes = Routes()
    routes.add('GET', '/admin/status', status)
    routes.add('GET', '/admin/timeline', timeline)
    routes.add('POST', '/admin/drain', start_drain)
    return routes


def router_status(parts: RouterParts) -> dict[str, object]:
    """
    Return the router's status as JSON-compatible values.
    """
    view = parts.view_store.view
    age_s = parts.view_store.age_s
    return {
        'program': 'router',
        'host': parts.settings.host_settings.host,
        'incarnation': parts.me.incarnation,
        'version': view.version,
        'age_s': age_s if age_s < float('inf') else None,
        'leaving': parts.in_flight.leaving_since is not None,
        'availability_zone': parts.settings.host_settings.availability_zone,
        'address': parts.settings.listen,
        'in_flight': parts.in_flight.count,
        'targets': len(view.targets),
        'peers': len(view.peers),
    }
