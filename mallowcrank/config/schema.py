"""
All settings: where each may stand, its kind, bounds and default.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum, unique
from types import MappingProxyType
from typing import Any

PRESENT = 'present'  # marks that a node exists; the file reader adds it
MAX_LAYERS = 4096
MAX_RATE = 1_000_000_000  # a second
MAX_SECONDS = 86_400
MAX_COUNT = 1_000_000


@unique
class Scope(StrEnum):
    """
    The kinds of nodes in the tree.
    """

    PLATFORM = 'platform'
    ORGANISATION = 'organisation'
    BRANCH = 'branches'
    WORKSPACE = 'workspaces'
    MODEL = 'models'
    SERVICE = 'services'
    TARGET = 'targets'


@unique
class Kind(StrEnum):
    """
    The kinds of values.
    """

    FLAG = 'true or false'
    WHOLE = 'a whole number'
    NUMBER = 'a number'
    TEXT = 'a text'
    NAMES = 'a list of names'
    RANGE = 'a range of layers, such as "0-11"'
    RANGES = 'a list of ranges of layers, such as ["0-11", "12-23"]'
    FENCING = '"checks", "ignores" or "unstated"'


@dataclass(frozen=True, slots=True)
class Setting:
    """
    One setting of the schema.

    :param low: the least value of a number.
    :param high: the greatest value of a number.
    :param required: whether the node is of no use without it.
    """

    kind: Kind
    low: float = 0
    high: float = 0
    required: bool = False


_SHARE = Setting(Kind.NUMBER, 0.001, MAX_COUNT)
_INHERITED = MappingProxyType(
    {
        'models': Setting(Kind.NAMES),
        'services': Setting(Kind.NAMES),
        'urgency': Setting(Kind.WHOLE, -100, 100),
        'request_rate': Setting(Kind.NUMBER, 0, MAX_RATE),
        'token_rate': Setting(Kind.NUMBER, 0, MAX_RATE),
        'streams': Setting(Kind.WHOLE, 0, MAX_COUNT),
        'timeout_s': Setting(Kind.NUMBER, 0.05, MAX_SECONDS),
    }
)
_PRESENT = MappingProxyType({PRESENT: Setting(Kind.FLAG)})

SCHEMA: Mapping[Scope, Mapping[str, Setting]] = MappingProxyType(
    {
        Scope.PLATFORM: MappingProxyType(
            {'log_retention_s': Setting(Kind.NUMBER, 1, MAX_RATE), **_PRESENT}
        ),
        Scope.ORGANISATION: MappingProxyType({**_INHERITED, **_PRESENT}),
        Scope.BRANCH: MappingProxyType(
            {**_INHERITED, 'share': _SHARE, **_PRESENT}
        ),
        Scope.WORKSPACE: MappingProxyType(
            {**_INHERITED, 'share': _SHARE, **_PRESENT}
        ),
        Scope.MODEL: MappingProxyType(
            {
                'layers': Setting(Kind.WHOLE, 1, MAX_LAYERS, required=True),
                'version': Setting(Kind.TEXT),
                'max_tokens': Setting(Kind.WHOLE, 1, MAX_COUNT),
                'replicas': Setting(Kind.WHOLE, 0, MAX_COUNT),
                'plan': Setting(Kind.RANGES),
                **_PRESENT,
            }
        ),
        Scope.SERVICE: MappingProxyType(
            {
                'repeatable': Setting(Kind.FLAG),
                'reserved': Setting(Kind.WHOLE, 0, MAX_COUNT),
                'urgent': Setting(Kind.FLAG),
                'replicas': Setting(Kind.WHOLE, 0, MAX_COUNT),
                'timeout_s': Setting(Kind.NUMBER, 0.05, MAX_SECONDS),
                'silence_s': Setting(Kind.NUMBER, 0.05, MAX_SECONDS),
                **_PRESENT,
            }
        ),
        Scope.TARGET: MappingProxyType(
            {
                'serves': Setting(Kind.TEXT),
                'layers': Setting(Kind.RANGE),
                'version': Setting(Kind.TEXT),
                'fencing': Setting(Kind.FENCING),
                **_PRESENT,
            }
        ),
    }
)

FENCING_WORDS = ('checks', 'ignores', 'unstated')


def scope_of(node: str) -> Scope | None:
    """
    Return the scope of a node by its path, or `None` where it has none.
    """
    words = node.split('.')
    match words:
        case ['platform'] | ['organisation']:
            return Scope(node)
        case ['models' | 'services' | 'targets' | 'branches', _]:
            return Scope(words[0])
        case ['branches', _, 'workspaces', _]:
            return Scope.WORKSPACE
    return None


def problem_of(scope: Scope, name: str, value: Any) -> str:
    """
    Return what is wrong with a setting's value, or an empty string.
    """
    setting = SCHEMA[scope].get(name)
    if setting is None:
        return 'there is no such setting'
    if not _FITS[setting.kind](value):
        return f'{value!r} is not {setting.kind}'
    if setting.kind in {Kind.WHOLE, Kind.NUMBER}:
        if not setting.low <= value <= setting.high:
            bounds = f'from {setting.low:g} to {setting.high:g}'
            return f'{value} is not {bounds}'
    return ''


def parse_range(text: Any) -> tuple[int, int] | None:
    """
    Read a range of layers, or return `None`.
    """
    if not isinstance(text, str):
        return None
    first, _, last = text.partition('-')
    if not first.isdecimal() or not last.isdecimal():
        return None
    if int(first) > int(last):
        return None
    return int(first), int(last)


def _is_whole(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_list_of_texts(value: Any) -> bool:
    return isinstance(value, list | tuple) and all(
        isinstance(each, str) for each in value
    )


def _is_ranges(value: Any) -> bool:
    return isinstance(value, list | tuple) and all(map(parse_range, value))


_FITS = MappingProxyType(
    {
        Kind.FLAG: lambda value: isinstance(value, bool),
        Kind.WHOLE: _is_whole,
        Kind.NUMBER: _is_number,
        Kind.TEXT: lambda value: isinstance(value, str),
        Kind.NAMES: _is_list_of_texts,
        Kind.RANGE: parse_range,
        Kind.RANGES: _is_ranges,
        Kind.FENCING: lambda value: value in FENCING_WORDS,
    }
)
