"""
The schema of settings: the allowed scope, type and bounds of each.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum, unique
from types import MappingProxyType
from typing import Any

PRESENT = 'present'  # marks that a node exists; added by the file reader
MAX_LAYERS = 4096
MAX_NUMBER = 1_000_000_000  # rates per second; log retention in seconds
MAX_TIMEOUT_S = 86_400
MAX_COUNT = 1_000_000


@unique
class Scope(StrEnum):
    """
    The types of nodes in the tree.
    """

    PLATFORM = 'platform'
    ORGANISATION = 'organisation'
    BRANCH = 'branches'
    WORKSPACE = 'workspaces'
    MODEL = 'models'
    SERVICE = 'services'
    TARGET = 'targets'


@unique
class ValueKind(StrEnum):
    """
    The types of values, as they are named in findings.
    """

    BOOLEAN = 'true or false'
    INTEGER = 'an integer'
    NUMBER = 'a number'
    STRING = 'a string'
    NAMES = 'a list of names'
    RANGE = 'a range of layers, such as "0-11"'
    RANGES = 'a list of ranges of layers, such as ["0-11", "12-23"]'
    FENCING = '"checks", "ignores" or "unstated"'


@dataclass(frozen=True, slots=True)
class Setting:
    """
    The type and bounds of one setting.

    :param minimum: the smallest allowed value of a number, inclusive.
    :param maximum: the largest allowed value of a number, inclusive.
    :param required: whether each node of its scope must set it.
    """

    kind: ValueKind
    minimum: float = 0
    maximum: float = 0
    required: bool = False


_SHARE = Setting(ValueKind.NUMBER, 0.001, MAX_COUNT)
_INHERITED = MappingProxyType(
    {
        'models': Setting(ValueKind.NAMES),
        'services': Setting(ValueKind.NAMES),
        'urgency': Setting(ValueKind.INTEGER, -100, 100),
        'request_rate': Setting(ValueKind.NUMBER, 0, MAX_NUMBER),
        'token_rate': Setting(ValueKind.NUMBER, 0, MAX_NUMBER),
        'streams': Setting(ValueKind.INTEGER, 0, MAX_COUNT),
        'timeout_s': Setting(ValueKind.NUMBER, 0.05, MAX_TIMEOUT_S),
    }
)
_PRESENT = MappingProxyType({PRESENT: Setting(ValueKind.BOOLEAN)})

SCHEMA: Mapping[Scope, Mapping[str, Setting]] = MappingProxyType(
    {
        Scope.PLATFORM: MappingProxyType(
            {
                'log_retention_s': Setting(ValueKind.NUMBER, 1, MAX_NUMBER),
                **_PRESENT,
            }
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
                'layers': Setting(
                    ValueKind.INTEGER, 1, MAX_LAYERS, required=True
                ),
                'version': Setting(ValueKind.STRING),
                'max_tokens': Setting(ValueKind.INTEGER, 1, MAX_COUNT),
                'replicas': Setting(ValueKind.INTEGER, 0, MAX_COUNT),
                'plan': Setting(ValueKind.RANGES),
                **_PRESENT,
            }
        ),
        Scope.SERVICE: MappingProxyType(
            {
                'repeatable': Setting(ValueKind.BOOLEAN),
                'reserved': Setting(ValueKind.INTEGER, 0, MAX_COUNT),
                'urgent': Setting(ValueKind.BOOLEAN),
                'replicas': Setting(ValueKind.INTEGER, 0, MAX_COUNT),
                'timeout_s': Setting(ValueKind.NUMBER, 0.05, MAX_TIMEOUT_S),
                'silence_s': Setting(ValueKind.NUMBER, 0.05, MAX_TIMEOUT_S),
                **_PRESENT,
            }
        ),
        Scope.TARGET: MappingProxyType(
            {
                'serves': Setting(ValueKind.STRING),
                'layers': Setting(ValueKind.RANGE),
                'version': Setting(ValueKind.STRING),
                'fencing': Setting(ValueKind.FENCING),
                **_PRESENT,
            }
        ),
    }
)

FENCING_VALUES = ('checks', 'ignores', 'unstated')


def scope_of(node: str) -> Scope | None:
    """
    Return the scope of a node by its path, or `None` if the path is no node.
    """
    parts = node.split('.')
    match parts:
        case ['platform'] | ['organisation']:
            return Scope(node)
        case ['models' | 'services' | 'targets' | 'branches', _]:
            return Scope(parts[0])
        case ['branches', _, 'workspaces', _]:
            return Scope.WORKSPACE
    return None


def find_problem(scope: Scope, name: str, value: Any) -> str:
    """
    Return why a setting's value is not valid, or an empty string.
    """
    setting = SCHEMA[scope].get(name)
    if setting is None:
        return 'unknown setting'
    if not _VALIDATORS[setting.kind](value):
        return f'{value!r} is not {setting.kind}'
    if setting.kind in {ValueKind.INTEGER, ValueKind.NUMBER}:
        if not setting.minimum <= value <= setting.maximum:
            bounds = f'from {setting.minimum:g} to {setting.maximum:g}'
            return f'{value} is not {bounds}'
    return ''


def parse_range(text: Any) -> tuple[int, int] | None:
    """
    Parse a range of layers.

    :param text: the first and last layer, such as `0-11`.
    :returns: the first and last layer, or `None` if the text is not a range.
    """
    if not isinstance(text, str):
        return None
    first, _, last = text.partition('-')
    if not first.isdecimal() or not last.isdecimal():
        return None
    if int(first) > int(last):
        return None
    return int(first), int(last)


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_list_of_strings(value: Any) -> bool:
    return isinstance(value, list | tuple) and all(
        isinstance(each, str) for each in value
    )


def _is_list_of_ranges(value: Any) -> bool:
    return isinstance(value, list | tuple) and all(map(parse_range, value))


_VALIDATORS = MappingProxyType(
    {
        ValueKind.BOOLEAN: lambda value: isinstance(value, bool),
        ValueKind.INTEGER: _is_integer,
        ValueKind.NUMBER: _is_number,
        ValueKind.STRING: lambda value: isinstance(value, str),
        ValueKind.NAMES: _is_list_of_strings,
        ValueKind.RANGE: parse_range,
        ValueKind.RANGES: _is_list_of_ranges,
        ValueKind.FENCING: lambda value: value in FENCING_VALUES,
    }
)
