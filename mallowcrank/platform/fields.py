"""
Typed reading of the fields of decoded bodies.
"""

from collections.abc import Mapping
from typing import Any

import orjson


class MalformedError(ValueError):
    """
    A body or field that can't be read. The text says which one and why.
    """


def decode_object(body: bytes) -> Mapping[str, Any]:
    """
    Decode a JSON object.

    :raises MalformedError: for anything else.
    """
    try:
        decoded = orjson.loads(body)
    except ValueError as error:
        raise MalformedError(f'not JSON: {error}') from error
    return as_object(decoded, 'the body')


def as_object(raw: object, name: str) -> Mapping[str, Any]:
    """
    Return a value that must be a table.
    """
    if isinstance(raw, dict):
        return raw
    raise MalformedError(f'{name} is not a table')


def list_field(table: Mapping[str, Any], name: str) -> list[Any]:
    """
    Return a field that must be a list; an absent one is empty.
    """
    raw = table.get(name)
    if raw is None:
        return []
    if isinstance(raw, list):
        return raw
    raise MalformedError(f'{name} is not a list')


def text_field(table: Mapping[str, Any], name: str) -> str:
    """
    Return a field that must be a text that isn't empty.
    """
    raw = table.get(name)
    if isinstance(raw, str) and raw:
        return raw
    raise MalformedError(f'{name} is not a text')


def number_field(
    table: Mapping[str, Any], name: str, default: float | None = None
) -> float:
    """
    Return a field that must be a number that isn't negative.

    :param default: for an absent field; without one it must be there.
    """
    raw = table.get(name, default)
    if isinstance(raw, bool) or not isinstance(raw, int | float) or raw < 0:
        raise MalformedError(f'{name} is not a number of 0 or more')
    return raw


def integer_field(
    table: Mapping[str, Any], name: str, default: int | None = None
) -> int:
    """
    Return a field that must be a whole number that isn't negative.
    """
    raw = number_field(table, name, default)
    if isinstance(raw, int):
        return raw
    raise MalformedError(f'{name} is not a whole number')
