"""
Forwards a request to the router that keeps its key, and streams the answer
back.

That router is called the keeper.
"""

from collections.abc import Iterator
from dataclasses import replace

from mallowcrank.bounded_reading import MAX_ANSWER_BYTES
from mallowcrank.calls import HttpCaller, StreamedReply, StreamLimits
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran, Refused
from mallowcrank.requests.key_ownership import keeper_gone
from mallowcrank.requests.outcomes import refusal_response
from mallowcrank.requests.parsing import (
    DEADLINE_HEADER,
    FORWARDED_BY_HEADER,
    MS_PER_S,
    headers_to_forward,
)
from mallowcrank.router.answer_format import error_event
from mallowcrank.router.parts import RouterParts
from mallowcrank.router.service_calls import HOP_BY_HOP_HEADERS
from mallowcrank.router.token_stream import refuse_stopped
from mallowcrank.view import Peer
from mallowcrank.web import Request, Response

# The keeper writes to an open stream five times a second.
MAX_STREAM_SILENCE_S = 2
# A connection that brings no answer within this time is replaced, as it may
# have gone silent. Few answers take longer to begin.
FIRST_ANSWER_TIMEOUT_S = 8
PART = 'router'
STREAM_TYPE = 'text/event-stream'
# Ends an event that the last piece left incomplete.
EVENT_END = b'\n\n'


def forward(
    request: Request, deadline: float, peer: Peer, parts: RouterParts
) -> Response:
    """
    Forward a request to its keeper.

    :param deadline: steady time in seconds.
    """
    reply = _open_with_retry(request, deadline, peer, parts)
    if isinstance(reply, Failure):
        return refusal_response(_refuse(reply))
    response_headers = tuple(
        (name, header_value)
        for name, header_value in reply.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    if reply.headers.get('Content-Type', '').startswith(STREAM_TYPE):
        return Response(
            reply.status, ForwardedBody(reply, parts), response_headers
        )
    body = _read_all(reply)
    if isinstance(body, Failure):
        return refusal_response(_refuse(body))
    return Response(reply.status, body, response_headers)


def _open_with_retry(
    request: Request, deadline: float, peer: Peer, parts: RouterParts
) -> StreamedReply | Failure:
    """
    Send the request to the keeper. If the connection stays silent, send it
    once more over a new one: the keeper lets the second request wait for the
    answer to the first.
    """
    left_s = deadline - parts.clock.steady()
    reply = _open(
        request, left_s, min(left_s, FIRST_ANSWER_TIMEOUT_S), peer, parts
    )
    left_s = deadline - parts.clock.steady()
    may_have_run = isinstance(reply, Failure) and reply.ran is Ran.UNKNOWN
    if may_have_run and left_s > 0:
        parts.timeline.record(PART, 'keeper asked again', target=peer.name)
        return _open(request, left_s, left_s, peer, parts)
    return reply


def _open(
    request: Request,
    left_s: float,
    answer_s: float,
    peer: Peer,
    parts: RouterParts,
) -> StreamedReply | Failure:
    headers = headers_to_forward(request.headers)
    headers[FORWARDED_BY_HEADER] = parts.me.name
    headers[DEADLINE_HEADER] = str(int(left_s * MS_PER_S))
    return HttpCaller(peer.address, connections=1).open(
        request.method,
        request.target,
        request.body,
        headers,
        # The keeper itself ends its answer at the deadline.
        StreamLimits(
            answer_s, MAX_STREAM_SILENCE_S, left_s + MAX_STREAM_SILENCE_S
        ),
    )


class ForwardedBody:
    """
    A streamed answer of another router. If it breaks off, an error event
    follows.
    """

    def __init__(self, reply: StreamedReply, parts: RouterParts) -> None:
        self._reply = reply
        self._parts = parts
        self._ended = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self._ended:
            raise StopIteration
        if self._parts.in_flight.is_aborted:
            return self._end_with_error(refuse_stopped())
        piece = self._reply.read_chunk()
        if isinstance(piece, Failure):
            return self._end_with_error(_refuse(piece))
        if not piece:
            raise StopIteration
        return piece

    def close(self) -> None:
        """
        Close the connection. The keeper still runs the request to its end, so
        that a retry gets the whole answer.
        """
        self._reply.close()

    def _end_with_error(self, refused: Refused) -> bytes:
        self._ended = True
        return b''.join((EVENT_END, error_event(refused)))


def _read_all(reply: StreamedReply) -> bytes | Failure:
    whole = bytearray()
    while len(whole) <= MAX_ANSWER_BYTES:
        piece = reply.read_chunk()
        if isinstance(piece, Failure):
            return piece
        if not piece:
            return bytes(whole)
        whole += piece
    reply.close()
    return Failure('the answer is too long', Ran.UNKNOWN)


def _refuse(failure: Failure) -> Refused:
    # An earlier try may have reached the keeper. A keeper that is only silent
    # may recover; a closed port means that its process has ended.
    retry_after_s = None if failure.ran is Ran.NO else 1
    return replace(keeper_gone(), retry_after_s=retry_after_s)
