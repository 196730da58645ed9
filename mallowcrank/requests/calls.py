"""
What callers ask, once it is read and checked.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """
    What the headers say about any request.

    :param workspace: `BRANCH/WORKSPACE`.
    :param timeout_s: seconds that the caller still waits.
    :param priority: a higher number goes first in the caller's own branch.
    :param repeatable: whether it may run more than once.
    :param key: the idempotency key, or an empty string.
    :param forwarded_by: the router that passed it on, or an empty string.
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
    A request for an answer by a model.

    :param chat: whether it came as a chat.
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
    A call to a plain service.

    :param path: the path with its query, passed on to the replica.
    """

    options: RequestOptions
    service: str
    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''


Call = Completion | ServiceCall
