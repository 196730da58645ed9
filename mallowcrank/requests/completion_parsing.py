"""
Parses completion and chat completion requests.
"""

import json
from collections.abc import Mapping
from typing import Any

from mallowcrank.refusals import Reason, Refused
from mallowcrank.requests.calls import Completion
from mallowcrank.requests.parsing import (
    find_workspace,
    read_options,
    refuse_input,
    refuse_too_large,
)
from mallowcrank.view import View
from mallowcrank.web import Request

ALLOWED_N = (None, 1)  # choices for one prompt
UNBOUNDED_TOKENS = 1 << 30  # if the caller sets no limit


def read_completion(
    request: Request, view: View, *, chat: bool
) -> Completion | Refused:
    """
    Parse a completion or chat completion request.

    :returns: the request, or a refusal that names the invalid field.
    """
    body = _read_json(request)
    if isinstance(body, Refused):
        return body
    workspace = find_workspace(request, view)
    if isinstance(workspace, Refused):
        return workspace
    problem = _validate_body(body, chat=chat)
    if problem is not None:
        return problem
    settings = view.models.get(body['model'])
    if settings is None or settings.name not in workspace.models:
        return refuse_input(
            f'no model {body["model"]!r} in workspace {workspace.name}',
            'model',
            Reason.UNKNOWN_MODEL,
        )
    options = read_options(
        request, workspace, workspace.timeout_s, default_repeatable=True
    )
    if isinstance(options, Refused):
        return options
    return Completion(
        options=options,
        model=settings.name,
        prompt=_read_prompt(body, chat=chat),
        max_tokens=min(_read_max_tokens(body), settings.max_tokens),
        chat=chat,
        streamed=bool(body.get('stream', False)),
    )


def _read_json(request: Request) -> dict[str, Any] | Refused:
    if request.too_large:
        return refuse_too_large()
    try:
        body = json.loads(request.body)
    except (ValueError, RecursionError) as error:
        return refuse_input(f'the body is not JSON: {error}', 'body')
    if not isinstance(body, dict):
        return refuse_input('the body is not a JSON object', 'body')
    return body


def _validate_body(body: Mapping[str, Any], *, chat: bool) -> Refused | None:
    if not isinstance(body.get('model'), str):
        return refuse_input('model must be a string', 'model')
    if chat and not _is_message_list(body.get('messages')):
        return refuse_input(
            'messages must be a list of objects with a role and a content',
            'messages',
        )
    if not chat and not isinstance(body.get('prompt'), str):
        return refuse_input('prompt must be a string', 'prompt')
    for name in ('max_tokens', 'max_completion_tokens'):
        if not _is_positive_integer_or_none(body.get(name)):
            return refuse_input(f'{name} must be a whole number from 1', name)
    if body.get('n', 1) not in ALLOWED_N:
        return refuse_input('n must be 1', 'n')
    if not isinstance(body.get('stream') or False, bool):
        return refuse_input('stream must be true or false', 'stream')
    return None


def _is_positive_integer_or_none(value: Any) -> bool:
    if value is None:
        return True
    return isinstance(value, int) and not isinstance(value, bool) and value > 0


def _is_message_list(messages: Any) -> bool:
    if not isinstance(messages, list) or not messages:
        return False
    return all(
        isinstance(message, dict)
        and isinstance(message.get('role'), str)
        and isinstance(message.get('content'), str | list)
        for message in messages
    )


def _read_max_tokens(body: Mapping[str, Any]) -> int:
    value = body.get('max_completion_tokens') or body.get('max_tokens')
    return value or UNBOUNDED_TOKENS


def _read_prompt(body: Mapping[str, Any], *, chat: bool) -> str:
    if not chat:
        return body['prompt']
    lines = (
        f'{message["role"]}: {_join_text(message["content"])}\n'
        for message in body['messages']
    )
    return f'{"".join(lines)}assistant: '


def _join_text(content: str | list[Any]) -> str:
    if isinstance(content, str):
        return content
    texts = (part.get('text') for part in content if isinstance(part, dict))
    return ''.join(text for text in texts if isinstance(text, str))
