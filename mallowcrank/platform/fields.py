"""
Typed access to the fields of decoded JSON bodies.
"""

from collections.abc import Mapping
from typing import Any

import orjson

# Larger integers are not exact in all JSON implementations (RFC 8259, 6).
MAX_NUMBER = 2**53


class MalformedError(ValueError):
    """
    A body or field of the wrong form. The message says which one and why.
    """


def decode_object(body: bytes) -> Mapping[str, Any]:
    """
    Decode a body that must be a JSON object.

    :raises MalformedError: if it is not.
    """
    try:
        decoded = orjson.loads(body)
    except ValueError as error:
        raise MalformedError(f'not JSON: {error}') from error
    return as_object(decoded, 'the body')


def as_object(raw: object, name: str) -> Mapping[str, Any]:
    """
    Return a value that must be a JSON object.

    :param name: of the value, for the error message.
    :raises MalformedError: if it is not.
    """
    if isinstance(raw, dict):
        return raw
    raise MalformedError(f'{name} is not an object')


def list_field(fields: Mapping[str, Any], name: str) -> list[Any]:
    """
    Return a field that must be a list; an absent or null field is empty.

    :raises MalformedError: if it is not.
    """
    raw = fields.get(name)
    if raw is None:
        return []
    if isinstance(raw, list):
        return raw
    raise MalformedError(f'{name} is not a list')


def text_field(fields: Mapping[str, Any], name: str) -> str:
    """
    Return a field that must be a string of at least one character.

    :raises MalformedError: if it is not.
    """
    raw = fields.get(name)
    if isinstance(raw, str) and raw:
        return raw
    raise MalformedError(f'{name} is not a non-empty string')


def number_field(
    fields: Mapping[str, Any], name: str, default: float | None = None
) -> float:
    """
    Return a field that must be a number from 0 to `MAX_NUMBER`.

    :param default: for an absent field; without it the field is required.
    :raises MalformedError: if it is not.
    """
    raw = fields.get(name, default)
    if isinstance(raw, bool) or not isinstance(raw, int | float):
        raise MalformedError(f'{name} is not a number of 0 or more')
    if not 0 <= raw <= MAX_NUMBER:
        raise MalformedError(f'{name} is not a number from 0 to {MAX_NUMBER}')
    return raw


def integer_field(
    fields: Mapping[str, Any], name: str, default: int | None = None
) -> int:
    """
    Return a field that must be an integer of 0 or more.

    :param default: for an absent field; without it the field is required.
    :raises MalformedError: if it is not.
    """
    raw = number_field(fields, name, default)
    if isinstance(raw, int):
        return raw
    raise MalformedError(f'{name} is not an integer')
