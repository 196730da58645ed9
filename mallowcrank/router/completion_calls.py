"""
Runs completions: opens a stream and returns its tokens to the caller.
"""

from dataclasses import replace

from mallowcrank.refusals import Ran
from mallowcrank.requests.outcomes import ran_header, refusal_response
from mallowcrank.router.answer_format import TokenDecoder
from mallowcrank.router.event_stream import (
    EventStream,
    make_formatter,
    release_admission,
)
from mallowcrank.router.parts import RouterParts
from mallowcrank.router.token_stream import (
    CALLER_GONE,
    AdmittedCompletion,
    TokenStream,
)
from mallowcrank.streams.token_queue import StreamEnd
from mallowcrank.web import Response, json_response

EVENT_STREAM_HEADERS = (
    ('Content-Type', 'text/event-stream'),
    ('Cache-Control', 'no-cache'),
)


def run_completion(
    admitted: AdmittedCompletion, parts: RouterParts
) -> Response:
    """
    Run an admitted completion; its admission is released when it ends.
    """
    tokens = TokenStream(admitted, parts)
    if admitted.caller.is_closed():
        # The caller disconnected while the request waited for admission.
        release_admission(admitted, tokens, parts)
        return refusal_response(replace(CALLER_GONE, ran=Ran.NO))
    tokens.start()
    if admitted.call.streamed:
        return _answer_streamed(tokens, admitted, parts)
    try:
        return _answer_whole(tokens, admitted, parts)
    finally:
        tokens.close()
        release_admission(admitted, tokens, parts)


def _answer_streamed(
    tokens: TokenStream, admitted: AdmittedCompletion, parts: RouterParts
) -> Response:
    first = _read_first(tokens)
    ended = first[1]
    if ended is not None and ended.refused is not None and not first[0]:
        tokens.close()
        release_admission(admitted, tokens, parts)
        return refusal_response(ended.refused)
    body = EventStream(tokens, first, admitted, parts)
    headers = (*EVENT_STREAM_HEADERS, *_answer_headers(tokens))
    return Response(200, body, headers)


def _read_first(tokens: TokenStream) -> tuple[list[int], StreamEnd | None]:
    new_tokens, ended = tokens.read()
    while not new_tokens and ended is None:
        new_tokens, ended = tokens.read()
    return new_tokens, ended


def _answer_whole(
    tokens: TokenStream, admitted: AdmittedCompletion, parts: RouterParts
) -> Response:
    answer_tokens: list[int] = []
    ended: StreamEnd | None = None
    while ended is None:
        new_tokens, ended = tokens.read()
        answer_tokens.extend(new_tokens)
    if ended.refused is not None:
        return refusal_response(ended.refused)
    text = TokenDecoder().decode(answer_tokens, final=True)
    formatter = make_formatter(admitted, parts)
    answer = formatter.whole_answer(text, ended.finish_reason, tokens.usage)
    return json_response(answer, headers=_answer_headers(tokens))


def _answer_headers(tokens: TokenStream) -> tuple[tuple[str, str], ...]:
    return (
        ran_header(Ran.YES),
        ('X-Mallowcrank-Route', tokens.route),
    )
