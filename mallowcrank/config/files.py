"""
Settings files: TOML texts read into drafts, with findings by line.
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

BASE_KEY = 'base'  # key of the version that the file was written against
UNSET_KEY = 'unset'  # key of the list of paths to remove
TABLE_HEADER = re.compile(r'^\s*\[([^\[\]]+)\]')
KEY_ASSIGNMENT = re.compile(r'^\s*([\w."\'-]+(?:\s*\.\s*[\w."\'-]+)*)\s*=')
NODE_NAME = re.compile(r'^[A-Za-z0-9_-]+$')
SETTINGS_REFERENCE = 'docs/CONFIGURATION.md lists all settings'


@dataclass(frozen=True)
class Draft:
    """
    What a settings file asks for.

    :param settings: values by path.
    :param unset: paths of settings or nodes to remove.
    :param base: the tree's version that the file was written against.
    """

    settings: Mapping[str, Any] = field(default_factory=dict)
    unset: tuple[str, ...] = ()
    base: int | None = None


@dataclass(frozen=True)
class ParsedFile:
    """
    A file's draft and the findings about it.

    :param locations: `FILE:LINE` by path, where the line is known.
    """

    draft: Draft
    findings: tuple[Finding, ...] = ()
    locations: Mapping[str, str] = field(default_factory=dict)


def read_draft(text: str, name: str) -> ParsedFile:
    """
    Read a settings file; all problems are found in one go.

    :param name: the file's name, for the findings.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return ParsedFile(Draft(), (_syntax(error, name),))
    reader = _DraftReader(name, _lines(text))
    return reader.read(document)


class _DraftReader:
    """
    Collects one file's settings and findings.
    """

    def __init__(self, name: str, lines: Mapping[str, int]) -> None:
        self._name = name
        self._lines = lines
        self._settings: dict[str, Any] = {}
        self._findings: list[Finding] = []

    def read(self, document: dict[str, Any]) -> ParsedFile:
        """
        Read a whole document.
        """
        base = self._base(document.pop(BASE_KEY, None))
        unset = self._unset(document.pop(UNSET_KEY, []))
        for word, table in document.items():
            self._visit(word, table)
        draft = Draft(dict(self._settings), unset, base)
        places = {path: self._place(path) for path in self._settings}
        return ParsedFile(draft, tuple(self._findings), places)

    def _visit(self, path: str, value: Any) -> None:
        if isinstance(value, dict):
            self._visit_table(path, value)
        elif '.' in path:
            self._add(path, value)
        else:
            self._find(
                path, 'it stands outside of any table', SETTINGS_REFERENCE
            )

    def _visit_table(self, path: str, table: dict[str, Any]) -> None:
        last = path.rpartition('.')[2]
        if not NODE_NAME.match(last):
            advice = 'use letters, digits, dashes and underscores'
            self._find(path, f'{last!r} is not a name', advice)
            return
        if scope_of(path) is not None:
            self._settings[f'{path}.{PRESENT}'] = True
        elif not _is_parent(path):
            self._find(path, 'there is no such table', SETTINGS_REFERENCE)
            return
        for word, value in table.items():
            self._visit(f'{path}.{word}', value)

    def _add(self, path: str, value: Any) -> None:
        node, _, name = path.rpartition('.')
        scope = scope_of(node)
        if scope is None:
            self._find(path, 'there is no such setting', SETTINGS_REFERENCE)
            return
        problem = find_problem(scope, name, value)
        if problem or not is_scalar_or_list(value):
            self._find(
                path, problem or 'its kind is unknown', SETTINGS_REFERENCE
            )
            return
        self._settings[path] = value

    def _base(self, value: Any) -> int | None:
        if value is None or (isinstance(value, int) and value >= -1):
            return value
        self._find(BASE_KEY, f'{value!r} is not a version', 'give a log offset')
        return None

    def _unset(self, value: Any) -> tuple[str, ...]:
        if isinstance(value, list) and all(
            isinstance(path, str) for path in value
        ):
            return tuple(value)
        self._find(
            UNSET_KEY, f'{value!r} is not a list of paths', SETTINGS_REFERENCE
        )
        return ()

    def _find(self, path: str, problem: str, advice: str) -> None:
        place = self._place(path)
        self._findings.append(Finding(place, f'{path}: {problem}', advice))

    def _place(self, path: str) -> str:
        line = self._lines.get(path)
        if line is None:
            line = self._lines.get(path.rpartition('.')[0])
        return self._name if line is None else f'{self._name}:{line}'


def _is_parent(path: str) -> bool:
    words = path.split('.')
    if len(words) == 1:
        return words[0] in set(Scope) - {Scope.WORKSPACE}
    return (
        len(words) == 3 and words[0] == 'branches' and words[2] == 'workspaces'
    )


def _syntax(error: tomllib.TOMLDecodeError, name: str) -> Finding:
    found = re.search(r'\(at line (\d+), column \d+\)', str(error))
    place = f'{name}:{found.group(1)}' if found else name
    return Finding(place, str(error), 'mend the TOML')


def _lines(text: str) -> Mapping[str, int]:
    """
    Return the line of each table and key, by path.

    `tomllib` keeps no places, so that texts of several lines may hide some.
    """
    return dict(_find_lines(text))


def _find_lines(text: str) -> Iterator[tuple[str, int]]:
    table = ''
    for number, line in enumerate(text.splitlines(), start=1):
        header = TABLE_HEADER.match(line)
        key = KEY_ASSIGNMENT.match(line)
        if header:
            table = _bare(header.group(1))
            yield table, number
        elif key:
            path = _bare(key.group(1))
            yield f'{table}.{path}' if table else path, number


def _bare(path: str) -> str:
    return '.'.join(word.strip().strip('"\'') for word in path.split('.'))
