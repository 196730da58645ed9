"""
Guards against wrong figures and order when reports of versions are plotted
side by side, also when a report lacks figures or a scenario.
"""

from math import isnan
from unittest import TestCase

from mallowcrank.load.plots import PANELS, PlottedReport, draw, make_page


def make_report(version, scenario='steady', **fields):
    return PlottedReport(version, {'scenario': scenario, 'seed': 1, **fields})


class TestReports(TestCase):
    def test_table_groups_versions_by_scenario(self):
        page = make_page(
            (
                make_report('earlier', 'steady'),
                make_report('earlier', 'overload'),
                make_report('now', 'overload'),
                make_report('now', 'steady'),
            ),
            b'',
        )
        rows = [line for line in page.splitlines() if '<td>' in line]
        named = [tuple(row.split('<td>')[1:3]) for row in rows]
        self.assertEqual(
            [f'{scenario} {version}' for scenario, version in named],
            [
                f'{scenario} 1</td> {version}</td>'
                for scenario in ('steady', 'overload')
                for version in ('earlier', 'now')
            ],
        )

    def test_findings_of_all_promises_are_summed(self):
        broken = make_report('now', lost=1, late_settings=2)
        self.assertEqual(broken.find(('broken',)), 3)

    def test_missing_figure_is_nan(self):
        self.assertTrue(isnan(make_report('now').find(('alert_ms', 'p99'))))

    def test_all_panels_are_drawn_if_a_version_lacks_a_scenario(self):
        figure = draw(
            (make_report('earlier', ratio=0.8), make_report('now', 'overload'))
        )
        titles = [axes.get_title() for axes in figure.axes]
        self.assertEqual(titles, [panel.title for panel in PANELS])
