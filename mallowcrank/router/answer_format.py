"""
Formats answers as OpenAI's API does, whole and streamed.
"""

import json
from codecs import getincrementaldecoder
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from mallowcrank.refusals import Refused
from mallowcrank.requests.calls import Completion
from mallowcrank.requests.outcomes import error_body

TEXT_PLACEHOLDER = '\0'  # replaced by the text of an event
DONE_EVENT = b'data: [DONE]\n\n'


@dataclass(frozen=True, slots=True)
class Usage:
    """
    The token counts of an answer.
    """

    prompt_tokens: int
    completion_tokens: int

    def to_plain(self) -> dict[str, int]:
        """
        Return the counts in the format of OpenAI's API.
        """
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': self.completion_tokens,
            'total_tokens': self.prompt_tokens + self.completion_tokens,
        }


class TokenDecoder:
    """
    Decodes token ids to text; a character may span several tokens.
    """

    def __init__(self) -> None:
        self._decoder = getincrementaldecoder('utf-8')(errors='replace')

    def decode(self, tokens: Iterable[int], *, final: bool = False) -> str:
        """
        Return the text of all characters that these tokens complete.

        :param final: whether no more tokens follow.
        """
        return self._decoder.decode(bytes(tokens), final)


def error_event(refused: Refused) -> bytes:
    """
    Return the event that ends a broken stream.
    """
    return _encode_event(error_body(refused))


class AnswerFormatter:
    """
    Formats one answer, whole or as events.

    :param created: seconds since the epoch.
    """

    def __init__(self, call: Completion, request: str, created: int) -> None:
        self._chat = call.chat
        object_type = 'chat.completion' if call.chat else 'text_completion'
        id_prefix = 'chatcmpl' if call.chat else 'cmpl'
        self._answer_fields = {
            'id': f'{id_prefix}-{request}',
            'object': object_type,
            'created': created,
            'model': call.model,
        }
        self._chunk_fields = {
            **self._answer_fields,
            'object': 'chat.completion.chunk' if call.chat else object_type,
        }
        # There is one event for each token, so all of it but the text is
        # encoded only once.
        template = self._event(
            {'content': TEXT_PLACEHOLDER}, None, TEXT_PLACEHOLDER
        )
        prefix, suffix = template.split(json.dumps(TEXT_PLACEHOLDER).encode())
        self._text_prefix = prefix
        self._text_suffix = suffix

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
        return {
            **self._answer_fields,
            'choices': [choice],
            'usage': usage.to_plain(),
        }

    def opening_event(self) -> bytes:
        """
        Return the first event, which holds the role; empty for a text
        completion.
        """
        if not self._chat:
            return b''
        return self._event({'role': 'assistant', 'content': ''}, None)

    def text_event(self, text: str) -> bytes:
        """
        Return an event with text.
        """
        return b''.join(
            (self._text_prefix, json.dumps(text).encode(), self._text_suffix)
        )

    def closing_events(self, finish: str, usage: Usage) -> bytes:
        """
        Return the events that end a complete streamed answer.
        """
        usage_chunk = {
            **self._chunk_fields,
            'choices': [],
            'usage': usage.to_plain(),
        }
        return b''.join(
            (self._event({}, finish), _encode_event(usage_chunk), DONE_EVENT)
        )

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
        return _encode_event({**self._chunk_fields, 'choices': [choice]})


def _encode_event(payload: dict[str, Any]) -> bytes:
    return f'data: {json.dumps(payload)}\n\n'.encode()
