"""
Sends one attempt at a call over HTTP and reads its answer.
"""

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass

from urllib3 import BaseHTTPResponse, HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError, NewConnectionError

from mallowcrank.load.records import CallKind, Plan, Try
from mallowcrank.load.sse import EventReader, StreamedAnswer

CONNECT_TIMEOUT_S = 1
MIN_RESPONSE_TIMEOUT_S = 5  # then another router is tried
# Routers send keep-alives, so streams without tokens aren't silent either.
STREAM_READ_TIMEOUT_S = 0.6
MS_PER_S = 1000
OK = 200


@dataclass(frozen=True)
class AttemptRequest:
    """
    The input of an attempt.

    :param remaining_s: seconds until the caller's deadline.
    :param key: the idempotency key, or an empty string.
    """

    plan: Plan
    address: str
    remaining_s: float
    key: str


@dataclass(frozen=True)
class AttemptResult:
    """
    The result of an attempt.

    :param is_complete: whether the answer is complete.
    :param retry_after_s: seconds until a retry, or `None` for no retry.
    :param is_broken: whether the connection failed.
    :param is_unsent: whether no connection was established.
    """

    record: Try
    is_complete: bool = False
    retry_after_s: float | None = 0
    is_broken: bool = False
    is_unsent: bool = False
    streamed: StreamedAnswer = StreamedAnswer()


class Connections:
    """
    One caller's open connections, by address.
    """

    def __init__(self) -> None:
        self._pools: dict[str, HTTPConnectionPool] = {}

    def send(self, outgoing: AttemptRequest) -> BaseHTTPResponse:
        """
        Send a request and return its response with the body unread.

        :raises urllib3.exceptions.HTTPError: when no answer comes.
        """
        plan = outgoing.plan
        read_timeout_s = _response_timeout_s(plan, outgoing.remaining_s)
        return self._pool(outgoing.address).urlopen(
            'POST',
            _path(plan),
            body=_body(plan),
            headers=_headers(outgoing),
            retries=False,
            preload_content=False,
            timeout=Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s),
        )

    def drop(self, address: str) -> None:
        """
        Close the connections to an address.
        """
        pool = self._pools.pop(address, None)
        if pool:
            pool.close()

    def _pool(self, address: str) -> HTTPConnectionPool:
        if address not in self._pools:
            host, _, port = address.rpartition(':')
            self._pools[address] = HTTPConnectionPool(
                host, int(port), maxsize=1, retries=False
            )
        return self._pools[address]


def attempt(
    outgoing: AttemptRequest, connections: Connections
) -> AttemptResult:
    """
    Send a request and read the answer to its end.
    """
    started = time.time()
    reader = EventReader()
    request_id = ''
    try:
        response = connections.send(outgoing)
        request_id = response.headers.get('X-Mallowcrank-Request', '')
        return _read_answer(response, outgoing, reader, started)
    except (HTTPError, OSError, ValueError) as error:
        connections.drop(outgoing.address)
        record = Try(
            request_id,
            outgoing.address,
            started,
            time.time(),
            problem=f'the connection broke: {error}',
        )
        return AttemptResult(
            record,
            is_broken=True,
            is_unsent=isinstance(error, NewConnectionError),
            streamed=reader.streamed,
        )


def _read_answer(
    response: BaseHTTPResponse,
    outgoing: AttemptRequest,
    reader: EventReader,
    started: float,
) -> AttemptResult:
    is_stream = response.headers.get('Content-Type', '') == 'text/event-stream'
    if response.status == OK and is_stream:
        _set_stream_timeout(response)
        for received in response.stream(1 << 16, decode_content=False):
            reader.feed(received, time.time())
        response.release_conn()
        return _make_stream_result(response, outgoing, reader.streamed, started)
    body = response.read()
    response.release_conn()
    return _make_plain_result(response, outgoing, body, started)


def _response_timeout_s(plan: Plan, remaining_s: float) -> float:
    """
    Return how long to wait for the start of an answer, in seconds.
    """
    if plan.silence_s:
        return min(remaining_s, plan.silence_s)
    if plan.kind is CallKind.COMPLETION:
        return min(remaining_s, max(MIN_RESPONSE_TIMEOUT_S, remaining_s / 2))
    return remaining_s


def _set_stream_timeout(response: BaseHTTPResponse) -> None:
    connection = response.connection
    if connection is not None and connection.sock is not None:
        connection.sock.settimeout(STREAM_READ_TIMEOUT_S)


def _make_stream_result(
    response: BaseHTTPResponse,
    outgoing: AttemptRequest,
    streamed: StreamedAnswer,
    started: float,
) -> AttemptResult:
    ran, code = streamed.error
    is_answered = streamed.is_complete and not code
    record = Try(
        response.headers.get('X-Mallowcrank-Request', ''),
        outgoing.address,
        started,
        time.time(),
        response.status,
        ran or response.headers.get('X-Mallowcrank-Ran', ''),
        code,
        '' if is_answered else 'the stream broke',
    )
    is_broken = not is_answered and not code
    return AttemptResult(record, is_answered, 0, is_broken, streamed=streamed)


def _make_plain_result(
    response: BaseHTTPResponse,
    outgoing: AttemptRequest,
    body: bytes,
    started: float,
) -> AttemptResult:
    headers = response.headers
    is_answered = response.status == OK
    code = '' if is_answered else _error_code(body)
    record = Try(
        headers.get('X-Mallowcrank-Request', ''),
        outgoing.address,
        started,
        time.time(),
        response.status,
        headers.get('X-Mallowcrank-Ran', ''),
        code,
        '' if is_answered else f'refused: {response.status} {code}',
    )
    text = body.decode(errors='replace') if is_answered else ''
    return AttemptResult(
        record,
        is_answered,
        _retry_after_s(headers),
        streamed=StreamedAnswer(text=text),
    )


def _retry_after_s(headers: Mapping[str, str]) -> float | None:
    if headers.get('X-Should-Retry') == 'false':
        return None
    delay = headers.get('Retry-After', '')
    return float(delay) if delay.isdigit() else None


def _error_code(body: bytes) -> str:
    try:
        return json.loads(body)['error']['code']
    except (ValueError, KeyError, TypeError):
        return 'malformed'


def _path(plan: Plan) -> str:
    if plan.kind is CallKind.COMPLETION:
        return '/v1/completions'
    return f'/v1/services/{plan.serves}/calls'


def _body(plan: Plan) -> bytes:
    if plan.kind is CallKind.SERVICE:
        return plan.prompt.encode()
    fields = {
        'model': plan.serves,
        'prompt': plan.prompt,
        'max_tokens': plan.max_tokens,
        'stream': True,
    }
    return json.dumps(fields).encode()


def _headers(outgoing: AttemptRequest) -> dict[str, str]:
    plan = outgoing.plan
    headers = {
        'Content-Type': 'application/json',
        'X-Mallowcrank-Workspace': plan.workspace,
        'X-Mallowcrank-Deadline-Ms': str(int(outgoing.remaining_s * MS_PER_S)),
        'X-Mallowcrank-Priority': str(plan.priority),
        'X-Mallowcrank-Repeatable': 'yes' if plan.repeatable else 'no',
    }
    if outgoing.key:
        headers['Idempotency-Key'] = outgoing.key
    return headers
