"""
Parses a fleet description in TOML: accelerators, links and a model.
"""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from math import isfinite
from typing import Any

from mallowcrank.findings import Finding
from mallowcrank.routing.fleet_plan import (
    DEFAULT_MAX_STAGES,
    FleetAccelerators,
    FleetSpec,
)
from mallowcrank.routing.placement import AcceleratorClass, Links

ADVICE = 'docs/PLACEMENT.md describes the file'
MAX_NUMBER = 1_000_000  # of any count or time in the file
MAX_LAYERS = 512
MAX_KINDS = 16
TABLE_KEYS = frozenset(('model', 'links', 'accelerators'))
MODEL_KEYS = frozenset(('name', 'layers', 'replicas', 'most_stages'))
LINK_KEYS = frozenset(('same_zone_ms', 'default_ms', 'between'))
PAIR_KEYS = frozenset(('from', 'to', 'ms'))
KIND_KEYS = frozenset(
    ('availability_zone', 'count', 'layer_ms', 'memory_layers', 'slots')
)


@dataclass(frozen=True)
class ParsedFleet:
    """
    A parsed fleet description with all findings about the file.

    :param spec: valid only if there are no findings.
    """

    spec: FleetSpec
    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class _NumberRange:
    """
    A range of allowed numbers; both ends are included.
    """

    low: float
    high: float = MAX_NUMBER
    is_whole: bool = False

    @property
    def description(self) -> str:
        kind = 'a whole number' if self.is_whole else 'a number'
        return f'{kind} from {self.low:g} to {self.high:g}'

    def contains(self, given: Any) -> bool:
        if isinstance(given, bool) or not isinstance(given, (int, float)):
            return False
        if self.is_whole and not isinstance(given, int):
            return False
        return isfinite(given) and self.low <= given <= self.high


COUNT_RANGE = _NumberRange(1, is_whole=True)
MS_RANGE = _NumberRange(0)


def read_fleet(text: str, name: str) -> ParsedFleet:
    """
    Parse a fleet description, collecting all findings.

    :param text: the file's content, in TOML.
    :param name: the file's name, shown in the findings.
    """
    reader = _FleetReader(name)
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        reader.add_finding('', f'invalid TOML: {error}')
        document = {}
    else:
        reader.check_keys('', document, TABLE_KEYS)
    spec = reader.read(document)
    return ParsedFleet(spec, tuple(reader.findings))


class _FleetReader:
    """
    Converts a TOML document to a `FleetSpec` and collects findings.
    """

    def __init__(self, name: str) -> None:
        self.findings: list[Finding] = []
        self._name = name

    def add_finding(self, path: str, problem: str) -> None:
        """
        Add a finding.
        """
        location = f'{self._name}: {path}' if path else self._name
        self.findings.append(Finding(location, problem, ADVICE))

    def check_keys(
        self, path: str, table: Mapping[str, Any], known: frozenset[str]
    ) -> None:
        """
        Add a finding for each unknown key of a table.
        """
        for key in table.keys() - known:
            self.add_finding(_join(path, key), 'unknown setting')

    def read(self, document: Mapping[str, Any]) -> FleetSpec:
        """
        Convert a whole document.

        Values with findings are replaced by a valid number or an empty text.
        """
        model = self._table(document, 'model', MODEL_KEYS)
        accelerators = self._accelerators(document)
        return FleetSpec(
            model=self._text(model, 'model.name'),
            layers=int(
                self._number(
                    model,
                    'model.layers',
                    _NumberRange(1, MAX_LAYERS, is_whole=True),
                )
            ),
            accelerators=accelerators,
            links=self._links(document),
            replicas=int(
                self._number(
                    model, 'model.replicas', _NumberRange(0, is_whole=True), 0
                )
            ),
            max_stages=int(
                self._number(
                    model,
                    'model.most_stages',
                    _NumberRange(1, MAX_LAYERS, is_whole=True),
                    DEFAULT_MAX_STAGES,
                )
            ),
        )

    def _accelerators(
        self, document: Mapping[str, Any]
    ) -> tuple[FleetAccelerators, ...]:
        kinds = document.get('accelerators')
        if not isinstance(kinds, dict) or not kinds:
            if document:
                self.add_finding('accelerators', 'no accelerators are given')
            return ()
        if len(kinds) > MAX_KINDS:
            self.add_finding(
                'accelerators', f'more than {MAX_KINDS} kinds are given'
            )
        return tuple(self._accelerator(kinds, name) for name in kinds)

    def _accelerator(
        self, kinds: Mapping[str, Any], name: str
    ) -> FleetAccelerators:
        path = f'accelerators.{name}'
        table = self._table(kinds, name, KIND_KEYS, path)
        accelerator_class = AcceleratorClass(
            name=name,
            availability_zone=self._text(table, f'{path}.availability_zone'),
            count=int(self._number(table, f'{path}.count', COUNT_RANGE)),
            layer_ms=self._number(
                table, f'{path}.layer_ms', _NumberRange(0.001)
            ),
            memory_layers=int(
                self._number(table, f'{path}.memory_layers', COUNT_RANGE)
            ),
        )
        slots = self._number(table, f'{path}.slots', COUNT_RANGE, 16)
        return FleetAccelerators(accelerator_class, int(slots))

    def _links(self, document: Mapping[str, Any]) -> Links:
        table = self._table(document, 'links', LINK_KEYS)
        pairs = table.get('between', [])
        if not isinstance(pairs, list):
            self.add_finding('links.between', 'not a list of tables')
            pairs = []
        given = dict(
            self._pair(pair, f'links.between[{number}]')
            for number, pair in enumerate(pairs, 1)
        )
        # A link that is given in one direction applies to both.
        reversed_links = {
            (end, start): ms for (start, end), ms in given.items()
        }
        return Links(
            same_zone_ms=self._number(table, 'links.same_zone_ms', MS_RANGE),
            between_ms={**reversed_links, **given},
            default_ms=self._number(table, 'links.default_ms', MS_RANGE),
        )

    def _pair(self, pair: Any, path: str) -> tuple[tuple[str, str], float]:
        link = self._checked_table(pair, PAIR_KEYS, path)
        start = self._text(link, f'{path}.from')
        end = self._text(link, f'{path}.to')
        return (start, end), self._number(link, f'{path}.ms', MS_RANGE)

    def _table(
        self,
        parent: Mapping[str, Any],
        key: str,
        known: frozenset[str],
        path: str = '',
    ) -> Mapping[str, Any]:
        table = parent.get(key)
        if table is None and not parent:
            return {}
        return self._checked_table(table, known, path or key)

    def _checked_table(
        self, table: Any, known: frozenset[str], path: str
    ) -> Mapping[str, Any]:
        if not isinstance(table, dict):
            self.add_finding(path, 'the table is missing')
            return {}
        self.check_keys(path, table, known)
        return table

    def _text(self, table: Mapping[str, Any], path: str) -> str:
        given = table.get(path.rpartition('.')[2], '')
        if isinstance(given, str) and given:
            return given
        if table:
            self.add_finding(path, 'not a non-empty string')
        return ''

    def _number(
        self,
        table: Mapping[str, Any],
        path: str,
        allowed: _NumberRange,
        default: float | None = None,
    ) -> float:
        given = table.get(path.rpartition('.')[2], default)
        if allowed.contains(given):
            return given
        if table:
            self.add_finding(path, f'{given!r} is not {allowed.description}')
        return allowed.low


def _join(path: str, key: str) -> str:
    return f'{path}.{key}' if path else key
