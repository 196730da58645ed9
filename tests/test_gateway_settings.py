"""
A gateway's settings file: read at the start, and again when it changes.
"""

import os
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.reload import SettingsWatch, read_settings_file
from mallowcrank.platform.vocabulary import platform_vocabulary
from tests.test_platform_settings import FILE


class TestSettingsWatch(TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, 'settings.conf')
        self.path.write_text(FILE, encoding='utf-8')
        self.taken = []
        self.watch = SettingsWatch(
            str(self.path),
            platform_vocabulary(),
            Journal('test', os.open(os.devnull, os.O_WRONLY)),
            self.taken.append,
        )

    def change(self, old, new):
        text = FILE.replace(old, new)
        self.path.write_text(text, encoding='utf-8')
        self.watch.look()

    def test_a_changed_file_is_taken_in_once(self):
        self.watch.look()
        self.assertEqual(self.taken, [])
        self.change('grace_s=8', 'grace_s=5')
        self.watch.look()
        self.assertEqual([each.bounds.grace_s for each in self.taken], [5])

    def test_a_bad_file_changes_nothing(self):
        self.change('grace_s=8', 'grace_s=soon')
        self.path.unlink()
        self.watch.look()
        self.assertEqual(self.taken, [])
        self.change('grace_s=8', 'grace_s=6')
        self.assertEqual([each.bounds.grace_s for each in self.taken], [6])

    def test_a_file_that_is_not_there_is_named(self):
        read = read_settings_file('/nowhere/x.conf', platform_vocabulary())
        self.assertIn('/nowhere/x.conf', read)
