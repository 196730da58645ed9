"""
Tests that a gateway's settings file is validated at the start and on reload.
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


class TestSettingsWatcher(TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, 'settings.conf')
        self.path.write_text(FILE, encoding='utf-8')
        self.applied = []
        self.watcher = SettingsWatcher(
            str(self.path),
            platform_vocabulary(),
            Journal('test', os.open(os.devnull, os.O_WRONLY)),
            self.applied.append,
        )

    def change(self, old, new):
        text = FILE.replace(old, new)
        self.path.write_text(text, encoding='utf-8')
        self.watcher.check()

    def test_changed_file_is_applied_once(self):
        self.watcher.check()
        self.assertEqual(self.applied, [])
        self.change('grace_s=8', 'grace_s=5')
        self.watcher.check()
        self.assertEqual([each.bounds.grace_s for each in self.applied], [5])

    def test_invalid_or_missing_file_is_not_applied(self):
        self.change('grace_s=8', 'grace_s=soon')
        self.path.unlink()
        self.watcher.check()
        self.assertEqual(self.applied, [])
        self.change('grace_s=8', 'grace_s=6')
        self.assertEqual([each.bounds.grace_s for each in self.applied], [6])

    def test_missing_file_is_named_in_the_error(self):
        read = read_settings_file('/nowhere/x.conf', platform_vocabulary())
        self.assertIn('/nowhere/x.conf', read)


class TestLaunch(TestCase):
    def run_gateway(self, path):
        stderr = io.StringIO()
        with redirect_stderr(stderr):
            status = run_gateway(path)
        return status, stderr.getvalue()

    def test_error_without_settings_file_names_the_flag(self):
        status, stderr = self.run_gateway('')
        self.assertEqual(status, ExitStatus.BAD_SETTINGS)
        self.assertIn('--settings', stderr)

    def test_all_findings_of_a_settings_file_are_reported(self):
        with TemporaryDirectory() as folder:
            path = Path(folder, 'settings.conf')
            path.write_text('node_name=h1\n', encoding='utf-8')
            status, stderr = self.run_gateway(str(path))
        self.assertEqual(status, ExitStatus.BAD_SETTINGS)
        for name in ('zone', 'listen.front', 'platform.address'):
            self.assertIn(name, stderr)

    def test_missing_settings_file_fails_the_start(self):
        environment = Environment(stdout=io.StringIO(), stderr=io.StringIO())
        status = main(
            app, 'mallowcrank-gateway', ('--settings', '/nowhere'), environment
        )
        self.assertEqual(status, ExitStatus.BAD_SETTINGS)
