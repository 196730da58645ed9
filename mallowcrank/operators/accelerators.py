"""
Reads a fleet's description: accelerators, links and a model, in TOML.
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
MAX_NUMBER = 1_000_000  # of anything that is counted or timed here
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
    What a file says, and all findings about it.

    :param spec: only to be used where there are no findings.
    """

    spec: FleetSpec
    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class _Span:
    """
    Which numbers are right; both ends are.
    """

    low: float
    high: float = MAX_NUMBER
    is_whole: bool = False

    @property
    def text(self) -> str:
        kind = 'a whole number' if self.is_whole else 'a number'
        return f'{kind} from {self.low:g} to {self.high:g}'

    def holds(self, given: Any) -> bool:
        if isinstance(given, bool) or not isinstance(given, (int, float)):
            return False
        if self.is_whole and not isinstance(given, int):
            return False
        return isfinite(given) and self.low <= given <= self.high


COUNT_RANGE = _Span(1, is_whole=True)
MS_RANGE = _Span(0)


def read_fleet(text: str, name: str) -> ParsedFleet:
    """
    Read a fleet's description; all problems are found in one go.

    :param name: the file's name, for the findings.
    """
    reader = _FleetReader(name)
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        reader.find('', f'it is no TOML: {error}')
        document = {}
    else:
        reader.check_keys('', document, TABLE_KEYS)
    spec = reader.read(document)
    return ParsedFleet(spec, tuple(reader.findings))


class _FleetReader:
    """
    Collects the findings of one file.
    """

    def __init__(self, name: str) -> None:
        self.findings: list[Finding] = []
        self._name = name

    def find(self, path: str, problem: str) -> None:
        """
        Add a finding.
        """
        place = f'{self._name}: {path}' if path else self._name
        self.findings.append(Finding(place, problem, ADVICE))

    def check_keys(
        self, path: str, table: Mapping[str, Any], known: frozenset[str]
    ) -> None:
        """
        Find keys that nothing reads.
        """
        for key in table.keys() - known:
            self.find(_join(path, key), 'there is no such setting')

    def read(self, document: Mapping[str, Any]) -> FleetSpec:
        """
        Read a whole document.
        """
        model = self._table(document, 'model', MODEL_KEYS)
        accelerators = self._accelerators(document)
        return FleetSpec(
            model=self._text(model, 'model.name'),
            layers=int(
                self._number(
                    model, 'model.layers', _Span(1, MAX_LAYERS, is_whole=True)
                )
            ),
            accelerators=accelerators,
            links=self._links(document),
            replicas=int(
                self._number(
                    model, 'model.replicas', _Span(0, is_whole=True), 0
                )
            ),
            max_stages=int(
                self._number(
                    model,
                    'model.most_stages',
                    _Span(1, MAX_LAYERS, is_whole=True),
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
                self.find('accelerators', 'there are none')
            return ()
        if len(kinds) > MAX_KINDS:
            self.find('accelerators', f'there are more than {MAX_KINDS} kinds')
        return tuple(self._kind(kinds, name) for name in kinds)

    def _kind(self, kinds: Mapping[str, Any], name: str) -> FleetAccelerators:
        path = f'accelerators.{name}'
        table = self._table(kinds, name, KIND_KEYS, path)
        placed = AcceleratorClass(
            name=name,
            availability_zone=self._text(table, f'{path}.availability_zone'),
            count=int(self._number(table, f'{path}.count', COUNT_RANGE)),
            layer_ms=self._number(table, f'{path}.layer_ms', _Span(0.001)),
            memory_layers=int(
                self._number(table, f'{path}.memory_layers', COUNT_RANGE)
            ),
        )
        slots = self._number(table, f'{path}.slots', COUNT_RANGE, 16)
        return FleetAccelerators(placed, int(slots))

    def _links(self, document: Mapping[str, Any]) -> Links:
        table = self._table(document, 'links', LINK_KEYS)
        pairs = table.get('between', [])
        if not isinstance(pairs, list):
            self.find('links.between', 'it is not a list of tables')
            pairs = []
        given = dict(
            self._pair(pair, f'links.between[{number}]')
            for number, pair in enumerate(pairs, 1)
        )
        # A link that is given one way only is the same both ways.
        back = {(end, start): ms for (start, end), ms in given.items()}
        return Links(
            same_zone_ms=self._number(table, 'links.same_zone_ms', MS_RANGE),
            between_ms={**back, **given},
            default_ms=self._number(table, 'links.default_ms', MS_RANGE),
        )

    def _pair(self, pair: Any, path: str) -> tuple[tuple[str, str], float]:
        known = self._checked(pair, PAIR_KEYS, path)
        start = self._text(known, f'{path}.from')
        end = self._text(known, f'{path}.to')
        return (start, end), self._number(known, f'{path}.ms', MS_RANGE)

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
        return self._checked(table, known, path or key)

    def _checked(
        self, table: Any, known: frozenset[str], path: str
    ) -> Mapping[str, Any]:
        if not isinstance(table, dict):
            self.find(path, 'there is no such table')
            return {}
        self.check_keys(path, table, known)
        return table

    def _text(self, table: Mapping[str, Any], path: str) -> str:
        given = table.get(path.rpartition('.')[2], '')
        if isinstance(given, str) and given:
            return given
        if table:
            self.find(path, 'it is no text')
        return ''

    def _number(
        self,
        table: Mapping[str, Any],
        path: str,
        span: _Span,
        usual: float | None = None,
    ) -> float:
        given = table.get(path.rpartition('.')[2], usual)
        if span.holds(given):
            return given
        if table:
            self.find(path, f'{given!r} is not {span.text}')
        return span.low


def _join(path: str, key: str) -> str:
    return f'{path}.{key}' if path else key
