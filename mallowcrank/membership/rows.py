"""
Wire format of facts: a row of the tag and the fields in order.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, fields
from operator import attrgetter
from types import MappingProxyType
from typing import Any

from mallowcrank.membership.facts import (
    Demand,
    Fact,
    Hold,
    Listing,
    Load,
    Member,
    MemberState,
    Observation,
    TargetFact,
    Verdict,
)
from mallowcrank.view import TargetKind

Row = list[Any]


@dataclass(frozen=True)
class _Schema:
    kind: type[Fact]
    get_fields: Callable[[Fact], tuple[Any, ...]]
    field_count: int
    enums: tuple[tuple[int, Callable[[str], Any]], ...]


def _schema_of(kind: type[Fact]) -> _Schema:
    enums = {'state': MemberState, 'kind': TargetKind, 'verdict': Verdict}
    names = [each.name for each in fields(kind)]
    return _Schema(
        kind,
        attrgetter(*names),
        len(names),
        tuple(
            (index, enums[name])
            for index, name in enumerate(names)
            if name in enums
        ),
    )


_TAGS: Mapping[type[Fact], str] = MappingProxyType(
    {
        Member: 'm',
        TargetFact: 't',
        Listing: 'h',
        Hold: 'x',
        Observation: 'o',
        Load: 'l',
        Demand: 'd',
    }
)
_SCHEMAS = MappingProxyType(
    {tag: _schema_of(kind) for kind, tag in _TAGS.items()}
)


def write_row(fact: Fact) -> Row:
    """
    Convert a fact to a row.
    """
    tag = _TAGS[type(fact)]
    return [tag, *_SCHEMAS[tag].get_fields(fact)]


def read_row(row: Sequence[Any]) -> Fact | None:
    """
    Parse a fact from a row, ignoring additional fields.

    :returns: the fact, or `None` for an unknown tag.
    :raises ValueError: when a field can't be parsed.
    :raises TypeError: when fields are missing.
    """
    schema = _SCHEMAS.get(row[0])
    if schema is None:
        return None
    row_fields = list(row[1 : schema.field_count + 1])
    for index, parse in schema.enums:
        row_fields[index] = parse(row_fields[index])
    if schema.kind is Demand:
        row_fields[-1] = tuple(map(tuple, row_fields[-1]))
    return schema.kind(*row_fields)
