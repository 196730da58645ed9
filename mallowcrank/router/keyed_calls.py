"""
Runs requests that may not repeat: at most once for each idempotency key.
"""

from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass, replace

from xxhash import xxh128_hexdigest

from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.requests.calls import RequestOptions
from mallowcrank.requests.idempotency_store import Answer, FinishKey, InProgress
from mallowcrank.requests.key_names import read_key
from mallowcrank.requests.key_ownership import (
    OWNED_KEY_TTL_S,
    Forward,
    find_keeper,
    find_owner,
)
from mallowcrank.requests.keys import KEY_FIELD, Claim, check_send
from mallowcrank.requests.outcomes import refusal_response
from mallowcrank.router.forwarding import forward
from mallowcrank.router.parts import RouterParts
from mallowcrank.web import Request, Response

MAX_STORED_ANSWER_BYTES = 256 * 1024
REPLAYED_HEADER = ('X-Mallowcrank-Replayed', 'yes')
RAN_HEADER = 'x-mallowcrank-ran'
KEEPER_TIMEOUT_S = 5  # for the actor's reply to a claim

SendCheck = Callable[[], Refused | None]
Runner = Callable[[SendCheck], Response]


@dataclass(frozen=True)
class KeyedRequest:
    """
    A request with an idempotency key.

    :param deadline: steady time in seconds.
    """

    request: Request
    terms: RequestOptions
    deadline: float

    @property
    def scoped_key(self) -> str:
        """
        Return the key with its workspace, so that equal keys of two workspaces
        stay apart.
        """
        return f'{self.terms.workspace}\0{self.terms.key}'

    @property
    def fingerprint(self) -> str:
        """
        Return a hash of the request's method, path, query and body.
        """
        http_request = self.request
        query = sorted(http_request.query.items())
        head = f'{http_request.method}\0{http_request.path}\0{query}\0'
        return xxh128_hexdigest(head.encode() + http_request.body)


class KeyedCalls:
    """
    Finds the keeper of a key, and runs the request if this router is it.
    """

    def __init__(self, parts: RouterParts) -> None:
        self._parts = parts

    def run(self, keyed: KeyedRequest, runner: Runner) -> Response:
        """
        Run the request, replay its stored answer, forward it or refuse it.

        :param runner: runs the request; it is given the check to make right
            before the send.
        """
        forwarded = bool(keyed.terms.forwarded_by)
        context = self._parts.view_store.keeper_lookup_context(
            forwarded=forwarded
        )
        name = read_key(keyed.terms.key)
        if name is None:
            found = find_owner(keyed.scoped_key, context)
            expiry = self._parts.epoch_now() + OWNED_KEY_TTL_S
        else:
            found = find_keeper(name, context)
            expiry = name.expiry
        if isinstance(found, Refused):
            return refusal_response(found)
        if isinstance(found, Forward):
            return forward(
                keyed.request, keyed.deadline, found.peer, self._parts
            )
        return self._handle_locally(keyed, expiry, runner)

    def _handle_locally(
        self, keyed: KeyedRequest, expiry: float, runner: Runner
    ) -> Response:
        claim = Claim(
            key=keyed.scoped_key,
            fingerprint=keyed.fingerprint,
            expiry=expiry,
            now=self._parts.epoch_now(),
        )
        reply = self._parts.keeper.ask(claim, timeout=KEEPER_TIMEOUT_S)
        if isinstance(reply, Refused):
            return refusal_response(reply)
        if isinstance(reply, Answer):
            return _replay(reply)
        if isinstance(reply, InProgress):
            return self._join(reply, keyed)
        return self._start(keyed, expiry, runner)

    def _join(self, running: InProgress, keyed: KeyedRequest) -> Response:
        left_s = keyed.deadline - self._parts.clock.steady()
        try:
            return _replay(running.answer.result(max(0, left_s)))
        except FutureTimeoutError:
            return refusal_response(
                Refused(
                    Reason.KEY_IN_FLIGHT,
                    Ran.UNKNOWN,
                    'the request of this key is still running',
                    retry_after_s=1,
                    field=KEY_FIELD,
                )
            )

    def _start(
        self, keyed: KeyedRequest, expiry: float, runner: Runner
    ) -> Response:
        def guard() -> Refused | None:
            left_s = keyed.deadline - self._parts.clock.steady()
            return check_send(expiry, self._parts.epoch_now(), left_s)

        try:
            response = runner(guard)
        except Exception:
            failed = Refused(
                Reason.INTERNAL, Ran.UNKNOWN, 'the router failed; see its log'
            )
            self._finish(keyed, refusal_response(failed), b'')
            raise
        if isinstance(response.body, bytes):
            self._finish(keyed, response, response.body)
            return response
        recorded = RecordedBody(
            response.body, lambda body: self._finish(keyed, response, body)
        )
        return replace(response, body=recorded)

    def _finish(
        self, keyed: KeyedRequest, response: Response, body: bytes
    ) -> None:
        headers = dict(response.headers)
        ran = Ran(
            next(
                given
                for name, given in headers.items()
                if name.lower() == RAN_HEADER
            )
        )
        if isinstance(response.body, bytes):
            body = response.body
        answer = _limit_size(
            Answer(response.status, response.headers, body, ran)
        )
        self._parts.keeper.tell(FinishKey(keyed.scoped_key, answer))


class RecordedBody:
    """
    A streamed body that is recorded. If the caller disconnects, the rest is
    still read, so that a retry with the key gets the whole answer.

    :param finish: called once with the recorded body.
    """

    def __init__(
        self, body: Iterable[bytes], finish: Callable[[bytes], None]
    ) -> None:
        self._body = body
        self._pieces = iter(body)
        self._finish = finish
        self._recorded: list[bytes] = []
        self._finished = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        piece = next(self._pieces, None)
        if piece is None:
            self._finish_once()
            raise StopIteration
        self._recorded.append(piece)
        return piece

    def close(self) -> None:
        """
        Read the rest, store the answer and close the body.
        """
        self._recorded.extend(self._pieces)
        self._finish_once()
        close = getattr(self._body, 'close', None)
        if close is not None:
            close()

    def _finish_once(self) -> None:
        if not self._finished:
            self._finished = True
            self._finish(b''.join(self._recorded))


def _replay(answer: Answer) -> Response:
    headers = (*answer.headers, REPLAYED_HEADER)
    return Response(answer.status, answer.body, headers)


def _limit_size(answer: Answer) -> Answer:
    """
    Replace an answer that is too large to store by a short refusal.
    """
    if answer.size <= MAX_STORED_ANSWER_BYTES:
        return answer
    refused = Refused(
        Reason.KEY_REUSED,
        answer.ran,
        'the request ran; its answer was too large to keep',
        field=KEY_FIELD,
    )
    short_response = refusal_response(refused)
    body = (
        short_response.body if isinstance(short_response.body, bytes) else b''
    )
    return Answer(
        short_response.status, short_response.headers, body, answer.ran
    )
