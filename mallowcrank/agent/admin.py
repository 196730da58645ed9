"""
The agent's admin endpoints.
"""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from cattrs import BaseValidationError

from mallowcrank.agent.messages import OfferedRecord
from mallowcrank.agent.offers import apply_offered_record
from mallowcrank.agent.ports import MembershipPort
from mallowcrank.codec import from_plain, to_plain
from mallowcrank.config.replica import Replica
from mallowcrank.config.tree import find_outcome, iter_settings
from mallowcrank.settings import AgentSettings
from mallowcrank.timeline import Filter, Timeline
from mallowcrank.web import Request, Response, Routes, json_response

PARSE_ERRORS = (BaseValidationError, TypeError, ValueError)
FILTER_NAMES = ('request', 'host', 'target', 'part')


@dataclass(frozen=True)
class AdminContext:
    """
    State and actions that the admin endpoints use.

    :param incarnation: an id of this run; differs after each start.
    :param settings_actor: a proxy of the `SettingsActor`.
    :param feed: a proxy of the `FeedActor`.
    :param drain: starts a graceful shutdown.
    :param is_leaving: returns whether the shutdown has started.
    """

    settings: AgentSettings
    incarnation: str
    settings_actor: Any
    feed: Any
    membership: MembershipPort
    timeline: Timeline
    drain: Callable[[], None]
    is_leaving: Callable[[], bool]


class AdminPages:
    """
    Handles requests to the admin endpoints.
    """

    def __init__(self, context: AdminContext) -> None:
        self._context = context

    def routes(self) -> Routes:
        """
        Return the routes of the endpoints; other parts may add their own.
        """
        routes = Routes()
        routes.add('GET', '/admin/status', self.status)
        routes.add('GET', '/admin/members', self.members)
        routes.add('GET', '/admin/settings', self.settings)
        routes.add('GET', '/admin/timeline', self.timeline)
        routes.add('POST', '/admin/drain', self.drain)
        routes.add('POST', '/admin/records', self.accept_record)
        return routes

    # Queries

    def status(self, _request: Request) -> Response:
        """
        Handle `GET /admin/status`.
        """
        context = self._context
        settings_status = context.settings_actor.status().get()
        routers = context.feed.routers().get()
        peers = context.membership.peers()
        return json_response(
            {
                'program': 'agent',
                'host': context.settings.host_settings.host,
                'incarnation': context.incarnation,
                'leaving': context.is_leaving(),
                'routers': routers,
                'peers': to_plain(peers),
                'targets': len(context.membership.targets()),
                **to_plain(settings_status),
            }
        )

    def members(self, _request: Request) -> Response:
        """
        Handle `GET /admin/members`.
        """
        return json_response(
            {
                'targets': to_plain(self._context.membership.targets()),
                'peers': to_plain(self._context.membership.peers()),
            }
        )

    def settings(self, request: Request) -> Response:
        """
        Handle `GET /admin/settings`.

        With `?record=ID`, return only the outcome of that record.
        """
        replica = self._context.settings_actor.replica().get()
        record = request.query.get('record')
        if record is None:
            return json_response(build_settings_page(replica))
        outcome = replica.tree and find_outcome(replica.tree, record)
        return json_response({'outcome': to_plain(outcome) or None})

    def timeline(self, request: Request) -> Response:
        """
        Handle `GET /admin/timeline`.
        """
        event_filter = Filter(
            **{name: request.query.get(name, '') for name in FILTER_NAMES}
        )
        events = self._context.timeline.events(event_filter)
        return json_response({'events': to_plain(events)})

    # Commands

    def accept_record(self, request: Request) -> Response:
        """
        Handle `POST /admin/records`.

        The response states whether the record was applied.
        """
        try:
            offered = from_plain(request.json(), OfferedRecord)
        except PARSE_ERRORS as error:
            problem = {'message': f'the record is malformed: {error}'}
            return json_response({'error': problem}, HTTPStatus.BAD_REQUEST)
        is_applied = apply_offered_record(offered, self._context.settings_actor)
        return json_response({'taken': is_applied})

    def drain(self, _request: Request) -> Response:
        """
        Handle `POST /admin/drain`.
        """
        self._context.drain()
        return json_response({'leaving': True})


def build_settings_page(replica: Replica) -> dict[str, Any]:
    """
    Return the settings tree with its versions as JSON-compatible data.
    """
    tree = replica.tree
    if tree is None:
        return {'version': -1, 'through': -1, 'settings': None}
    return {
        'version': tree.version,
        'last': tree.last,
        'through': tree.through,
        'floor': tree.floor,
        'settings': {
            path: to_plain(entry) for path, entry in iter_settings(tree)
        },
        'removed': to_plain(tree.removed),
        'outcomes': to_plain(tree.outcomes),
    }
