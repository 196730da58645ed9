"""
From a caller's request to the call that is served.
"""

from http import HTTPStatus

from mallowcrank.gateway.caller_channel import CallerRequest, ResponseWriter
from mallowcrank.gateway.core import Call, Core, send_error
from mallowcrank.gateway.desired import (
    Desired,
    RouteRule,
    Workspace,
    find_route,
    pick_service,
)
from mallowcrank.gateway.followers import KnownDesired
from mallowcrank.gateway.plain_calls import PlainCalls
from mallowcrank.gateway.ports import CallerFields
from mallowcrank.gateway.streams import Streams
from mallowcrank.gateway.waiting import WaitingRoom

MILLISECONDS = 1000
LONGEST_S = 30  # for a request that names no deadline, on any route
STARTING_RETURN_S = 0.5  # the desired state is read within a second
LOWEST_PRIORITY = 9
NOBODY = Workspace('', None)


class Frontend:
    """
    Serves callers' requests.
    """

    def __init__(self, core: Core, known: KnownDesired) -> None:
        self._core = core
        self._known = known
        self._streams = Streams(core, WaitingRoom(core.meters))
        self._plain = PlainCalls(core)

    async def serve(
        self, request: CallerRequest, answer: ResponseWriter
    ) -> None:
        """
        Serve one request.
        """
        self._core.meters.in_flight.inc()
        try:
            await self._serve(request, answer)
        finally:
            self._core.meters.in_flight.dec()

    async def _serve(
        self, request: CallerRequest, answer: ResponseWriter
    ) -> None:
        fields = self._core.vocabulary.caller_fields(request.headers)
        desired = self._known.newest
        if desired is None:
            self._reject(
                answer,
                fields,
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no desired state is known yet',
            )
            return
        call = self._open(desired, request, fields, answer)
        if call is None:
            return
        if call.service.engine and call.route.streams:
            await self._streams.serve(call, call.service.engine)
        else:
            await self._plain.serve(call)

    def _open(
        self,
        desired: Desired,
        request: CallerRequest,
        fields: CallerFields,
        answer: ResponseWriter,
    ) -> Call | None:
        route = find_route(desired, request.host, request.path)
        if route is None:
            self._reject(
                answer, fields, HTTPStatus.NOT_FOUND, 'no route matches'
            )
            return None
        workspace = _workspace(desired, route, fields)
        if workspace is None:
            self._reject(
                answer, fields, HTTPStatus.UNAUTHORIZED, 'the key is unknown'
            )
            return None
        if fields.problem:
            self._reject(answer, fields, HTTPStatus.BAD_REQUEST, fields.problem)
            return None
        name = pick_service(route, self._core.random.random())
        service = desired.services.get(name)
        if service is None:
            self._reject(
                answer,
                fields,
                HTTPStatus.SERVICE_UNAVAILABLE,
                f'service {name} is not defined',
            )
            return None
        return Call(
            request=request,
            fields=fields,
            response=answer,
            route=route,
            service=service,
            workspace=workspace.name,
            priority=_priority(workspace, route),
            desired_version=desired.version,
            deadline_at=request.received_at + _allowed_s(fields, route),
        )

    def _reject(
        self,
        answer: ResponseWriter,
        fields: CallerFields,
        status: HTTPStatus,
        reason: str,
    ) -> None:
        again = status == HTTPStatus.SERVICE_UNAVAILABLE
        send_error(answer, status, reason, STARTING_RETURN_S if again else 0)
        self._core.meters.requests.labels('none', str(int(status))).inc()
        self._core.journal.say(
            'request: rejected',
            request=fields.request_id,
            status=status,
            why=reason,
            desired=self._known.version,
        )


def _workspace(
    desired: Desired, route: RouteRule, fields: CallerFields
) -> Workspace | None:
    if desired.workspaces is None:
        return NOBODY
    known = desired.workspaces.get(fields.key)
    if known is None and route.is_open:
        return NOBODY
    return known


def _priority(workspace: Workspace, route: RouteRule) -> int:
    if workspace.priority is None:
        return route.priority
    return workspace.priority


def _allowed_s(fields: CallerFields, route: RouteRule) -> float:
    allowed = route.timeout_s or LONGEST_S
    if fields.deadline_ms is not None:
        allowed = min(allowed, fields.deadline_ms / MILLISECONDS)
    return min(allowed, LONGEST_S)
