"""
Runs calls of plain services. Tries follow one another; if a repeatable call
gets no response in time, a further try runs in parallel.
"""

from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait
from dataclasses import dataclass, replace

from mallowcrank.calls import Reply
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.requests.attempts import (
    Attempts,
    decide_attempt,
    is_final,
    ran_of,
    record_failure,
    record_start,
    refuse_attempts,
)
from mallowcrank.requests.calls import ServiceCall
from mallowcrank.requests.outcomes import ran_header, refusal_response
from mallowcrank.requests.parsing import DEADLINE_HEADER, MS_PER_S
from mallowcrank.requests.retry import GiveUp, Retry, combine_ran
from mallowcrank.router.parts import RouterParts
from mallowcrank.router.ports import Ticket
from mallowcrank.router.replica_connections import ReplicaConnections
from mallowcrank.view import ServiceSettings, Target
from mallowcrank.web import Response

# Hop-by-hop headers and the headers that the server sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-encoding',
        'content-length',
        'date',
        'keep-alive',
        'server',
        'transfer-encoding',
        'x-ran',
    )
)
PART = 'service'
# Two silent tries and an answer take less than 250 ms.
URGENT_SILENCE_S = 0.08
Outcome = Reply | Failure | Refused


@dataclass(frozen=True)
class AdmittedCall:
    """
    A service call that was admitted.

    :param deadline: steady time in seconds.
    :param check_send: called right before each send; returns the refusal if
        the call must not be sent.
    """

    call: ServiceCall
    ticket: Ticket
    deadline: float
    settings: ServiceSettings
    check_send: Callable[[], Refused | None]


class ServiceRunner:
    """
    Runs service calls, and holds the threads and connections that they share.
    """

    def __init__(self, parts: RouterParts) -> None:
        self.parts = parts
        self.connections = ReplicaConnections()
        self.executor = ThreadPoolExecutor(
            2 * parts.settings.threads, thread_name_prefix=PART
        )

    def run(self, admitted: AdmittedCall) -> Response:
        """
        Run an admitted call, then release its admission.
        """
        try:
            return ServiceExecution(admitted, self).run()
        finally:
            self.parts.admission.release(admitted.ticket, 0)
            self.parts.timeline.record(
                'router', 'request ended', admitted.ticket.request
            )


