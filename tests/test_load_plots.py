"""
Reports of versions side by side.
"""

from math import isnan
from unittest import TestCase

from mallowcrank.load.plots import PANELS, PlottedReport, draw, make_page


def report(version, scenario='steady', **fields):
    return PlottedReport(version, {'scenario': scenario, 'seed': 1, **fields})


class TestReports(TestCase):
    def test_versions_of_a_scenario_stand_together_in_the_table(self):
        page = make_page(
            (
                report('earlier', 'steady'),
                report('earlier', 'overload'),
                report('now', 'overload'),
                report('now', 'steady'),
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

    def test_broken_promises_are_summed(self):
        broken = report('now', lost=1, late_settings=2)
        self.assertEqual(broken.find(('broken',)), 3)

    def test_figure_that_a_report_lacks(self):
        self.assertTrue(isnan(report('now').find(('alert_ms', 'p99'))))

    def test_all_panels_are_drawn_where_a_version_lacks_a_scenario(self):
        figure = draw((report('earlier', ratio=0.8), report('now', 'overload')))
        titles = [axes.get_title() for axes in figure.axes]
        self.assertEqual(titles, [panel.title for panel in PANELS])
