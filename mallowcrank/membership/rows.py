"""
Facts as rows for the wire: a tag, then the fields in order.
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
class _Shape:
    kind: type[Fact]
    read: Callable[[Fact], tuple[Any, ...]]
    width: int
    enums: tuple[tuple[int, Callable[[str], Any]], ...]


def _shape_of(kind: type[Fact]) -> _Shape:
    enums = {'state': MemberState, 'kind': TargetKind, 'verdict': Verdict}
    names = [each.name for each in fields(kind)]
    return _Shape(
        kind,
        attrgetter(*names),
        len(names),
        tuple(
            (place, enums[name])
            for place, name in enumerate(names)
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
_SHAPES = MappingProxyType(
    {tag: _shape_of(kind) for kind, tag in _TAGS.items()}
)


def write_row(fact: Fact) -> Row:
    """
    Turn a fact into a row.
    """
    tag = _TAGS[type(fact)]
    return [tag, *_SHAPES[tag].read(fact)]


def read_row(row: Sequence[Any]) -> Fact | None:
    """
    Build a fact; unknown kinds give `None`, and further fields are ignored.

    :raises ValueError: when a field can't be read.
    :raises TypeError: when fields are missing.
    """
    shape = _SHAPES.get(row[0])
    if shape is None:
        return None
    parts = list(row[1 : shape.width + 1])
    for place, read in shape.enums:
        parts[place] = read(parts[place])
    if shape.kind is Demand:
        parts[-1] = tuple(map(tuple, parts[-1]))
    return shape.kind(*parts)
