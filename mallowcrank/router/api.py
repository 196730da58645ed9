"""
The callers' interface: reads requests, admits them and runs them.
"""

from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import partial

from mallowcrank.logs import PartLog
from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.requests.calls import Completion, ServiceCall, Terms
from mallowcrank.requests.completion_intake import read_completion
from mallowcrank.requests.intake import (
    find_workspace,
    read_service_call,
    refuse_input,
)
from mallowcrank.requests.outcomes import refusal_response
from mallowcrank.router.addresses import answer_addresses
from mallowcrank.router.completion_calls import run_completion
from mallowcrank.router.keyed_calls import KeyedCalls, KeyedRequest, SendCheck
from mallowcrank.router.parts import RouterParts
from mallowcrank.router.ports import Ticket
from mallowcrank.router.service_calls import AdmittedCall, ServiceRunner
from mallowcrank.router.token_stream import AdmittedCompletion
from mallowcrank.streams.tokens import tokenize
from mallowcrank.web import (
    NO_LINK,
    Body,
    CallerLink,
    Request,
    Response,
    Routes,
    json_response,
)

PART = 'router'
ADDRESS_KEEP_MARGIN_S = (
    1  # kept addresses are served a little longer than stated
)
CallReader = Callable[[Request], Completion | ServiceCall | Refused]


