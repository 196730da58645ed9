"""
The operators' commands `explain` and `gateways`.
"""

import io
import os
import tempfile
from pathlib import Path
from unittest import TestCase

from typer import Typer

from mallowcrank.cli.operator_gateways import register
from mallowcrank.context import Environment
from mallowcrank.core import main
from mallowcrank.gateway.journal import Importance, Journal
from mallowcrank.gateway.meters import Meters
from mallowcrank.operators.explain import explain, read_log
from mallowcrank.operators.gateways import quantile_ms, summarize
from mallowcrank.status import ExitStatus
from mallowcrank.web import Response, Routes, WebServer

CUT = (
    '{"at":12.5,"host":"h1","says":"request: cut","request":"r1",'
    '"sends":1,"refused":1,"age_s":2.5,"why":"503 at e2"}'
)
MOVED = (
    '{"at":12.25,"host":"h1","says":"request: path failed","request":"r1",'
    '"why":"silent for 0.1 s at e1","path":"e1:0-40,e3:40-80",'
    '"sends":1,"refused":0,"events":9,"age_s":2.25}'
)
SILENT = '{"at":12.2,"host":"h1","says":"fleet: target silent","target":"e1"}'
OTHER = '{"at":12.2,"host":"h1","says":"fleet: target silent","target":"e9"}'
STORE = '{"at":8.0,"host":"h1","says":"store: lost","why":"no answer"}'
LONG_AGO = '{"at":1.0,"host":"h1","says":"store: lost","why":"no answer"}'
SERVED = (
    '{"at":12.3,"host":"h1","says":"request: served","request":"r2",'
    '"dropped_before":3,"age_s":1}'
)


def explain_single(lines, request='r1'):
    explanations = explain_all(lines, request)
    if len(explanations) != 1:
        raise AssertionError(f'{len(explanations)} gateways logged it')
    return explanations[0]


def explain_all(lines, request='r1'):
    return explain(read_log(lines), request)


class TestExplain(TestCase):
    def test_times_are_relative_to_the_first_byte(self):
        found = explain_single([CUT, MOVED])
        offsets = [each.offset_s for each in found.timed_lines]
        self.assertEqual(offsets, [2.25, 2.5])
        self.assertEqual(found.end.says, 'request: cut')

    def test_state_changes_of_its_targets_and_the_store_are_shown(self):
        lines = [LONG_AGO, STORE, SILENT, OTHER, MOVED, SERVED, CUT]
        found = explain_single(lines)
        shown = [each.line.fields.get('target') for each in found.timed_lines]
        self.assertEqual(shown, [None, 'e1', None, None])
        self.assertEqual(found.timed_lines[0].line.says, 'store: lost')

    def test_dropped_lines_are_counted(self):
        found = explain_single([MOVED, SERVED, CUT])
        self.assertEqual(found.dropped, 3)

    def test_prefixes_and_unrelated_lines_are_ignored(self):
        lines = [
            f'2026-12-04T00:00:00Z h1 {CUT}\n',
            'not a log line\n',
            '{"at":"soon"}\n',
            '{"at":1,\n',
            '[{"at":1}]\n',
        ]
        found = explain_single(lines)
        self.assertEqual(len(found.timed_lines), 1)

    def test_each_host_is_explained_separately(self):
        elsewhere = MOVED.replace('"h1"', '"h2"')
        found = explain_all([elsewhere, CUT])
        self.assertEqual([each.host for each in found], ['h2', 'h1'])
        self.assertIsNone(found[0].end)

    def test_lines_written_by_a_gateway_are_parsed(self):
        read_fd, write_fd = os.pipe()
        self.addCleanup(os.close, read_fd)
        journal = Journal('h1', write_fd)
        journal.say('request: cut', Importance.FAILURE, request='r1', age_s=1)
        journal.flush()
        os.close(write_fd)
        text = os.read(read_fd, 4096).decode()
        found = explain_single(text.splitlines())
        self.assertEqual(found.end.age_s, 1)
        self.assertGreater(found.end.fields['wall_ms'], 0)


class TestCommands(TestCase):
    def setUp(self):
        self.app = Typer()
        register(self.app)
        self.environment = Environment(
            stdin=io.StringIO(f'{MOVED}\n{CUT}\n'),
            stdout=io.StringIO(),
            stderr=io.StringIO(),
        )

    def run_operator(self, *arguments):
        return main(self.app, 'mallowcrank', arguments, self.environment)

    def output(self):
        return self.environment.stdout.getvalue()

    def test_explain_reads_standard_input(self):
        status = self.run_operator('explain', 'r1')
        self.assertEqual(status, ExitStatus.SUCCESS)
        self.assertIn('request r1 at h1', self.output())
        self.assertIn('cut after 2.500 s: 503 at e2', self.output())

    def test_explain_reads_files(self):
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder, 'h1.log')
            log.write_text(f'{CUT}\n', encoding='utf-8')
            status = self.run_operator('explain', 'r1', str(log))
        self.assertEqual(status, ExitStatus.SUCCESS)

    def test_unknown_request_is_an_error(self):
        status = self.run_operator('explain', 'r7')
        self.assertEqual(status, ExitStatus.ERROR)
        self.assertIn('r7', self.environment.stderr.getvalue())

    def test_missing_log_file_is_a_bad_flag(self):
        status = self.run_operator('explain', 'r1', '/nowhere.log')
        self.assertEqual(status, ExitStatus.BAD_SETTINGS)

    def test_figures_include_unreachable_gateways(self):
        meters = Meters()
        meters.requests.labels('stream', 'served').inc(7)
        meters.first_event_s.labels('stream').observe(0.06)
        routes = Routes()
        routes.add('GET', '/metrics', lambda _: Response(200, meters.text()))
        server = WebServer('127.0.0.1:0', routes)
        server.start()
        self.addCleanup(server.stop)
        addresses = f'{server.address},127.0.0.1:1'
        status = self.run_operator('gateways', '--metrics', addresses)
        self.assertEqual(status, ExitStatus.ERROR)
        rows = self.output().splitlines()
        self.assertIn(' 7 ', rows[1])
        self.assertIn('<=100', rows[1])
        self.assertIn('can not connect', rows[2])

    def test_missing_address_is_a_bad_flag(self):
        status = self.run_operator('gateways')
        self.assertEqual(status, ExitStatus.BAD_SETTINGS)


class TestFigures(TestCase):
    def test_metrics_without_requests_have_no_quantiles(self):
        found = summarize(Meters().text().decode())
        self.assertEqual(found['served'], 0)
        self.assertEqual(found['first_p95_ms'], '')

    def test_quantile_beyond_the_last_bound_is_marked(self):
        buckets = [(0.5, 1.0), (float('inf'), 10.0)]
        self.assertEqual(quantile_ms(buckets, 0.95), '>500')

    def test_failed_store_calls_are_counted(self):
        meters = Meters()
        meters.store_calls.labels('read', 'ok').inc(5)
        meters.store_calls.labels('read', '503').inc(2)
        self.assertEqual(summarize(meters.text().decode())['store_failures'], 2)
