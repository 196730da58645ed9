"""
Guards against a demo whose real processes fail a request or the final stop.

The repeated stock lookup must return the first answer instead of running again.
"""

import contextlib
import io
from unittest import TestCase

from scripts.demo import main


class TestDemo(TestCase):
    def test_demo_answers_all_and_stops_gracefully(self):
        with contextlib.redirect_stdout(io.StringIO()) as stdout:
            status = main()
        output = stdout.getvalue()
        self.assertEqual(status, 0, output)
        self.assertIn('chat completion: ', output)
        self.assertIn("last 'data: [DONE]'", output)
        self.assertEqual(output.count("'number': 1,"), 2, output)
        self.assertIn('replayed: yes', output)
        self.assertIn('router: request admitted', output)
        self.assertIn('failed: none', output)
