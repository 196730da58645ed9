"""
Parses configuration records from the log, and serializes them.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from cattrs import BaseValidationError

from mallowcrank.codec import from_plain, to_plain
from mallowcrank.config.records import (
    ConfigRecord,
    MalformedRecord,
    ParsedRecord,
    RecordType,
    RestoreRecord,
    SnapshotRecord,
)
from mallowcrank.ports import LogRecord

SCALAR_TYPES = (str, int, float, bool)

_RECORD_CLASSES: Mapping[str, type[ParsedRecord]] = MappingProxyType(
    {
        RecordType.CONFIG: ConfigRecord,
        RecordType.RESTORE: RestoreRecord,
        RecordType.SNAPSHOT: SnapshotRecord,
    }
)


def to_body(record: ConfigRecord | RestoreRecord | SnapshotRecord) -> dict:
    """
    Return a record's body, as it is appended to the log.
    """
    record_type = next(
        name
        for name, record_class in _RECORD_CLASSES.items()
        if isinstance(record, record_class)
    )
    return {'type': str(record_type), **to_plain(record)}


def is_settings_change(record: LogRecord) -> bool:
    """
    Return whether a record is of a type that may change the settings.
    """
    return _type_of(record) in {RecordType.CONFIG, RecordType.RESTORE}


def is_snapshot(record: LogRecord) -> bool:
    """
    Return whether a record is a snapshot.
    """
    return _type_of(record) == RecordType.SNAPSHOT


def parse_record(record: LogRecord) -> ParsedRecord:
    """
    Parse one configuration record.

    :returns: a `MalformedRecord` if the body is not valid.
    :raises KeyError: when the record is of another type.
    """
    body = record.body
    record_id = str(body.get('id', ''))
    record_class = _RECORD_CLASSES[_type_of(record)]
    try:
        parsed = from_plain(body, record_class)
    except (BaseValidationError, TypeError, ValueError) as error:
        return MalformedRecord(record_id, _describe_error(error))
    problem = _VALIDATORS[record_class](parsed)
    return MalformedRecord(record_id, problem) if problem else parsed


def _type_of(record: LogRecord) -> str:
    if not isinstance(record.body, Mapping):
        return ''
    return str(record.body.get('type', ''))


def _describe_error(error: Exception) -> str:
    if isinstance(error, BaseValidationError):
        return f'a field has the wrong shape: {error.exceptions[0]}'
    return f'a field has the wrong shape: {error}'


def _find_config_problem(record: ConfigRecord) -> str:
    settings = [change.setting for change in record.changes]
    if not settings:
        return 'it has no changes'
    if len(set(settings)) < len(settings):
        return 'it changes a setting twice'
    for change in record.changes:
        if not is_setting_path(change.setting):
            return f'{change.setting!r} is no path of a setting'
        if change.value is not None and not is_scalar_or_list(change.value):
            return f'the value of {change.setting} is of no known kind'
    return '' if record.id else 'it has no id'


def _find_restore_problem(record: RestoreRecord) -> str:
    for setting, value in record.settings.items():
        if not is_setting_path(setting) or not is_scalar_or_list(value):
            return f'{setting!r} is no setting'
    return '' if record.id else 'it has no id'


def _find_snapshot_problem(record: SnapshotRecord) -> str:
    return '' if record.id else 'it has no id'


_VALIDATORS: Mapping[type, Callable[[Any], str]] = MappingProxyType(
    {
        ConfigRecord: _find_config_problem,
        RestoreRecord: _find_restore_problem,
        SnapshotRecord: _find_snapshot_problem,
    }
)


def is_setting_path(path: str) -> bool:
    """
    Return whether a string can be a setting's path: two or more parts.
    """
    parts = path.split('.')
    return len(parts) > 1 and all(parts)


def is_scalar_or_list(value: Any) -> bool:
    """
    Return whether a value is a scalar or a list of scalars.
    """
    if isinstance(value, list | tuple):
        return all(isinstance(each, SCALAR_TYPES) for each in value)
    return isinstance(value, SCALAR_TYPES)
