"""
Passes a request on to the router that keeps its key, and its answer back piece
by piece.
"""

from collections.abc import Iterator
from dataclasses import replace

from mallowcrank.calls import HttpCaller, StreamedReply, StreamLimits
from mallowcrank.ports import Failure
from mallowcrank.refusals import Ran, Refused
from mallowcrank.requests.intake import (
    DEADLINE,
    FORWARDED_BY,
    MILLISECONDS,
    passed_headers,
)
from mallowcrank.requests.keepers import keeper_gone
from mallowcrank.requests.outcomes import refusal_response
from mallowcrank.router.answer_format import error_event
from mallowcrank.router.parts import RouterParts
from mallowcrank.router.service_calls import HOP_BY_HOP_HEADERS
from mallowcrank.router.token_stream import refuse_stopped
from mallowcrank.view import Peer
from mallowcrank.web import Request, Response

# The keeper writes five times a second to a stream that has begun.
MAX_STREAM_SILENCE_S = 2
# A connection to the keeper that has brought no answer is replaced: it may
# have gone silent. Few answers take longer to begin.
FIRST_ANSWER_TIMEOUT_S = 8
PART = 'router'
STREAM_TYPE = 'text/event-stream'
EVENT_END = b'\n\n'  # a piece may end within an event


def forward(
    request: Request, deadline: float, peer: Peer, parts: RouterParts
) -> Response:
    """
    Pass a request on to its keeper.

    :param deadline: steady time in seconds.
    """
    reply = _ask(request, deadline, peer, parts)
    if isinstance(reply, Failure):
        return refusal_response(_refuse(reply))
    passed = tuple(
        (name, given)
        for name, given in reply.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    if reply.headers.get('Content-Type', '').startswith(STREAM_TYPE):
        return Response(reply.status, ForwardedBody(reply, parts), passed)
    body = _collect(reply)
    if isinstance(body, Failure):
        return refusal_response(_refuse(body))
    return Response(reply.status, body, passed)


def _ask(
    request: Request, deadline: float, peer: Peer, parts: RouterParts
) -> StreamedReply | Failure:
    """
    Ask the keeper; where its connection stays silent, once more over a fresh
    one, as the keeper lets the second join the first.
    """
    left = deadline - parts.clock.steady()
    reply = _open(request, left, min(left, FIRST_ANSWER_TIMEOUT_S), peer, parts)
    left = deadline - parts.clock.steady()
    is_doubtful = isinstance(reply, Failure) and reply.ran is Ran.UNKNOWN
    if is_doubtful and left > 0:
        parts.timeline.record(PART, 'keeper asked again', target=peer.name)
        return _open(request, left, left, peer, parts)
    return reply


def _open(
    request: Request,
    left: float,
    answer_s: float,
    peer: Peer,
    parts: RouterParts,
) -> StreamedReply | Failure:
    headers = passed_headers(request.headers)
    headers[FORWARDED_BY] = parts.me.name
    headers[DEADLINE] = str(int(left * MILLISECONDS))
    return HttpCaller(peer.address, connections=1).open(
        request.method,
        request.target,
        request.body,
        headers,
        StreamLimits(answer_s, MAX_STREAM_SILENCE_S),
    )


class ForwardedBody:
    """
    A streamed answer of another router. Where it breaks off, an event says so.
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
            return self._break_off(refuse_stopped())
        piece = self._reply.take()
        if isinstance(piece, Failure):
            return self._break_off(_refuse(piece))
        if not piece:
            raise StopIteration
        return piece

    def close(self) -> None:
        """
        Close the connection; the keeper goes on, so that a retry gets the
        whole answer.
        """
        self._reply.close()

    def _break_off(self, refused: Refused) -> bytes:
        self._ended = True
        return b''.join((EVENT_END, error_event(refused)))


def _collect(reply: StreamedReply) -> bytes | Failure:
    pieces: list[bytes] = []
    while True:
        piece = reply.take()
        if isinstance(piece, Failure):
            return piece
        if not piece:
            return b''.join(pieces)
        pieces.append(piece)


def _refuse(failure: Failure) -> Refused:
    # An earlier try may have reached the keeper. One that only stays silent
    # may come back; a closed port means that it has ended.
    retry_after_s = None if failure.ran is Ran.NO else 1
    return replace(keeper_gone(), retry_after_s=retry_after_s)
