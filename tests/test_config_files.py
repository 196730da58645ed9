"""
Settings files: reading, findings, and files made from the tree.
"""

import tempfile
from pathlib import Path
from unittest import TestCase

from mallowcrank.config.difference import find_difference
from mallowcrank.config.files import read_draft
from mallowcrank.config.fold import fold
from mallowcrank.config.parsing import to_body
from mallowcrank.config.records import ConfigRecord
from mallowcrank.config.tree import Tree
from mallowcrank.operators.texts import format_tree
from mallowcrank.ports import LogRecord
from mallowcrank.status import ExitStatus
from tests.utils.operator_run import run_operator

EXAMPLES = Path(__file__).parent.parent / 'examples'
BROKEN = """
[organisation]
request_rate = "fast"
colour = "red"

[models.assistant]
layers = 24
plan = ["0-7", "16-23"]

[branches.klang.workspaces.counter]
models = ["assistent"]
"""


class TestFiles(TestCase):
    def validate(self, text):
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
            file.write(text)
            file.flush()
            return run_operator('validate', file.name)

    def test_examples_are_fine(self):
        for example in EXAMPLES.glob('*.toml'):
            with self.subTest(example=example.name):
                run = run_operator('validate', str(example))
                self.assertEqual((run.status, run.stderr), (0, ''))

    def test_problems_inside_settings_are_reported_together_by_line(self):
        run = self.validate(BROKEN)
        self.assertEqual(run.status, ExitStatus.BAD_SETTINGS)
        self.assertIn(".toml:3: organisation.request_rate: 'fast'", run.stderr)
        self.assertIn('.toml:4: organisation.colour', run.stderr)

    def test_problems_between_settings_are_reported_together_by_line(self):
        text = BROKEN.replace('"fast"', '5').replace('colour = "red"', '')
        run = self.validate(text)
        self.assertIn('.toml:8: models.assistant.plan: layers 8-15', run.stderr)
        self.assertIn('.toml:11: branches.klang.workspaces', run.stderr)

    def test_broken_toml_names_the_line(self):
        run = self.validate('[organisation]\nstreams = = 3\n')
        self.assertIn('.toml:2:', run.stderr)

    def test_what_show_prints_publishes_no_change(self):
        text = (EXAMPLES / 'topi-seri.toml').read_text()
        first = find_difference(Tree(), read_draft(text, 'a').draft, whole=True)
        body = to_body(ConfigRecord('a', first.changes))
        tree = fold(Tree(), LogRecord(7, 1.0, body))
        shown = read_draft(format_tree(tree), 'b')
        self.assertEqual((shown.findings, shown.draft.base), ((), 7))
        again = find_difference(tree, shown.draft, whole=True)
        self.assertEqual(again.changes, ())
