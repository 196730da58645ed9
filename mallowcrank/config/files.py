"""
Reads settings files in TOML into drafts, with findings by line.
"""

import re
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from mallowcrank.config.parsing import (
    is_scalar_or_list,
)
from mallowcrank.config.schema import (
    PRESENT,
    Scope,
    find_problem,
    scope_of,
)
from mallowcrank.findings import Finding

BASE_KEY = 'base'  # key of the tree version that the file is based on
UNSET_KEY = 'unset'  # key of the list of paths to remove
TABLE_HEADER = re.compile(r'^\s*\[([^\[\]]+)\]')
KEY_ASSIGNMENT = re.compile(r'^\s*([\w."\'-]+(?:\s*\.\s*[\w."\'-]+)*)\s*=')
NODE_NAME = re.compile(r'^[A-Za-z0-9_-]+$')
SETTINGS_REFERENCE = 'docs/CONFIGURATION.md lists all settings'


@dataclass(frozen=True)
class Draft:
    """
    The settings that a file sets and removes.

    :param settings: values by path.
    :param unset: paths of settings or nodes to remove.
    :param base: the tree version that the file is based on, if it gives one.
    """

    settings: Mapping[str, Any] = field(default_factory=dict)
    unset: tuple[str, ...] = ()
    base: int | None = None


@dataclass(frozen=True)
class ParsedFile:
    """
    A file's draft and the findings about it.

    :param locations: `FILE:LINE` of each setting by path, or `FILE` where the
        line is unknown.
    """

    draft: Draft
    findings: tuple[Finding, ...] = ()
    locations: Mapping[str, str] = field(default_factory=dict)


def read_draft(text: str, name: str) -> ParsedFile:
    """
    Parse a settings file and report all problems together.

    :param text: the file's content.
    :param name: the file's name, for the findings.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return ParsedFile(Draft(), (_syntax_finding(error, name),))
    reader = _DraftReader(name, _lines_by_path(text))
    return reader.read(document)


class _DraftReader:
    """
    Collects the settings and findings of one file.
    """

    def __init__(self, name: str, lines: Mapping[str, int]) -> None:
        self._name = name
        self._lines = lines
        self._settings: dict[str, Any] = {}
        self._findings: list[Finding] = []

    def read(self, document: dict[str, Any]) -> ParsedFile:
        """
        Read a parsed TOML document.

        :param document: the top-level table; `base` and `unset` are removed
            from it.
        """
        base = self._read_base(document.pop(BASE_KEY, None))
        unset = self._read_unset(document.pop(UNSET_KEY, []))
        for key, table in document.items():
            self._visit(key, table)
        draft = Draft(dict(self._settings), unset, base)
        locations = {path: self._location(path) for path in self._settings}
        return ParsedFile(draft, tuple(self._findings), locations)

    def _visit(self, path: str, value: Any) -> None:
        if isinstance(value, dict):
            self._visit_table(path, value)
        elif '.' in path:
            self._add_setting(path, value)
        else:
            self._add_finding(
                path, 'it is outside of any table', SETTINGS_REFERENCE
            )

    def _visit_table(self, path: str, table: dict[str, Any]) -> None:
        name = path.rpartition('.')[2]
        if not NODE_NAME.match(name):
            advice = 'use letters, digits, dashes and underscores'
            self._add_finding(path, f'{name!r} is not a valid name', advice)
            return
        if scope_of(path) is not None:
            self._settings[f'{path}.{PRESENT}'] = True
        elif not _is_parent(path):
            self._add_finding(path, 'unknown table', SETTINGS_REFERENCE)
            return
        for key, value in table.items():
            self._visit(f'{path}.{key}', value)

    def _add_setting(self, path: str, value: Any) -> None:
        node, _, name = path.rpartition('.')
        scope = scope_of(node)
        if scope is None:
            self._add_finding(path, 'unknown setting', SETTINGS_REFERENCE)
            return
        problem = find_problem(scope, name, value)
        if problem or not is_scalar_or_list(value):
            self._add_finding(
                path, problem or 'unsupported type of value', SETTINGS_REFERENCE
            )
            return
        self._settings[path] = value

    def _read_base(self, value: Any) -> int | None:
        if value is None or (isinstance(value, int) and value >= -1):
            return value
        self._add_finding(
            BASE_KEY, f'{value!r} is not a version', 'use a log offset'
        )
        return None

    def _read_unset(self, value: Any) -> tuple[str, ...]:
        if isinstance(value, list) and all(
            isinstance(path, str) for path in value
        ):
            return tuple(value)
        self._add_finding(
            UNSET_KEY, f'{value!r} is not a list of paths', SETTINGS_REFERENCE
        )
        return ()

    def _add_finding(self, path: str, problem: str, advice: str) -> None:
        location = self._location(path)
        self._findings.append(Finding(location, f'{path}: {problem}', advice))

    def _location(self, path: str) -> str:
        line = self._lines.get(path)
        if line is None:
            line = self._lines.get(path.rpartition('.')[0])
        return self._name if line is None else f'{self._name}:{line}'


def _is_parent(path: str) -> bool:
    parts = path.split('.')
    if len(parts) == 1:
        return parts[0] in set(Scope) - {Scope.WORKSPACE}
    return (
        len(parts) == 3 and parts[0] == 'branches' and parts[2] == 'workspaces'
    )


def _syntax_finding(error: tomllib.TOMLDecodeError, name: str) -> Finding:
    match = re.search(r'\(at line (\d+), column \d+\)', str(error))
    location = f'{name}:{match.group(1)}' if match else name
    return Finding(location, str(error), 'fix the TOML syntax')


def _lines_by_path(text: str) -> Mapping[str, int]:
    """
    Return the line number of each table and key, by path.

    `tomllib` doesn't keep line numbers, so the lines are matched separately;
    multi-line strings may hide some of them.
    """
    return dict(_find_lines(text))


def _find_lines(text: str) -> Iterator[tuple[str, int]]:
    table = ''
    for number, line in enumerate(text.splitlines(), start=1):
        header = TABLE_HEADER.match(line)
        key = KEY_ASSIGNMENT.match(line)
        if header:
            table = _unquote(header.group(1))
            yield table, number
        elif key:
            path = _unquote(key.group(1))
            yield f'{table}.{path}' if table else path, number


def _unquote(path: str) -> str:
    return '.'.join(part.strip().strip('"\'') for part in path.split('.'))
