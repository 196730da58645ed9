"""
Reads a streamed completion: server-sent events in OpenAI's shape.
"""

import json
from dataclasses import dataclass, replace

END = '[DONE]'


@dataclass(frozen=True, slots=True)
class Streamed:
    """
    What has come of a stream so far.

    :param pieces: when text came, and how many characters.
    :param error: the error event, as its `ran` and `code`.
    """

    text: str = ''
    finish: str = ''
    told_tokens: int = 0
    ended: bool = False
    error: tuple[str, str] = ('', '')
    pieces: tuple[tuple[float, int], ...] = ()

    @property
    def is_whole(self) -> bool:
        """
        Tell whether all that ends a stream has come.
        """
        return self.ended and bool(self.finish)


class EventReader:
    """
    Cuts received bytes into events.
    """

    def __init__(self) -> None:
        self._buffer = b''
        self._pieces: list[tuple[float, int]] = []
        self._streamed = Streamed()

    @property
    def streamed(self) -> Streamed:
        """
        Return what has come so far.
        """
        return replace(self._streamed, pieces=tuple(self._pieces))

    def feed(self, received: bytes, now: float) -> None:
        """
        Take in bytes.

        :param now: seconds since the epoch.
        :raises ValueError: when an event is malformed.
        """
        self._buffer += received
        while b'\n\n' in self._buffer:
            event, _, rest = self._buffer.partition(b'\n\n')
            self._buffer = rest
            if event.startswith(b'data: '):
                self._take(event.removeprefix(b'data: ').decode(), now)

    def _take(self, event: str, now: float) -> None:
        if event == END:
            self._streamed = replace(self._streamed, ended=True)
            return
        chunk = json.loads(event)
        problem = chunk.get('error')
        if problem:
            error = (problem['ran'], problem['code'])
            self._streamed = replace(self._streamed, error=error)
            return
        for choice in chunk.get('choices', ()):
            self._take_choice(choice, now)
        usage = chunk.get('usage') or {}
        told = usage.get('completion_tokens', self._streamed.told_tokens)
        self._streamed = replace(self._streamed, told_tokens=told)

    def _take_choice(self, choice: dict, now: float) -> None:
        text = choice['text']
        if text:
            self._pieces.append((now, len(text)))
        self._streamed = replace(
            self._streamed,
            text=self._streamed.text + text,
            finish=choice['finish_reason'] or self._streamed.finish,
        )
