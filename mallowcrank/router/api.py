"""
The callers' HTTP interface: reads requests, admits them and runs them.
"""

from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import partial

from mallowcrank.logs import PartLog
from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.requests.calls import Completion, RequestOptions, ServiceCall
from mallowcrank.requests.completion_parsing import read_completion
from mallowcrank.requests.outcomes import refusal_response
from mallowcrank.requests.parsing import (
    find_workspace,
    read_service_call,
    refuse_input,
)
from mallowcrank.router.addresses import answer_addresses
from mallowcrank.router.completion_calls import run_completion
from mallowcrank.router.keyed_calls import KeyedCalls, KeyedRequest, SendCheck
from mallowcrank.router.parts import RouterParts
from mallowcrank.router.ports import Ticket
from mallowcrank.router.service_calls import AdmittedCall, ServiceRunner
from mallowcrank.router.token_stream import AdmittedCompletion
from mallowcrank.streams.tokens import tokenize
from mallowcrank.web import (
    NO_CONNECTION,
    Body,
    CallerConnection,
    Request,
    Response,
    Routes,
    json_response,
)

PART = 'router'
# Callers that kept this router's address are served slightly longer than the
# stated time.
ADDRESS_KEEP_MARGIN_S = 1
CallReader = Callable[[Request], Completion | ServiceCall | Refused]


