"""
Plots reports side by side: scenarios along the axis, one bar per version.
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

from mallowcrank.load.promises import PROMISES

BROKEN_PROMISES = 'broken'  # sum of the findings for all promises
TABLE_FIELDS = (
    'requests',
    'completed',
    'refused_not_run',
    'unknown',
    *PROMISES,
    'throughput',
    'bound',
    'ratio',
    'recovery_s',
    'recovery_keyed_s',
    'config_in_force_s',
    'leaving_last_work_s',
)
PANEL_COLUMNS = 2
PANEL_INCHES = (7, 3)
MIN_GROUP_WIDTH_INCHES = 0.5
DPI = 110
BAR_GROUP_WIDTH = 0.8
TOP_MARGIN = 0.15  # room for the labels above the bars
INTEGER_FROM = 1000  # larger figures are shown without decimals


@dataclass(frozen=True)
class Panel:
    """
    A panel of the picture.

    :param path: the keys under which a report has the figure.
    :param target: the value that the figure should reach or stay below.
    """

    title: str
    path: tuple[str, ...]
    target: float | None = None


PANELS = (
    Panel('Throughput as a part of its bound', ('ratio',), 0.95),
    Panel('Recovery after the fault, s', ('recovery_s',), 1),
    Panel('First token, p95, ms', ('first_token_ms', 'p95'), 490),
    Panel('Between tokens, p95, ms', ('between_tokens_ms', 'p95'), 33),
    Panel('Alert calls, p99, ms', ('alert_ms', 'p99'), 250),
    Panel('Promises broken', (BROKEN_PROMISES,), 0),
)


@dataclass(frozen=True)
class PlottedReport:
    """
    A report to plot.

    :param version: the name of the file's folder.
    :param fields: the parsed JSON of the report.
    """

    version: str
    fields: Mapping[str, Any]

    @property
    def scenario(self) -> str:
        """
        Return the scenario's name and seed.
        """
        return f'{self.fields["scenario"]} {self.fields["seed"]}'

    def find(self, path: Sequence[str]) -> float:
        """
        Return a figure, or NaN if the report doesn't have it.
        """
        if path[0] == BROKEN_PROMISES:
            return sum(self.fields.get(name, 0) for name in PROMISES)
        found: Any = self.fields
        for name in path:
            found = (found or {}).get(name)
        return nan if found is None else found


def read_reports(paths: Sequence[Path]) -> tuple[PlottedReport, ...]:
    """
    Read reports; the files of one folder belong to one version.

    :raises OSError: when a file can't be read.
    :raises ValueError: when a file is not JSON.
    """
    return tuple(
        PlottedReport(
            path.resolve().parent.name,
            json.loads(path.read_text(encoding='utf-8')),
        )
        for path in paths
    )


def write_plots(reports: Sequence[PlottedReport], out: Path) -> None:
    """
    Write a picture, or an HTML page with the picture and a table.

    :param out: a path that ends in `.png` or `.html`.
    :raises OSError: when the file can't be written.
    """
    picture = io.BytesIO()
    draw(reports).savefig(picture, format='png', dpi=DPI)
    if out.suffix == '.png':
        out.write_bytes(picture.getvalue())
        return
    out.write_text(make_page(reports, picture.getvalue()), encoding='utf-8')


def draw(reports: Sequence[PlottedReport]) -> Figure:
    """
    Draw all panels.
    """
    rows = len(PANELS) // PANEL_COLUMNS
    width = max(
        PANEL_INCHES[0], MIN_GROUP_WIDTH_INCHES * len(_scenarios(reports))
    )
    size = (width * PANEL_COLUMNS, PANEL_INCHES[1] * rows)
    figure = Figure(figsize=size, layout='constrained')
    axes = figure.subplots(rows, PANEL_COLUMNS).flat
    for panel_axes, panel in zip(axes, PANELS, strict=True):
        panel_axes.set_title(panel.title)
        _draw_bars(panel_axes, reports, panel)
    legend = figure.axes[0].get_legend_handles_labels()
    figure.legend(*legend, loc='outside upper left', ncols=len(legend[0]))
    return figure


def make_page(reports: Sequence[PlottedReport], picture: bytes) -> str:
    """
    Return an HTML page; the table groups the versions by scenario.
    """
    encoded = base64.b64encode(picture).decode()
    order = _scenarios(reports)
    ordered = sorted(reports, key=lambda each: order.index(each.scenario))
    rows = '\n'.join(map(_table_row, ordered))
    names = ('scenario', 'version', *TABLE_FIELDS)
    header_cells = ''.join(f'<th>{name}</th>' for name in names)
    return (
        '<!doctype html>\n<meta charset="utf-8">\n'
        '<title>mallowcrank-load</title>\n'
        f'<img src="data:image/png;base64,{encoded}" alt="figures">\n'
        f'<table border="1"><tr>{header_cells}</tr>\n{rows}\n</table>\n'
    )


def _table_row(report: PlottedReport) -> str:
    figures = (report.fields.get(name) for name in TABLE_FIELDS)
    cells = (report.scenario, report.version, *figures)
    texts = ('' if cell is None else html.escape(str(cell)) for cell in cells)
    return f'<tr>{"".join(f"<td>{text}</td>" for text in texts)}</tr>'


def _scenarios(reports: Sequence[PlottedReport]) -> list[str]:
    return list(dict.fromkeys(report.scenario for report in reports))


def _draw_bars(
    axes: Axes, reports: Sequence[PlottedReport], panel: Panel
) -> None:
    scenarios = _scenarios(reports)
    versions = list(dict.fromkeys(report.version for report in reports))
    width = BAR_GROUP_WIDTH / len(versions)
    first = (width - BAR_GROUP_WIDTH) / 2
    for number, version in enumerate(versions):
        version_reports = [
            report for report in reports if report.version == version
        ]
        offset = first + number * width
        bars = axes.bar(
            [
                scenarios.index(each.scenario) + offset
                for each in version_reports
            ],
            [each.find(panel.path) for each in version_reports],
            width,
            label=version,
        )
        axes.bar_label(bars, fmt=_format_figure, fontsize=7)
    if panel.target is not None:
        axes.axhline(panel.target, color='black', linestyle='--')
    axes.margins(y=TOP_MARGIN)
    axes.set_ylim(bottom=0)
    axes.set_xticks(range(len(scenarios)), scenarios, rotation=30, ha='right')


def _format_figure(figure: float) -> str:
    return f'{figure:.0f}' if figure >= INTEGER_FROM else f'{figure:.3g}'
