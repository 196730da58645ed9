"""
Draws reports side by side: scenarios along the axis, one bar a version.
"""

import base64
import html
import io
import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import nan
from pathlib import Path
from typing import Any

from matplotlib.axes import Axes
from matplotlib.figure import Figure

PANELS = (
    ('Throughput as a part of its bound', ('ratio',)),
    ('Recovery after the fault, s', ('recovery_s',)),
    ('First token, p95, ms', ('first_token_ms', 'p95')),
    ('Between tokens, p95, ms', ('between_tokens_ms', 'p95')),
    ('Alert calls, p99, ms', ('alert_ms', 'p99')),
    ('Calls refused, not run', ('refused_not_run',)),
)
TABLE = (
    'scenario',
    'seed',
    'requests',
    'completed',
    'refused_not_run',
    'unknown',
    'lost',
    'doubled',
    'crossed',
    'layer_violations',
    'false_refusals',
    'throughput',
    'bound',
    'ratio',
    'recovery_s',
    'config_in_force_s',
    'leaving_last_work_s',
)
COLUMNS = 2
PANEL_INCHES = (7, 3)
DPI = 110
GROUP_WIDTH = 0.8


@dataclass(frozen=True)
class Drawn:
    """
    A report to draw.

    :param version: the file's folder, or its name where the folder says
        nothing.
    """

    version: str
    fields: Mapping[str, Any]

    @property
    def scenario(self) -> str:
        """
        Return the scenario with its seed.
        """
        return f'{self.fields["scenario"]} {self.fields["seed"]}'


def read_reports(paths: Sequence[Path]) -> tuple[Drawn, ...]:
    """
    Read reports; files of one folder are one version.

    :raises OSError: when a file can't be read.
    :raises ValueError: when a file is no JSON.
    """
    return tuple(
        Drawn(
            path.resolve().parent.name,
            json.loads(path.read_text(encoding='utf-8')),
        )
        for path in paths
    )


def write_plots(reports: Sequence[Drawn], out: Path) -> None:
    """
    Write one picture, or a page with the picture and a table.

    :param out: a file that ends in `.png` or `.html`.
    """
    picture = io.BytesIO()
    draw(reports).savefig(picture, format='png', dpi=DPI)
    if out.suffix == '.png':
        out.write_bytes(picture.getvalue())
        return
    out.write_text(make_page(reports, picture.getvalue()), encoding='utf-8')


def draw(reports: Sequence[Drawn]) -> Figure:
    """
    Draw all panels.
    """
    rows = len(PANELS) // COLUMNS
    size = (PANEL_INCHES[0] * COLUMNS, PANEL_INCHES[1] * rows)
    figure = Figure(figsize=size, layout='constrained')
    axes = figure.subplots(rows, COLUMNS).flat
    for panel, (title, path) in zip(axes, PANELS, strict=True):
        panel.set_title(title)
        _draw_bars(panel, reports, path)
    return figure


def make_page(reports: Sequence[Drawn], picture: bytes) -> str:
    """
    Return a page of HTML.
    """
    encoded = base64.b64encode(picture).decode()
    rows = '\n'.join(_table_row(report) for report in reports)
    heads = ''.join(f'<th>{name}</th>' for name in ('version', *TABLE))
    return (
        '<!doctype html>\n<meta charset="utf-8">\n'
        '<title>mallowcrank-load</title>\n'
        f'<img src="data:image/png;base64,{encoded}" alt="figures">\n'
        f'<table border="1"><tr>{heads}</tr>\n{rows}\n</table>\n'
    )


def _table_row(report: Drawn) -> str:
    cells = (report.version, *(report.fields.get(name) for name in TABLE))
    texts = ('' if cell is None else html.escape(str(cell)) for cell in cells)
    return f'<tr>{"".join(f"<td>{text}</td>" for text in texts)}</tr>'


def _draw_bars(
    panel: Axes, reports: Sequence[Drawn], path: tuple[str, ...]
) -> None:
    scenarios = list(dict.fromkeys(report.scenario for report in reports))
    versions = list(dict.fromkeys(report.version for report in reports))
    width = GROUP_WIDTH / len(versions)
    for number, version in enumerate(versions):
        drawn = [report for report in reports if report.version == version]
        bars = panel.bar(
            [scenarios.index(each.scenario) + number * width for each in drawn],
            [_find(each.fields, path) for each in drawn],
            width,
            label=version,
        )
        panel.bar_label(bars, fmt='%.3g', fontsize=7)
    panel.set_xticks(range(len(scenarios)), scenarios, rotation=20, ha='right')
    if len(versions) > 1:
        panel.legend()


def _find(fields: Mapping[str, Any], path: tuple[str, ...]) -> float:
    found: Any = fields
    for name in path:
        found = (found or {}).get(name)
    return nan if found is None else found
