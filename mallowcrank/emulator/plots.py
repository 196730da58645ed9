"""
Plots of an experiment: a panel for each figure with a bar for each policy,
grouped by load.
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
SIZE_INCHES = (13, 10)
DPI = 110
GROUP_WIDTH = 0.8

Row = Mapping[str, Any]


def write_plot(rows: Sequence[Row], out: Path) -> None:
    """
    Plot the rows of an experiment to a file.

    :param out: its suffix decides on the format.
    """
    figure = Figure(figsize=SIZE_INCHES, layout='constrained')
    axes = figure.subplots(len(PANELS) // COLUMNS, COLUMNS).flat
    for axis, (name, title) in zip(axes, PANELS, strict=True):
        axis.set_title(title)
        _draw_bars(axis, rows, name)
    legend = figure.axes[0].get_legend_handles_labels()
    figure.legend(*legend, loc='outside lower center', ncols=4)
    figure.savefig(out, dpi=DPI)


def _draw_bars(axis: Axes, rows: Sequence[Row], name: str) -> None:
    loads = list(dict.fromkeys(row['load'] for row in rows))
    policies = list(dict.fromkeys(row['policy'] for row in rows))
    width = GROUP_WIDTH / len(policies)
    for number, policy in enumerate(policies):
        policy_rows = [row for row in rows if row['policy'] == policy]
        offset = (number + 0.5) * width - GROUP_WIDTH / 2
        positions = [loads.index(row['load']) + offset for row in policy_rows]
        axis.bar(
            positions, [row[name] for row in policy_rows], width, label=policy
        )
    axis.set_xticks(range(len(loads)), loads)
    axis.set_ylim(bottom=0)
