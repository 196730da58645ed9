"""
The demo: the whole path over real processes.
"""

import contextlib
import io
from unittest import TestCase

from scripts.demo import main


class TestDemo(TestCase):
    def test_demo_answers_all_and_stops_gracefully(self):
        with contextlib.redirect_stdout(io.StringIO()) as printed:
            status = main()
        said = printed.getvalue()
        self.assertEqual(status, 0, said)
        self.assertIn('chat completion: ', said)
        self.assertIn("last 'data: [DONE]'", said)
        self.assertEqual(said.count("'number': 1,"), 2, said)
        self.assertIn('replayed: yes', said)
        self.assertIn('router: request admitted', said)
        self.assertIn('failed: none', said)