class ServiceExecution:
    """
    One service call and its tries.
    """

    def __init__(self, admitted: AdmittedCall, runner: ServiceRunner) -> None:
        self._admitted = admitted
        self._runner = runner
        self._parts = runner.parts
        self._tries = Attempts(admitted.call.options.repeatable)
        self._pending: dict[Future[Outcome], Target] = {}
        self._excluded: frozenset[str] = frozenset()
        self._waits_for_deadline = not admitted.call.options.repeatable

    @property
    def seconds_left(self) -> float:
        """
        Return the seconds until the caller's deadline.
        """
        return self._admitted.deadline - self._parts.clock.steady()

    def run(self) -> Response:
        """
        Run tries until one brings a valid answer or none may follow.

        :returns: the answer or a refusal.
        """
        response = self._start_try()
        while response is None:
            done = self._wait()
            if done:
                response = self._handle_outcomes(done)
            else:
                response = self._handle_silence()
        return response

    def _wait(self) -> set['Future[Outcome]']:
        timeout_s = max(0, self.seconds_left)
        if not self._waits_for_deadline:
            timeout_s = min(
                timeout_s, _silence_timeout(self._admitted.settings)
            )
        return wait(self._pending, timeout_s, FIRST_COMPLETED).done

    def _start_try(self) -> Response | None:
        """
        Send one more try.

        :returns: the refusal if there is no replica to send to and no other
            try is running.
        """
        target = self._choose()
        if isinstance(target, Refused):
            ran = combine_ran(target.ran, self._tries.combined_ran)
            return (
                None
                if self._pending
                else refusal_response(replace(target, ran=ran))
            )
        self._tries = record_start(self._tries)
        self._record_event('route chosen', target)
        future = self._runner.executor.submit(self._send, target)
        self._pending[future] = target
        return None

    def _choose(self) -> Target | Refused:
        service = self._admitted.call.service
        routes = self._parts.routes
        chosen = routes.choose_replica(service, self._excluded)
        if isinstance(chosen, Refused) and self._excluded:
            # The only replica may answer over another connection.
            chosen = routes.choose_replica(service, frozenset())
        if isinstance(chosen, Refused):
            return chosen
        target = self._parts.view_store.view.targets.get(chosen)
        if target is None:
            routes.release_replica(chosen)
            return Refused(
                Reason.NO_ROUTE, Ran.NO, 'the replica is gone', retry_after_s=1
            )
        return target

    def _send(self, target: Target) -> Outcome:
        """
        Make one try; runs in a thread of the executor.
        """
        started = self._parts.clock.steady()
        try:
            outcome = self._check_and_send(target)
        finally:
            self._parts.routes.release_replica(target.name)
        if isinstance(outcome, Reply):
            duration_s = self._parts.clock.steady() - started
            self._parts.routes.record_success(target.name, duration_s)
        return outcome

    def _check_and_send(self, target: Target) -> Outcome:
        call, pool = self._admitted.call, self._runner.connections
        # A pooled connection may have gone silent, which would leave the
        # outcome unknown.
        is_fresh = not call.options.repeatable or self._tries.started > 1
        client = (
            pool.fresh(target.address)
            if is_fresh
            else pool.pooled(target.address)
        )
        headers = dict(call.headers)
        headers['X-Mallowcrank-Request'] = self._admitted.ticket.request
        refused = self._admitted.check_send()
        if refused is not None:
            return refused
        left_s = self.seconds_left
        headers[DEADLINE_HEADER] = str(int(left_s * MS_PER_S))
        return client.call(call.method, call.path, call.body, headers, left_s)

    def _handle_outcomes(self, done: set['Future[Outcome]']) -> Response | None:
        for future in done:
            target = self._pending.pop(future)
            outcome = future.result()
            if isinstance(outcome, Refused):
                ran = combine_ran(outcome.ran, self._tries.ran)
                return refusal_response(replace(outcome, ran=ran))
            if is_final(outcome):
                return _to_response(outcome, Ran.YES, target.name)
            self._tries = record_failure(self._tries, outcome)
            self._record_failure(target, 'the call failed')
        if self._pending:
            return None
        return self._try_again()

    def _handle_silence(self) -> Response | None:
        if self.seconds_left <= 0:
            return refusal_response(
                Refused(
                    Reason.DEADLINE_PASSED,
                    self._tries.combined_ran,
                    'the deadline passed before the replica answered',
                )
            )
        for target in self._pending.values():
            self._runner.connections.discard(target.address)
            self._record_failure(target, 'the call went silent')
        decision = self._decide()
        if isinstance(decision, GiveUp):
            self._waits_for_deadline = True
            return None
        return self._start_try()

    def _try_again(self) -> Response | None:
        decision = self._decide()
        if isinstance(decision, Retry):
            return self._start_try()
        last = self._tries.last_outcome
        if isinstance(last, Reply) and ran_of(last) is not Ran.NO:
            return _to_response(last, self._tries.combined_ran, '')
        return refusal_response(refuse_attempts(self._tries, decision))

    def _decide(self) -> Retry | GiveUp:
        left_s = self.seconds_left
        decision = decide_attempt(self._tries, left_s, has_budget=True)
        if isinstance(decision, GiveUp):
            return decision
        budget = self._parts.routes.spend_retry(self._admitted.call.service)
        return decide_attempt(self._tries, left_s, has_budget=budget)

    def _record_failure(self, target: Target, reason: str) -> None:
        self._excluded |= {target.name}
        self._parts.routes.record_failure(
            target.name, target.incarnation, reason
        )
        self._record_event(reason, target)

    def _record_event(self, event: str, target: Target) -> None:
        request = self._admitted.ticket.request
        self._parts.timeline.record(PART, event, request, target.name)


def _silence_timeout(settings: ServiceSettings) -> float:
    if settings.urgent:
        return min(settings.silence_s, URGENT_SILENCE_S)
    return settings.silence_s


def _to_response(reply: Reply, ran: Ran, route: str) -> Response:
    headers = tuple(
        (name, header_value)
        for name, header_value in reply.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    own_headers = (ran_header(ran), ('X-Mallowcrank-Route', route))
    return Response(reply.status, reply.body, (*headers, *own_headers))
