"""
Settings files: parsing, findings by line, and files printed from the tree.
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
from mallowcrank.operators.settings_texts import format_tree
from mallowcrank.ports import LogRecord
from mallowcrank.status import ExitStatus
from tests.utils.operator_run import run_operator

EXAMPLES = Path(__file__).parent.parent / 'examples'
INVALID_SETTINGS = """
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

    def test_examples_are_valid(self):
        """
        Guards against examples that the command `validate` rejects.
        """
        for example in EXAMPLES.glob('*.toml'):
            with self.subTest(example=example.name):
                run = run_operator('validate', str(example))
                self.assertEqual((run.status, run.stderr), (0, ''))

    def test_invalid_settings_are_reported_together_with_lines(self):
        """
        Guards against stopping at the first invalid setting, and against
        findings without the line of the setting.
        """
        run = self.validate(INVALID_SETTINGS)
        self.assertEqual(run.status, ExitStatus.BAD_SETTINGS)
        self.assertIn(".toml:3: organisation.request_rate: 'fast'", run.stderr)
        self.assertIn('.toml:4: organisation.colour', run.stderr)

    def test_inconsistent_settings_are_reported_together_with_lines(self):
        """
        Guards against accepting settings that contradict each other, such as a
        plan with a gap and a workspace with an unknown model.
        """
        text = INVALID_SETTINGS.replace('"fast"', '5').replace(
            'colour = "red"', ''
        )
        run = self.validate(text)
        self.assertIn('.toml:8: models.assistant.plan: layers 8-15', run.stderr)
        self.assertIn('.toml:11: branches.klang.workspaces', run.stderr)

    def test_toml_syntax_error_is_reported_with_its_line(self):
        """
        Guards against syntax errors without a line number.
        """
        run = self.validate('[organisation]\nstreams = = 3\n')
        self.assertIn('.toml:2:', run.stderr)

    def test_publishing_printed_settings_unchanged_changes_nothing(self):
        """
        Guards against printed settings that differ from the tree after they
        are parsed again, which would publish unintended changes.
        """
        text = (EXAMPLES / 'topi-seri.toml').read_text()
        initial = find_difference(
            Tree(), read_draft(text, 'a').draft, whole=True
        )
        body = to_body(ConfigRecord('a', initial.changes))
        tree = fold(Tree(), LogRecord(7, 1.0, body))
        printed = read_draft(format_tree(tree), 'b')
        self.assertEqual((printed.findings, printed.draft.base), ((), 7))
        difference = find_difference(tree, printed.draft, whole=True)
        self.assertEqual(difference.changes, ())
