"""
The server-sent events of one stream.
"""

from collections.abc import Iterator
from errno import ECONNRESET

from mallowcrank.router.answer_format import AnswerFormatter, TokenDecoder
from mallowcrank.router.parts import RouterParts
from mallowcrank.router.pushing import (
    KEEPALIVE_MARKER,
    PushedStream,
)
from mallowcrank.router.token_stream import AdmittedCompletion, TokenStream
from mallowcrank.streams.outlet import Ended

KEEPALIVE_EVENT = b': waiting\n\n'


class EventStream:
    """
    A streamed answer's body. Admission is given back when it ends, also where
    the caller goes away before.
    """

    def __init__(
        self,
        tokens: TokenStream,
        first: tuple[list[int], Ended | None],
        admitted: AdmittedCompletion,
        parts: RouterParts,
    ) -> None:
        self._tokens = tokens
        self._admitted = admitted
        self._parts = parts
        self._shaper = make_formatter(admitted, parts)
        self._events = self._make_events(first)
        self._closed = False
        self._pushed: PushedStream | None = None

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        return next(self._events)

    def close(self) -> None:
        """
        End the stream, whether or not it is whole.
        """
        if not self._closed:
            self._closed = True
            if self._pushed is not None:
                self._pushed.close()
            self._tokens.close()
            release_admission(self._admitted, self._tokens, self._parts)

    def _make_events(
        self, first: tuple[list[int], Ended | None]
    ) -> Iterator[bytes]:
        text = TokenDecoder()
        tokens, ended = first
        before = self._shaper.opening_event()
        while ended is None:
            yield before + self._shape(text.decode(tokens))
            before = b''
            if self._admitted.caller.takes_chunks:
                # The head is out: the rest can go past this thread.
                tokens, ended = [], self._push(text)
            else:
                tokens, ended = self._tokens.read()
        last = self._shape(text.decode(tokens, final=True), keepalive=b'')
        if ended.refused is not None:
            closing = self._shaper.error_event(ended.refused)
        else:
            closing = self._shaper.closing_events(
                ended.finish, self._tokens.usage
            )
        yield b''.join((before, last, closing))

    def _push(self, text: TokenDecoder) -> Ended:
        """
        Let the pusher write until the end, and return the end.

        :raises ConnectionResetError: when the caller's connection is broken.
        """
        pushed = self._tokens.start_pushing(
            lambda tokens: self._shape(text.decode(tokens))
        )
        self._pushed = pushed
        ended = None
        while ended is None and not pushed.is_broken:
            before = self._tokens.usage
            _, ended = self._tokens.read()
            pushed.check_progress()
            if ended is None and self._tokens.usage == before:
                self._parts.pusher.put(pushed, KEEPALIVE_MARKER)
        pushed.close()
        if pushed.is_broken:
            raise ConnectionResetError(ECONNRESET, 'the caller went away')
        return ended

    def _shape(self, text: str, keepalive: bytes = KEEPALIVE_EVENT) -> bytes:
        return self._shaper.text_event(text) if text else keepalive


def release_admission(
    admitted: AdmittedCompletion, tokens: TokenStream, parts: RouterParts
) -> None:
    """
    Give back admission.
    """
    cost = tokens.usage.prompt_tokens + tokens.usage.completion_tokens
    parts.admission.release(admitted.ticket, cost)
    parts.timeline.record('router', 'request ended', admitted.request)
    parts.metrics.incr('tokens', tokens.usage.completion_tokens)


def make_formatter(
    admitted: AdmittedCompletion, parts: RouterParts
) -> AnswerFormatter:
    """
    Return the shaper of an answer.
    """
    return AnswerFormatter(
        admitted.call, admitted.request, int(parts.clock.now())
    )
