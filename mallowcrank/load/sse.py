"""
Reads a streamed completion: server-sent events in OpenAI's format.
"""

import json
from dataclasses import dataclass, replace

DONE_EVENT = '[DONE]'


@dataclass(frozen=True, slots=True)
class StreamedAnswer:
    """
    The received part of a streamed answer.

    :param finish: the finish reason, or an empty string.
    :param reported_tokens: the count of tokens reported in the answer.
    :param ended: whether the final event was received.
    :param error: `ran` and `code` of the error event.
    :param pieces: for each chunk of text, its time of arrival in seconds
        since the epoch and its count of characters.
    """

    text: str = ''
    finish: str = ''
    reported_tokens: int = 0
    ended: bool = False
    error: tuple[str, str] = ('', '')
    pieces: tuple[tuple[float, int], ...] = ()

    @property
    def is_complete(self) -> bool:
        """
        Return whether the final event and a finish reason were received.
        """
        return self.ended and bool(self.finish)


class EventReader:
    """
    Parses received bytes into events.
    """

    def __init__(self) -> None:
        self._buffer = b''
        self._pieces: list[tuple[float, int]] = []
        self._streamed = StreamedAnswer()

    @property
    def streamed(self) -> StreamedAnswer:
        """
        Return the answer received so far.
        """
        return replace(self._streamed, pieces=tuple(self._pieces))

    def feed(self, received: bytes, now: float) -> None:
        """
        Read received bytes.

        :param now: their time of arrival, in seconds since the epoch.
        :raises ValueError: when an event is malformed.
        """
        self._buffer += received
        while b'\n\n' in self._buffer:
            event, _, rest = self._buffer.partition(b'\n\n')
            self._buffer = rest
            if event.startswith(b'data: '):
                self._read_event(event.removeprefix(b'data: ').decode(), now)

    def _read_event(self, event: str, now: float) -> None:
        if event == DONE_EVENT:
            self._streamed = replace(self._streamed, ended=True)
            return
        chunk = json.loads(event)
        error_fields = chunk.get('error')
        if error_fields:
            error = (error_fields['ran'], error_fields['code'])
            self._streamed = replace(self._streamed, error=error)
            return
        for choice in chunk.get('choices', ()):
            self._read_choice(choice, now)
        usage = chunk.get('usage') or {}
        token_count = usage.get(
            'completion_tokens', self._streamed.reported_tokens
        )
        self._streamed = replace(self._streamed, reported_tokens=token_count)

    def _read_choice(self, choice: dict, now: float) -> None:
        text = choice['text']
        if text:
            self._pieces.append((now, len(text)))
        self._streamed = replace(
            self._streamed,
            text=self._streamed.text + text,
            finish=choice['finish_reason'] or self._streamed.finish,
        )
