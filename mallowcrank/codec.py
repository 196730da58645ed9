"""
Conversion of data classes to plain values and back, for msgpack and JSON.
"""

from typing import Any, TypeVar

from cattrs.preconf.msgpack import make_converter

from mallowcrank.hlc import Timestamp

Message = TypeVar('Message')

_converter = make_converter()
_converter.register_unstructure_hook(Timestamp, list)
_converter.register_structure_hook(
    Timestamp, lambda raw, _type: Timestamp(*raw)
)


def to_plain(message: Any) -> Any:
    """
    Convert a data class to dicts, lists, numbers and strings.
    """
    return _converter.unstructure(message)


def from_plain(plain: Any, kind: type[Message]) -> Message:
    """
    Build a data class from plain values.

    :param kind: the data class.
    :raises cattrs.BaseValidationError: when the values don't fit the class.
    """
    return _converter.structure(plain, kind)
