"""
A gateway's settings file: read at the start, and again when it changes.
"""

import io
import os
from contextlib import redirect_stderr
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from mallowcrank.cli.gateway import app
from mallowcrank.context import Environment
from mallowcrank.core import main
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.launch import run_gateway
from mallowcrank.gateway.reload import SettingsWatcher, read_settings_file
from mallowcrank.platform.vocabulary import platform_vocabulary
from mallowcrank.status import ExitStatus
from tests.test_platform_settings import FILE


class TestSettingsWatch(TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, 'settings.conf')
        self.path.write_text(FILE, encoding='utf-8')
        self.taken = []
        self.watch = SettingsWatcher(
            str(self.path),
            platform_vocabulary(),
            Journal('test', os.open(os.devnull, os.O_WRONLY)),
            self.taken.append,
        )

    def change(self, old, new):
        text = FILE.replace(old, new)
        self.path.write_text(text, encoding='utf-8')
        self.watch.check()

    def test_a_changed_file_is_taken_in_once(self):
        self.watch.check()
        self.assertEqual(self.taken, [])
        self.change('grace_s=8', 'grace_s=5')
        self.watch.check()
        self.assertEqual([each.bounds.grace_s for each in self.taken], [5])

    def test_a_bad_file_changes_nothing(self):
        self.change('grace_s=8', 'grace_s=soon')
        self.path.unlink()
        self.watch.check()
        self.assertEqual(self.taken, [])
        self.change('grace_s=8', 'grace_s=6')
        self.assertEqual([each.bounds.grace_s for each in self.taken], [6])

    def test_a_file_that_is_not_there_is_named(self):
        read = read_settings_file('/nowhere/x.conf', platform_vocabulary())
        self.assertIn('/nowhere/x.conf', read)


class TestLaunch(TestCase):
    def run_gateway(self, path):
        said = io.StringIO()
        with redirect_stderr(said):
            status = run_gateway(path)
        return status, said.getvalue()

    def test_a_gateway_without_settings_says_how_to_name_them(self):
        status, said = self.run_gateway('')
        self.assertEqual(status, ExitStatus.BAD_SETTINGS)
        self.assertIn('--settings', said)

    def test_all_findings_of_a_settings_file_are_told(self):
        with TemporaryDirectory() as folder:
            path = Path(folder, 'settings.conf')
            path.write_text('node_name=h1\n', encoding='utf-8')
            status, said = self.run_gateway(str(path))
        self.assertEqual(status, ExitStatus.BAD_SETTINGS)
        for name in ('zone', 'listen.front', 'platform.address'):
            self.assertIn(name, said)

    def test_a_missing_settings_file_is_refused(self):
        environment = Environment(stdout=io.StringIO(), stderr=io.StringIO())
        status = main(
            app, 'mallowcrank-gateway', ('--settings', '/nowhere'), environment
        )
        self.assertEqual(status, ExitStatus.BAD_SETTINGS)