class CallersApi:
    """
    Answers callers.
    """

    def __init__(self, parts: RouterParts) -> None:
        self._parts = parts
        self._log = PartLog(PART)
        self._services = ServiceRunner(parts)
        self._keyed = KeyedCalls(parts)

    def routes(self) -> Routes:
        """
        Return the handlers of all paths.
        """
        routes = Routes()
        for path, chat in (('chat/completions', True), ('completions', False)):
            read = partial(self._read_completion, chat=chat)
            routes.add('POST', f'/v1/{path}', partial(self._answer, read))
        routes.add(
            '*', '/v1/services/', partial(self._answer, self._read_service)
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
        known = self._parts.view_store.view.models
        listed = [
            {
                'id': name,
                'object': 'model',
                'created': 0,
                'owned_by': 'mallowcrank',
            }
            for name in workspace.models
            if name in known
        ]
        return json_response({'object': 'list', 'data': listed})

    def _read_completion(
        self, request: Request, *, chat: bool
    ) -> Completion | Refused:
        return read_completion(request, self._parts.view_store.view, chat=chat)

    def _read_service(self, request: Request) -> ServiceCall | Refused:
        return read_service_call(request, self._parts.view_store.view)

    # Commands

    def _answer(self, read: CallReader, request: Request) -> Response:
        """
        Answer a request; nothing that goes wrong ends the thread.
        """
        parts = self._parts
        parts.in_flight.add()
        name = parts.request_ids.next_id()
        try:
            response = self._run(read, request, name)
        except Exception as error:
            self._log.say('Request failed', request=name, error=repr(error))
            response = refusal_response(
                Refused(
                    Reason.INTERNAL,
                    Ran.UNKNOWN,
                    'the router failed; see its log',
                )
            )
        return self._track(response, name)

    def _run(self, read: CallReader, request: Request, name: str) -> Response:
        parts = self._parts
        waited_since = parts.clock.steady() - request.waited_s
        arrived = min(parts.pause_detector.earliest_arrival(), waited_since)
        parts.timeline.record(PART, f'{request.path} arrived', name)
        call = read(request)
        if isinstance(call, Refused):
            return self._refuse(call, name)
        deadline = arrived + call.terms.timeout_s
        refused = self._check_time(call.terms, deadline)
        if refused is not None:
            return self._refuse(refused, name)
        ticket = _make_ticket(call, name, deadline)
        if call.terms.repeatable:
            return self._admit(call, ticket, request.caller, lambda: None)
        # What may not repeat runs to its end, so that a retry gets the answer.
        runner = partial(self._admit, call, ticket, NO_LINK)
        keyed = KeyedRequest(request, call.terms, deadline)
        # An answer that is given again names the request that ran.
        return self._keyed.run(
            keyed, lambda guard: self._name(runner(guard), name)
        )

    def _admit(
        self,
        call: Completion | ServiceCall,
        ticket: Ticket,
        caller: CallerLink,
        guard: SendCheck,
    ) -> Response:
        parts = self._parts
        refused = parts.admission.admit(ticket)
        if refused is not None:
            return self._refuse(refused, ticket.request)
        parts.timeline.record(PART, 'request admitted', ticket.request)
        try:
            return self._run_admitted(call, ticket, caller, guard)
        except Exception:
            parts.admission.release(ticket, 0)
            raise

    def _run_admitted(
        self,
        call: Completion | ServiceCall,
        ticket: Ticket,
        caller: CallerLink,
        guard: SendCheck,
    ) -> Response:
        parts = self._parts
        if isinstance(call, ServiceCall):
            return self._run_service(call, ticket, guard)
        refused = guard()
        if refused is not None:
            parts.admission.release(ticket, 0)
            return self._refuse(refused, ticket.request)
        admitted = AdmittedCompletion(call, ticket, ticket.deadline, caller)
        return run_completion(admitted, parts)

    def _run_service(
        self, call: ServiceCall, ticket: Ticket, guard: SendCheck
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
            AdmittedCall(call, ticket, ticket.deadline, settings, guard)
        )

    def _check_time(self, terms: Terms, deadline: float) -> Refused | None:
        """
        Refuse requests past their deadline, and new ones once no caller keeps
        this router's address.
        """
        now = self._parts.clock.steady()
        if now >= deadline:
            return Refused(
                Reason.DEADLINE_PASSED,
                Ran.NO,
                'the deadline passed before the request was started',
            )
        since = self._parts.in_flight.leaving_since
        if since is None or terms.forwarded_by:
            return None
        if now < since + self._parts.settings.keep_s + ADDRESS_KEEP_MARGIN_S:
            return None
        return Refused(
            Reason.LEAVING,
            Ran.NO,
            'this router is leaving; ask /v1/addresses again',
            retry_after_s=1,
        )

    def _refuse(self, refused: Refused, name: str) -> Response:
        self._parts.timeline.record(
            PART, f'refused: {refused.reason} ran={refused.ran}', name
        )
        self._parts.metrics.incr(f'refused.{refused.reason}')
        return refusal_response(refused)

    def _track(self, response: Response, name: str) -> Response:
        """
        Name the request in the answer, and count it until its body has ended.
        """
        self._parts.metrics.incr('requests')
        named = self._name(response, name)
        if isinstance(response.body, bytes):
            self._parts.in_flight.remove()
            return named
        body = TrackedBody(response.body, self._parts.in_flight.remove)
        return replace(named, body=body)

    def _name(self, response: Response, name: str) -> Response:
        given = {header.lower() for header, _ in response.headers}
        own = (
            ('X-Mallowcrank-Request', name),
            ('X-Mallowcrank-Router', self._parts.me.name),
        )
        added = (each for each in own if each[0].lower() not in given)
        return replace(response, headers=(*response.headers, *added))


class TrackedBody:
    """
    A streamed body that tells when it has ended.
    """

    def __init__(self, body: Body, ended: Callable[[], None]) -> None:
        self._body = body
        self._pieces = iter(body)
        self._ended = ended
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return next(self._pieces)

    def close(self) -> None:
        """
        Close the body; called by the server in any case.
        """
        if self._closed:
            return
        self._closed = True
        try:
            getattr(self._body, 'close', lambda: None)()
        finally:
            self._ended()


def _make_ticket(
    call: Completion | ServiceCall, name: str, deadline: float
) -> Ticket:
    is_service = isinstance(call, ServiceCall)
    return Ticket(
        request=name,
        workspace=call.terms.workspace,
        deadline=deadline,
        priority=call.terms.priority,
        tokens=0 if is_service else _estimate_tokens(call),
        serves=call.service if is_service else call.model,
        is_service=is_service,
    )


def _estimate_tokens(call: Completion) -> int:
    return len(tokenize(call.prompt)) + call.max_tokens
