"""
Parsed and validated requests.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """
    Options that callers set in headers, for any kind of request.

    :param workspace: `BRANCH/WORKSPACE`.
    :param timeout_s: seconds until the caller gives up.
    :param priority: requests with a higher number go first within the
        caller's branch.
    :param repeatable: whether the request may run more than once.
    :param key: the idempotency key, or an empty string.
    :param forwarded_by: name of the forwarding router, or an empty string.
    """

    workspace: str
    timeout_s: float
    priority: int
    repeatable: bool
    key: str = ''
    forwarded_by: str = ''


@dataclass(frozen=True, slots=True)
class Completion:
    """
    A completion or chat completion request to a model.

    :param chat: whether the request is a chat completion.
    :param streamed: whether the caller wants server-sent events.
    """

    options: RequestOptions
    model: str
    prompt: str
    max_tokens: int
    chat: bool
    streamed: bool


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """
    A request to a plain service.

    :param path: path and query string as sent to the replica.
    """

    options: RequestOptions
    service: str
    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''


Call = Completion | ServiceCall
