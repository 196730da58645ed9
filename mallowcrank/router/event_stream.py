"""
The server-sent events of one stream.
"""

from collections.abc import Iterator
from errno import ECONNRESET

from mallowcrank.router.answer_format import AnswerFormatter, TokenDecoder
from mallowcrank.router.parts import RouterParts
from mallowcrank.router.pushing import KEEPALIVE_MARKER, PushedStream
from mallowcrank.router.token_stream import AdmittedCompletion, TokenStream
from mallowcrank.streams.token_queue import StreamEnd

KEEPALIVE_EVENT = b': waiting\n\n'


class EventStream:
    """
    The body of a streamed answer. The admission is released when the body
    ends, also if the caller disconnects before.
    """

    def __init__(
        self,
        tokens: TokenStream,
        first: tuple[list[int], StreamEnd | None],
        admitted: AdmittedCompletion,
        parts: RouterParts,
    ) -> None:
        self._tokens = tokens
        self._admitted = admitted
        self._parts = parts
        self._formatter = make_formatter(admitted, parts)
        self._events = self._make_events(first)
        self._is_closed = False
        self._pushed_stream: PushedStream | None = None

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return next(self._events)

    def close(self) -> None:
        """
        End the stream, whether or not it is complete.
        """
        if not self._is_closed:
            self._is_closed = True
            if self._pushed_stream is not None:
                self._pushed_stream.close()
            self._tokens.close()
            release_admission(self._admitted, self._tokens, self._parts)

    def _make_events(
        self, first: tuple[list[int], StreamEnd | None]
    ) -> Iterator[bytes]:
        decoder = TokenDecoder()
        tokens, ended = first
        opening = self._formatter.opening_event()
        while ended is None:
            yield opening + self._format(decoder.decode(tokens))
            opening = b''
            if self._admitted.caller.accepts_chunks:
                # The response headers are sent, so the pusher can write the
                # rest.
                tokens, ended = [], self._push_tokens(decoder)
            else:
                tokens, ended = self._tokens.read()
        last_event = self._format(
            decoder.decode(tokens, final=True), keepalive=b''
        )
        if ended.refused is not None:
            final_events = self._formatter.error_event(ended.refused)
        else:
            final_events = self._formatter.closing_events(
                ended.finish_reason, self._tokens.usage
            )
        yield b''.join((opening, last_event, final_events))

    def _push_tokens(self, decoder: TokenDecoder) -> StreamEnd:
        """
        Let the pusher write until the stream ends, and return the end.

        :raises ConnectionResetError: when the caller's connection is broken.
        """
        pushed_stream = self._tokens.start_pushing(
            lambda tokens: self._format(decoder.decode(tokens))
        )
        self._pushed_stream = pushed_stream
        ended = None
        while ended is None and not pushed_stream.is_broken:
            usage_before = self._tokens.usage
            _, ended = self._tokens.read()
            pushed_stream.check_progress()
            if ended is None and self._tokens.usage == usage_before:
                self._parts.pusher.put(pushed_stream, KEEPALIVE_MARKER)
        pushed_stream.close()
        if pushed_stream.is_broken:
            raise ConnectionResetError(ECONNRESET, 'the caller went away')
        return ended

    def _format(self, text: str, keepalive: bytes = KEEPALIVE_EVENT) -> bytes:
        return self._formatter.text_event(text) if text else keepalive


def release_admission(
    admitted: AdmittedCompletion, tokens: TokenStream, parts: RouterParts
) -> None:
    """
    Release the admission of a request, and report its tokens as the cost.
    """
    cost = tokens.usage.prompt_tokens + tokens.usage.completion_tokens
    parts.admission.release(admitted.ticket, cost)
    parts.timeline.record('router', 'request ended', admitted.request)
    parts.metrics.incr('tokens', tokens.usage.completion_tokens)


def make_formatter(
    admitted: AdmittedCompletion, parts: RouterParts
) -> AnswerFormatter:
    """
    Return the formatter of an answer.
    """
    return AnswerFormatter(
        admitted.call, admitted.request, int(parts.clock.now())
    )