class CallersApi:
    """
    Handles callers' requests.
    """

    def __init__(self, parts: RouterParts) -> None:
        self._parts = parts
        self._log = PartLog(PART)
        self._services = ServiceRunner(parts)
        self._keyed = KeyedCalls(parts)

    def routes(self) -> Routes:
        """
        Return the handlers of the callers' paths.
        """
        routes = Routes()
        for path, chat in (('chat/completions', True), ('completions', False)):
            read = partial(self._read_completion, chat=chat)
            routes.add('POST', f'/v1/{path}', partial(self._handle, read))
        routes.add(
            '*', '/v1/services/', partial(self._handle, self._read_service)
        )
        routes.add('GET', '/v1/models', self._models)
        addresses = partial(answer_addresses, parts=self._parts)
        routes.add('GET', '/v1/addresses', addresses)
        return routes

    # Queries

    def _models(self, request: Request) -> Response:
        workspace = find_workspace(request, self._parts.view_store.view)
        if isinstance(workspace, Refused):
            return refusal_response(workspace)
        known_models = self._parts.view_store.view.models
        listed = [
            {
                'id': name,
                'object': 'model',
                'created': 0,
                'owned_by': 'mallowcrank',
            }
            for name in workspace.models
            if name in known_models
        ]
        return json_response({'object': 'list', 'data': listed})

    def _read_completion(
        self, request: Request, *, chat: bool
    ) -> Completion | Refused:
        return read_completion(request, self._parts.view_store.view, chat=chat)

    def _read_service(self, request: Request) -> ServiceCall | Refused:
        return read_service_call(request, self._parts.view_store.view)

    # Commands

    def _handle(self, read: CallReader, request: Request) -> Response:
        """
        Handle a request. An unexpected error is logged and answered, so that
        it does not end the server's thread.
        """
        parts = self._parts
        parts.in_flight.add()
        request_id = parts.request_ids.next_id()
        try:
            response = self._process(read, request, request_id)
        except Exception as error:
            self._log.say(
                'Request failed', request=request_id, error=repr(error)
            )
            response = refusal_response(
                Refused(
                    Reason.INTERNAL,
                    Ran.UNKNOWN,
                    'the router failed; see its log',
                )
            )
        return self._track(response, request_id)

    def _process(
        self, read: CallReader, request: Request, request_id: str
    ) -> Response:
        parts = self._parts
        queued_since = parts.clock.steady() - request.waited_s
        arrival = min(parts.pause_detector.earliest_arrival(), queued_since)
        parts.timeline.record(PART, f'{request.path} arrived', request_id)
        call = read(request)
        if isinstance(call, Refused):
            return self._refuse(call, request_id)
        deadline = arrival + call.options.timeout_s
        refused = self._check_time(call.options, deadline)
        if refused is not None:
            return self._refuse(refused, request_id)
        ticket = _make_ticket(call, request_id, deadline)
        if call.options.repeatable:
            return self._admit(call, ticket, request.caller, lambda: None)
        # A request that may not repeat runs to its end even if the caller
        # disconnects, so that a retry gets the answer.
        runner = partial(self._admit, call, ticket, NO_CONNECTION)
        keyed = KeyedRequest(request, call.options, deadline)
        # A replayed answer carries the id of the request that ran.
        return self._keyed.run(
            keyed,
            lambda check_send: self._add_headers(
                runner(check_send), request_id
            ),
        )

    def _admit(
        self,
        call: Completion | ServiceCall,
        ticket: Ticket,
        caller: CallerConnection,
        check_send: SendCheck,
    ) -> Response:
        parts = self._parts
        refused = parts.admission.admit(ticket)
        if refused is not None:
            return self._refuse(refused, ticket.request)
        parts.timeline.record(PART, 'request admitted', ticket.request)
        try:
            return self._run_admitted(call, ticket, caller, check_send)
        except Exception:
            parts.admission.release(ticket, 0)
            raise

    def _run_admitted(
        self,
        call: Completion | ServiceCall,
        ticket: Ticket,
        caller: CallerConnection,
        check_send: SendCheck,
    ) -> Response:
        parts = self._parts
        if isinstance(call, ServiceCall):
            return self._run_service(call, ticket, check_send)
        refused = check_send()
        if refused is not None:
            parts.admission.release(ticket, 0)
            return self._refuse(refused, ticket.request)
        admitted = AdmittedCompletion(call, ticket, ticket.deadline, caller)
        return run_completion(admitted, parts)

    def _run_service(
        self, call: ServiceCall, ticket: Ticket, check_send: SendCheck
    ) -> Response:
        parts = self._parts
        settings = parts.view_store.view.services.get(call.service)
        if settings is None:
            parts.admission.release(ticket, 0)
            removed = refuse_input(
                f'the service {call.service!r} was removed',
                'path',
                Reason.UNKNOWN_SERVICE,
            )
            return self._refuse(removed, ticket.request)
        return self._services.run(
            AdmittedCall(call, ticket, ticket.deadline, settings, check_send)
        )

    def _check_time(
        self, terms: RequestOptions, deadline: float
    ) -> Refused | None:
        """
        Refuse requests past their deadline. While the router is leaving, also
        refuse new requests once no caller keeps its address any more.
        """
        now = self._parts.clock.steady()
        if now >= deadline:
            return Refused(
                Reason.DEADLINE_PASSED,
                Ran.NO,
                'the deadline passed before the request was started',
            )
        leaving_start = self._parts.in_flight.leaving_since
        if leaving_start is None or terms.forwarded_by:
            return None
        if (
            now
            < leaving_start
            + self._parts.settings.keep_s
            + ADDRESS_KEEP_MARGIN_S
        ):
            return None
        return Refused(
            Reason.LEAVING,
            Ran.NO,
            'this router is leaving; ask /v1/addresses again',
            retry_after_s=1,
        )

    def _refuse(self, refused: Refused, request_id: str) -> Response:
        self._parts.timeline.record(
            PART, f'refused: {refused.reason} ran={refused.ran}', request_id
        )
        self._parts.metrics.incr(f'refused.{refused.reason}')
        return refusal_response(refused)

    def _track(self, response: Response, request_id: str) -> Response:
        """
        Add the request's headers to the answer, and count the request as in
        flight until the body has ended.
        """
        self._parts.metrics.incr('requests')
        answer = self._add_headers(response, request_id)
        if isinstance(response.body, bytes):
            self._parts.in_flight.remove()
            return answer
        body = TrackedBody(response.body, self._parts.in_flight.remove)
        return replace(answer, body=body)

    def _add_headers(self, response: Response, request_id: str) -> Response:
        present = {header.lower() for header, _ in response.headers}
        own_headers = (
            ('X-Mallowcrank-Request', request_id),
            ('X-Mallowcrank-Router', self._parts.me.name),
        )
        added = (each for each in own_headers if each[0].lower() not in present)
        return replace(response, headers=(*response.headers, *added))


class TrackedBody:
    """
    A streamed body that calls a function once it has ended.

    :param on_end: called once, when the body is closed.
    """

    def __init__(self, body: Body, on_end: Callable[[], None]) -> None:
        self._body = body
        self._pieces = iter(body)
        self._on_end = on_end
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return next(self._pieces)

    def close(self) -> None:
        """
        Close the body; the server calls this for complete and broken streams.
        """
        if self._closed:
            return
        self._closed = True
        try:
            getattr(self._body, 'close', lambda: None)()
        finally:
            self._on_end()


def _make_ticket(
    call: Completion | ServiceCall, request_id: str, deadline: float
) -> Ticket:
    is_service = isinstance(call, ServiceCall)
    return Ticket(
        request=request_id,
        workspace=call.options.workspace,
        deadline=deadline,
        priority=call.options.priority,
        tokens=0 if is_service else _estimate_tokens(call),
        serves=call.service if is_service else call.model,
        is_service=is_service,
    )


def _estimate_tokens(call: Completion) -> int:
    return len(tokenize(call.prompt)) + call.max_tokens
