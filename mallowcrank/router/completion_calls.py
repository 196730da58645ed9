"""
Runs completions: opens a stream and gives its tokens to the caller.
"""

from dataclasses import replace

from mallowcrank.refusals import Ran
from mallowcrank.requests.outcomes import ran_header, refusal_response
from mallowcrank.router.event_stream import EventStream, leave, make_shaper
from mallowcrank.router.parts import RouterParts
from mallowcrank.router.shapes import TokenText
from mallowcrank.router.token_stream import CALLER_GONE, Admitted, TokenStream
from mallowcrank.streams.token_queue import StreamEnd
from mallowcrank.web import Response, json_response

EVENT_STREAM = (
    ('Content-Type', 'text/event-stream'),
    ('Cache-Control', 'no-cache'),
)


def run_completion(admitted: Admitted, parts: RouterParts) -> Response:
    """
    Run an admitted completion; gives back admission when it ends.
    """
    tokens = TokenStream(admitted, parts)
    if admitted.caller.is_closed():
        # It left while it waited for its turn.
        leave(admitted, tokens, parts)
        return refusal_response(replace(CALLER_GONE, ran=Ran.NO))
    tokens.start()
    if admitted.call.streamed:
        return _stream(tokens, admitted, parts)
    try:
        return _collect(tokens, admitted, parts)
    finally:
        tokens.close()
        leave(admitted, tokens, parts)


def _stream(
    tokens: TokenStream, admitted: Admitted, parts: RouterParts
) -> Response:
    first = _take_first(tokens)
    ended = first[1]
    if ended is not None and ended.refused is not None and not first[0]:
        tokens.close()
        leave(admitted, tokens, parts)
        return refusal_response(ended.refused)
    body = EventStream(tokens, first, admitted, parts)
    headers = (*EVENT_STREAM, *_answer_headers(tokens))
    return Response(200, body, headers)


def _take_first(tokens: TokenStream) -> tuple[list[int], StreamEnd | None]:
    given, ended = tokens.take()
    while not given and ended is None:
        given, ended = tokens.take()
    return given, ended


def _collect(
    tokens: TokenStream, admitted: Admitted, parts: RouterParts
) -> Response:
    answer: list[int] = []
    ended: StreamEnd | None = None
    while ended is None:
        given, ended = tokens.take()
        answer.extend(given)
    if ended.refused is not None:
        return refusal_response(ended.refused)
    text = TokenText().decode(answer, final=True)
    shaper = make_shaper(admitted, parts)
    whole = shaper.whole(text, ended.finish_reason, tokens.usage)
    return json_response(whole, headers=_answer_headers(tokens))


def _answer_headers(tokens: TokenStream) -> tuple[tuple[str, str], ...]:
    return (
        ran_header(Ran.YES),
        ('X-Mallowcrank-Route', tokens.route),
    )
