"""
The frontend: authenticates and routes callers' requests, then serves them.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

from mallowcrank.gateway.call import Call
from mallowcrank.gateway.caller_channel import CallerRequest, ResponseWriter
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.desired import (
    Desired,
    RouteRule,
    Workspace,
    find_route,
    pick_service,
)
from mallowcrank.gateway.endings import (
    STOPPING,
    STOPPING_RETRY_AFTER_S,
    RetryAfter,
    give_up,
    refuse_stopping,
)
from mallowcrank.gateway.error_responses import send_error
from mallowcrank.gateway.latest_desired import LatestDesired
from mallowcrank.gateway.plain_calls import PlainCalls
from mallowcrank.gateway.ports import CallerFields
from mallowcrank.gateway.proxies import read_origin, without_origin
from mallowcrank.gateway.stopping import (
    GracePeriod,
    may_serve_while_stopping,
)
from mallowcrank.gateway.streams import Streams
from mallowcrank.gateway.waiting import WaitQueue

MS_PER_S = 1000
MAX_TIMEOUT_S = 30  # on any route; the default for requests without deadline
# The desired state is read within a second of the start.
UNAVAILABLE_RETRY_AFTER_S = 0.5
LOWEST_PRIORITY = 9
UNEXPECTED = 'an unexpected error of the gateway'
UNEXPECTED_RETRY = RetryAfter(min_s=UNAVAILABLE_RETRY_AFTER_S, rate_per_s=50)
STOPPING_RETRY = RetryAfter(min_s=STOPPING_RETRY_AFTER_S, rate_per_s=50)
ANONYMOUS = Workspace('', None)


class Frontend:
    """
    Serves callers' requests.

    :ivar grace: in which requests are finished; none until the gateway stops.
    """

    def __init__(self, core: Core, known: LatestDesired) -> None:
        self._core = core
        self._known = known
        self._streams = Streams(core, WaitQueue(core.meters))
        self._plain_calls = PlainCalls(core)
        self.grace: GracePeriod | None = None

    async def serve(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        """
        Serve one request and count it as in flight meanwhile.
        """
        await self._run(self._accept, request, response)

    async def serve_proxied(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        """
        Serve a request that another gateway has passed on.
        """
        await self._run(self._accept_proxied, request, response)

    async def _run(
        self,
        accept: Callable[[CallerRequest, ResponseWriter], Call | None],
        request: CallerRequest,
        response: ResponseWriter,
    ) -> None:
        """
        Serve a request, and answer it whatever error there is.

        :param accept: returns the call; none if it has rejected the request.
        """
        call: Call | None = None
        self._core.meters.in_flight.inc()
        try:
            call = accept(request, response)
            if call and self._may_serve(call):
                await self._serve_call(call)
            elif call:
                refuse_stopping(self._core, call)
        except asyncio.CancelledError:
            self._end_cancelled(call)
            raise
        except Exception as error:
            self._end_unexpectedly(request, response, call, error)
        finally:
            self._core.meters.in_flight.dec()

    def _may_serve(self, call: Call) -> bool:
        return self.grace is None or may_serve_while_stopping(
            self.grace, monotonic_s(), call.deadline_at, call.route.repeat
        )

    def _end_cancelled(self, call: Call | None) -> None:
        """
        Answer a call that is cancelled because the grace period has ended, and
        not because its caller has left.
        """
        if self.grace and call and not call.response.has_ended:
            may_run_on = bool(call.sends)
            give_up(self._core, call, STOPPING, STOPPING_RETRY, may_run_on)

    def _end_unexpectedly(
        self,
        request: CallerRequest,
        response: ResponseWriter,
        call: Call | None,
        error: Exception,
    ) -> None:
        """
        End a request that met an error which no code foresees.
        """
        request_id = call.fields.request_id if call else ''
        self._core.errors.record(
            'request',
            error,
            request=request_id,
            path=request.path,
            sends=call.sends if call else 0,
        )
        if call:
            give_up(self._core, call, UNEXPECTED, UNEXPECTED_RETRY)
        else:
            send_error(
                response,
                HTTPStatus.SERVICE_UNAVAILABLE,
                UNEXPECTED,
                UNAVAILABLE_RETRY_AFTER_S,
            )

    def _accept(
        self, request: CallerRequest, response: ResponseWriter
    ) -> Call | None:
        fields = self._core.vocabulary.caller_fields(request.headers)
        desired = self._known.newest
        if desired is None:
            self._reject(
                response,
                fields,
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no desired state is known yet',
            )
            return None
        return self._route(desired, request, fields, response)

    def _accept_proxied(
        self, request: CallerRequest, response: ResponseWriter
    ) -> Call | None:
        fields = self._core.vocabulary.caller_fields(request.headers)
        call = self._build_proxied(request, fields, response)
        if call is None:
            self._reject(
                response,
                fields,
                HTTPStatus.SERVICE_UNAVAILABLE,
                'the route or service of another gateway is unknown',
            )
        return call

    def _build_proxied(
        self,
        request: CallerRequest,
        fields: CallerFields,
        response: ResponseWriter,
    ) -> Call | None:
        origin = read_origin(request.headers)
        desired = self._known.newest
        if origin is None or desired is None or fields.problem:
            return None
        route = find_route(desired, request.host, request.path)
        service = desired.services.get(origin.service)
        if route is None or service is None:
            return None
        return Call(
            request=replace(request, headers=without_origin(request.headers)),
            fields=fields,
            response=response,
            route=route,
            service=service,
            workspace=origin.workspace,
            priority=origin.priority,
            desired_version=desired.version,
            deadline_at=request.received_at + _timeout_s(fields, route),
            is_proxied=True,
        )

    async def _serve_call(self, call: Call) -> None:
        if call.service.engine and call.route.streams:
            await self._streams.serve(call, call.service.engine)
        else:
            await self._plain_calls.serve(call)

    def _route(
        self,
        desired: Desired,
        request: CallerRequest,
        fields: CallerFields,
        response: ResponseWriter,
    ) -> Call | None:
        route = find_route(desired, request.host, request.path)
        if route is None:
            self._reject(
                response, fields, HTTPStatus.NOT_FOUND, 'no route matches'
            )
            return None
        workspace = _find_workspace(desired, route, fields)
        if workspace is None:
            self._reject(
                response, fields, HTTPStatus.UNAUTHORIZED, 'the key is unknown'
            )
            return None
        if fields.problem:
            self._reject(
                response, fields, HTTPStatus.BAD_REQUEST, fields.problem
            )
            return None
        service_name = pick_service(route, self._core.random.random())
        service = desired.services.get(service_name)
        if service is None:
            self._reject(
                response,
                fields,
                HTTPStatus.SERVICE_UNAVAILABLE,
                f'service {service_name} is not defined',
            )
            return None
        return Call(
            request=request,
            fields=fields,
            response=response,
            route=route,
            service=service,
            workspace=workspace.name,
            priority=_priority(workspace, route),
            desired_version=desired.version,
            deadline_at=request.received_at + _timeout_s(fields, route),
        )

    def _reject(
        self,
        response: ResponseWriter,
        fields: CallerFields,
        status: HTTPStatus,
        reason: str,
    ) -> None:
        is_retryable = status == HTTPStatus.SERVICE_UNAVAILABLE
        send_error(
            response,
            status,
            reason,
            UNAVAILABLE_RETRY_AFTER_S if is_retryable else 0,
        )
        self._core.meters.requests.labels('none', str(int(status))).inc()
        self._core.journal.say(
            'request: rejected',
            request=fields.request_id,
            status=status,
            why=reason,
            desired=self._known.version,
        )


def _find_workspace(
    desired: Desired, route: RouteRule, fields: CallerFields
) -> Workspace | None:
    if desired.workspaces is None:
        return ANONYMOUS
    known = desired.workspaces.get(fields.key)
    if known is None and route.allows_anonymous:
        return ANONYMOUS
    return known


def _priority(workspace: Workspace, route: RouteRule) -> int:
    if workspace.priority is None:
        return route.priority
    return workspace.priority


def _timeout_s(fields: CallerFields, route: RouteRule) -> float:
    limit_s = route.timeout_s or MAX_TIMEOUT_S
    if fields.deadline_ms is not None:
        limit_s = min(limit_s, fields.deadline_ms / MS_PER_S)
    return min(limit_s, MAX_TIMEOUT_S)
