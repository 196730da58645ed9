"""
Draws an experiment: one panel a figure, one bar a policy, grouped by load.
"""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from matplotlib.axes import Axes
from matplotlib.figure import Figure

PANELS = (
    ('credit', 'Credit earned, as a share'),
    ('worst', 'Credit in the worst two windows of 2 s'),
    ('refused', 'Refused, as a share'),
    ('failed', 'Failed or cut, as a share'),
    ('first_p95_ms', 'First event, p95, ms'),
    ('event_ms', 'Between events, mean of the middle stream, ms'),
)
COLUMNS = 2
INCHES = (13, 10)
DPI = 110
GROUP_WIDTH = 0.8

Row = Mapping[str, Any]


def write_plot(rows: Sequence[Row], out: Path) -> None:
    """
    Write a picture of the rows of an experiment.
    """
    figure = Figure(figsize=INCHES, layout='constrained')
    axes = figure.subplots(len(PANELS) // COLUMNS, COLUMNS).flat
    for drawing, (name, title) in zip(axes, PANELS, strict=True):
        drawing.set_title(title)
        _draw_bars(drawing, rows, name)
    legend = figure.axes[0].get_legend_handles_labels()
    figure.legend(*legend, loc='outside lower center', ncols=4)
    figure.savefig(out, dpi=DPI)


def _draw_bars(drawing: Axes, rows: Sequence[Row], name: str) -> None:
    loads = list(dict.fromkeys(row['load'] for row in rows))
    policies = list(dict.fromkeys(row['policy'] for row in rows))
    width = GROUP_WIDTH / len(policies)
    for number, policy in enumerate(policies):
        own = [row for row in rows if row['policy'] == policy]
        offset = (number + 0.5) * width - GROUP_WIDTH / 2
        places = [loads.index(row['load']) + offset for row in own]
        drawing.bar(places, [row[name] for row in own], width, label=policy)
    drawing.set_xticks(range(len(loads)), loads)
    drawing.set_ylim(bottom=0)
