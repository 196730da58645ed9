"""
OpenAI's shapes of answers, whole and streamed.
"""

import json
from codecs import getincrementaldecoder
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from mallowcrank.refusals import Refused
from mallowcrank.requests.calls import Completion
from mallowcrank.requests.outcomes import error_body

TEXT_PLACEHOLDER = '\0'  # stands where a text goes
DONE_EVENT = b'data: [DONE]\n\n'


@dataclass(frozen=True, slots=True)
class Usage:
    """
    The token count of an answer.
    """

    prompt_tokens: int
    completion_tokens: int

    def to_plain(self) -> dict[str, int]:
        """
        Return it in OpenAI's shape.
        """
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': self.completion_tokens,
            'total_tokens': self.prompt_tokens + self.completion_tokens,
        }


class TokenDecoder:
    """
    Turns token ids into text; a character may span several tokens.
    """

    def __init__(self) -> None:
        self._decoder = getincrementaldecoder('utf-8')(errors='replace')

    def decode(self, tokens: Iterable[int], *, final: bool = False) -> str:
        """
        Return the text that these tokens complete.
        """
        return self._decoder.decode(bytes(tokens), final)


def error_event(refused: Refused) -> bytes:
    """
    Return the event that ends a broken stream.
    """
    return _data(error_body(refused))


class AnswerFormatter:
    """
    Shapes the parts of one answer.

    :param created: seconds since the epoch.
    """

    def __init__(self, call: Completion, request: str, created: int) -> None:
        self._chat = call.chat
        kind = 'chat.completion' if call.chat else 'text_completion'
        start = 'chatcmpl' if call.chat else 'cmpl'
        self._whole = {
            'id': f'{start}-{request}',
            'object': kind,
            'created': created,
            'model': call.model,
        }
        self._part = {
            **self._whole,
            'object': 'chat.completion.chunk' if call.chat else kind,
        }
        # There is an event for each token: all but its text is made once.
        sample = self._event(
            {'content': TEXT_PLACEHOLDER}, None, TEXT_PLACEHOLDER
        )
        before, after = sample.split(json.dumps(TEXT_PLACEHOLDER).encode())
        self._before = before
        self._after = after

    def whole_answer(
        self, text: str, finish: str, usage: Usage
    ) -> dict[str, Any]:
        """
        Return the whole answer.
        """
        choice: dict[str, Any] = {
            'index': 0,
            'finish_reason': finish,
            'logprobs': None,
        }
        if self._chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        return {**self._whole, 'choices': [choice], 'usage': usage.to_plain()}

    def opening_event(self) -> bytes:
        """
        Return the first event, which names the role.
        """
        if not self._chat:
            return b''
        return self._event({'role': 'assistant', 'content': ''}, None)

    def text_event(self, text: str) -> bytes:
        """
        Return an event with text.
        """
        return b''.join((self._before, json.dumps(text).encode(), self._after))

    def closing_events(self, finish: str, usage: Usage) -> bytes:
        """
        Return the events that make a streamed answer whole.
        """
        counted = {**self._part, 'choices': [], 'usage': usage.to_plain()}
        return b''.join((self._event({}, finish), _data(counted), DONE_EVENT))

    def error_event(self, refused: Refused) -> bytes:
        """
        Return the event that ends a broken stream.
        """
        return error_event(refused)

    def _event(
        self, delta: dict[str, str], finish: str | None, text: str = ''
    ) -> bytes:
        choice: dict[str, Any] = {'index': 0, 'finish_reason': finish}
        if self._chat:
            choice['delta'] = delta
        else:
            choice['text'] = text
        return _data({**self._part, 'choices': [choice]})


def _data(payload: dict[str, Any]) -> bytes:
    return f'data: {json.dumps(payload)}\n\n'.encode()
