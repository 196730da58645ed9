"""
Runs plain services' calls: one try after the other, or, where a call may
repeat and its connection stays silent, a further one beside it.
"""

from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait
from dataclasses import dataclass, replace

from mallowcrank.calls import Reply
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.requests.calls import ServiceCall
from mallowcrank.requests.intake import DEADLINE, MILLISECONDS
from mallowcrank.requests.outcomes import ran_header, refusal_response
from mallowcrank.requests.retry import Again, GiveUp, combine
from mallowcrank.requests.tries import (
    Tries,
    decide_try,
    end_try,
    is_sound,
    ran_of,
    refuse_tries,
    start_try,
)
from mallowcrank.router.parts import RouterParts
from mallowcrank.router.ports import Ticket
from mallowcrank.router.replica_connections import ReplicaConnections
from mallowcrank.view import ServiceSettings, Target
from mallowcrank.web import Response

# Headers of one connection, and those that the server sets itself.
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
URGENT_SILENCE_S = 0.08  # two silent tries and an answer take under 250 ms
Outcome = Reply | Failure | Refused


@dataclass(frozen=True)
class AdmittedCall:
    """
    A service's call that may run.

    :param deadline: steady time in seconds.
    :param guard: checked right before each send.
    """

    call: ServiceCall
    ticket: Ticket
    deadline: float
    settings: ServiceSettings
    check_send: Callable[[], Refused | None]


class ServiceRunner:
    """
    The threads and connections that calls to replicas use.
    """

    def __init__(self, parts: RouterParts) -> None:
        self.parts = parts
        self.connections = ReplicaConnections()
        self.executor = ThreadPoolExecutor(
            2 * parts.settings.threads, thread_name_prefix=PART
        )

    def run(self, admitted: AdmittedCall) -> Response:
        """
        Run an admitted call, and give back admission.
        """
        try:
            return ServiceRun(admitted, self).run()
        finally:
            self.parts.admission.release(admitted.ticket, 0)
            self.parts.timeline.record(
                'router', 'request ended', admitted.ticket.request
            )


class ServiceRun:
    """
    One call and its tries.
    """

    def __init__(self, admitted: AdmittedCall, link: ServiceRunner) -> None:
        self._admitted = admitted
        self._link = link
        self._parts = link.parts
        self._tries = Tries(admitted.call.terms.repeatable)
        self._open: dict[Future[Outcome], Target] = {}
        self._avoid: frozenset[str] = frozenset()
        self._is_patient = not admitted.call.terms.repeatable

    @property
    def seconds_left(self) -> float:
        """
        Return the seconds until the caller's deadline.
        """
        return self._admitted.deadline - self._parts.clock.steady()

    def run(self) -> Response:
        """
        Return the first sound answer, or a refusal.
        """
        response = self._start_try()
        while response is None:
            done = self._wait()
            if done:
                response = self._take_outcomes(done)
            else:
                response = self._take_silence()
        return response

    def _wait(self) -> set['Future[Outcome]']:
        limit = max(0, self.seconds_left)
        if not self._is_patient:
            limit = min(limit, _silence_limit(self._admitted.settings))
        return wait(self._open, limit, FIRST_COMPLETED).done

    def _start_try(self) -> Response | None:
        """
        Send one more try; return the refusal where there is none to send to.
        """
        target = self._choose()
        if isinstance(target, Refused):
            ran = combine(target.ran, self._tries.known)
            return (
                None
                if self._open
                else refusal_response(replace(target, ran=ran))
            )
        self._tries = start_try(self._tries)
        self._note('route chosen', target)
        future = self._link.executor.submit(self._send, target)
        self._open[future] = target
        return None

    def _choose(self) -> Target | Refused:
        service = self._admitted.call.service
        routes = self._parts.routes
        chosen = routes.choose_replica(service, self._avoid)
        if isinstance(chosen, Refused) and self._avoid:
            # The only replica may answer on another connection.
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
        Make one try; runs in a sender's thread.
        """
        started = self._parts.clock.steady()
        try:
            outcome = self._send_guarded(target)
        finally:
            self._parts.routes.release_replica(target.name)
        if isinstance(outcome, Reply):
            seconds = self._parts.clock.steady() - started
            self._parts.routes.record_success(target.name, seconds)
        return outcome

    def _send_guarded(self, target: Target) -> Outcome:
        call, replicas = self._admitted.call, self._link.connections
        # A connection that went silent would leave the outcome unknown.
        is_fresh = not call.terms.repeatable or self._tries.started > 1
        caller = (
            replicas.fresh(target.address)
            if is_fresh
            else replicas.pooled(target.address)
        )
        headers = dict(call.headers)
        headers['X-Mallowcrank-Request'] = self._admitted.ticket.request
        refused = self._admitted.check_send()
        if refused is not None:
            return refused
        left = self.seconds_left
        headers[DEADLINE] = str(int(left * MILLISECONDS))
        return caller.call(call.method, call.path, call.body, headers, left)

    def _take_outcomes(self, done: set['Future[Outcome]']) -> Response | None:
        for future in done:
            target = self._open.pop(future)
            outcome = future.result()
            if isinstance(outcome, Refused):
                ran = combine(outcome.ran, self._tries.ran)
                return refusal_response(replace(outcome, ran=ran))
            if is_sound(outcome):
                return _pass_headers(outcome, Ran.YES, target.name)
            self._tries = end_try(self._tries, outcome)
            self._blame(target, 'the call failed')
        if self._open:
            return None
        return self._try_again()

    def _take_silence(self) -> Response | None:
        if self.seconds_left <= 0:
            return refusal_response(
                Refused(
                    Reason.DEADLINE_PASSED,
                    self._tries.known,
                    'the deadline passed before the replica answered',
                )
            )
        for target in self._open.values():
            self._link.connections.discard(target.address)
            self._blame(target, 'the call went silent')
        decision = self._decide()
        if isinstance(decision, GiveUp):
            self._is_patient = True
            return None
        return self._start_try()

    def _try_again(self) -> Response | None:
        decision = self._decide()
        if isinstance(decision, Again):
            return self._start_try()
        last = self._tries.last
        if isinstance(last, Reply) and ran_of(last) is not Ran.NO:
            return _pass_headers(last, self._tries.known, '')
        return refusal_response(refuse_tries(self._tries, decision))

    def _decide(self) -> Again | GiveUp:
        left = self.seconds_left
        decision = decide_try(self._tries, left, budget=True)
        if isinstance(decision, GiveUp):
            return decision
        budget = self._parts.routes.spend_retry(self._admitted.call.service)
        return decide_try(self._tries, left, budget=budget)

    def _blame(self, target: Target, reason: str) -> None:
        self._avoid |= {target.name}
        self._parts.routes.record_failure(
            target.name, target.incarnation, reason
        )
        self._note(reason, target)

    def _note(self, what: str, target: Target) -> None:
        request = self._admitted.ticket.request
        self._parts.timeline.record(PART, what, request, target.name)


def _silence_limit(settings: ServiceSettings) -> float:
    if settings.urgent:
        return min(settings.silence_s, URGENT_SILENCE_S)
    return settings.silence_s


def _pass_headers(reply: Reply, ran: Ran, route: str) -> Response:
    headers = tuple(
        (name, given)
        for name, given in reply.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    own = (ran_header(ran), ('X-Mallowcrank-Route', route))
    return Response(reply.status, reply.body, (*headers, *own))
