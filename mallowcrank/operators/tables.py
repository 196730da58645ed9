"""
Tables of plain text.
"""

from collections.abc import Mapping, Sequence
from typing import Any

from mallowcrank.ports import Failure

Row = Mapping[str, Any]
COLUMN_SEPARATOR = '  '


def format_table(rows: Sequence[Row], columns: Sequence[str]) -> str:
    """
    Lay out rows under a header; a missing value shows as a dash.
    """
    texts = [tuple(columns)]
    texts.extend(
        tuple(_text(row.get(column)) for column in columns) for row in rows
    )
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return '\n'.join(_line(text, widths) for text in texts)


def status_rows(answers: Mapping[str, Any]) -> list[dict[str, Any]]:
    """
    Return a row for each asked address, also where it gave no answer.
    """
    rows: list[dict[str, Any]] = []
    for address, answer in answers.items():
        if isinstance(answer, Failure):
            rows.append({'host': address, 'outage': answer.reason})
        else:
            rows.append(dict(answer))
    return rows


def _text(value: Any) -> str:
    return '-' if value is None or value == '' else str(value)


def _line(texts: Sequence[str], widths: Sequence[int]) -> str:
    cells = (
        text.ljust(width) for text, width in zip(texts, widths, strict=True)
    )
    return COLUMN_SEPARATOR.join(cells).rstrip()
