"""
Plain-text tables.
"""

from collections.abc import Mapping, Sequence
from typing import Any

from mallowcrank.ports import Failure

Row = Mapping[str, Any]
COLUMN_SEPARATOR = '  '


def format_table(rows: Sequence[Row], columns: Sequence[str]) -> str:
    """
    Format rows under a header; a missing value is shown as a dash.
    """
    cells = [tuple(columns)]
    cells.extend(
        tuple(_format_cell(row.get(column)) for column in columns)
        for row in rows
    )
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return '\n'.join(_format_row(row_cells, widths) for row_cells in cells)


def status_rows(answers: Mapping[str, Any]) -> list[dict[str, Any]]:
    """
    Return a row for each address; one that failed has only the reason.
    """
    rows: list[dict[str, Any]] = []
    for address, answer in answers.items():
        if isinstance(answer, Failure):
            rows.append({'host': address, 'outage': answer.reason})
        else:
            rows.append(dict(answer))
    return rows


def _format_cell(value: Any) -> str:
    return '-' if value is None or value == '' else str(value)


def _format_row(texts: Sequence[str], widths: Sequence[int]) -> str:
    cells = (
        text.ljust(width) for text, width in zip(texts, widths, strict=True)
    )
    return COLUMN_SEPARATOR.join(cells).rstrip()
